import { it } from 'node:test';
import { readSpec, type Spec } from '@rainrun/configuration';
import {
  exampleSpec,
  generateDay,
  parseDay,
  SHAPES,
  type RecordedCall,
  type Shape,
} from '@rainrun/workloads';
import { expect } from 'earl';
import { isSound, survey, type ListedWorker } from './survey.js';

const SHAPE = SHAPES['small'] as Shape;

function surveyInput(roomMb: number): {
  spec: Spec;
  workers: ListedWorker[];
  calls: readonly RecordedCall[];
} {
  const spec = readSpec(JSON.stringify({ ...exampleSpec(SHAPE), workers: { roomMb, slots: 8 } }));
  const day = parseDay(generateDay(SHAPE, 60, 1));
  const workers = Array.from({ length: 4 }, (_, place) => ({
    name: `worker-${place}`,
    zone: SHAPE.zones[place % 3] ?? '',
    kind: 'model',
  }));
  return { spec: spec.isOk ? spec.value : ({} as Spec), workers, calls: day.isOk ? day.value.calls : [] };
}

it('a survey reports what fits, the loss of each zone, the pull time and the majority of cores', () => {
  const { spec, workers, calls } = surveyInput(80_000);
  const found = survey(spec, workers, calls, SHAPE.zones);
  expect([isSound(found), found.findings.map(({ without }) => without)]).toEqual([
    true,
    ['all', 'north', 'east', 'west'],
  ]);
  expect(
    found.findings.every(({ pulls, pullS, agrees }) => pullS === Math.ceil(pulls / 4) && agrees === true),
  ).toEqual(true);
  const together = survey(spec, workers, calls, ['north', 'north', 'east']);
  expect(together.findings.map(({ agrees }) => agrees)).toEqual([true, false, true, true]);
});

it('a survey lists models that do not fit and models missing from the catalogue', () => {
  const { spec, workers, calls } = surveyInput(16_000);
  const unknownModelCall = { ...(calls.find((call) => call.model !== '') as RecordedCall), model: 'none' };
  const found = survey(spec, workers, [...calls, unknownModelCall], []);
  expect([found.unknown, isSound(found), (found.findings[0]?.unplaced.length ?? 0) > 0]).toEqual([
    ['none'],
    false,
    true,
  ]);
});
