import meow from 'meow';
import {
  exampleSpec,
  generateDay,
  generateOverload,
  parseDay,
  SHAPES,
  type RecordedCall,
  type Shape,
} from '@rainrun/workloads';
import { WEIGHT_LOOP_SETTINGS } from '@rainrun/cluster-node';
import { SPEC_PLACER_SETTINGS } from '@rainrun/placement';
import { replayDay, PREFILL_MS_PER_CHAR, type DayReplay, type ReplayedRequest } from './day-replay.js';
import type { LoopOverrides } from './site.js';

const cli = meow(
  `
  Fairness and placement in the simulator, at the size of a deployment.

  Usage
    $ node packages/simulator/dist/figures.js fairness --shape vejsargs   each group floods in turn
    $ node packages/simulator/dist/figures.js shift --shape malabon       the demand moves to other models
    $ node packages/simulator/dist/figures.js cold --shape malabon        every model is asked for at once
    $ node packages/simulator/dist/figures.js affinity --shape vejsargs   what kept prefixes save

  Options
    --shape     vejsargs, malabon or small   (default vejsargs)
    --room      part of the usual room that workers have in shift and cold (default 1)
    --flood     requests a second of the flood (default 100)
`,
  {
    importMeta: import.meta,
    flags: {
      shape: { type: 'string', default: 'vejsargs', choices: Object.keys(SHAPES) },
      room: { type: 'number', default: 1 },
      flood: { type: 'number', default: 100 },
    },
  },
);

const DAY_S = 40;
const FIXED_WEIGHTS: LoopOverrides = { weights: { ...WEIGHT_LOOP_SETTINGS, min: 1, max: 1 } };
const NO_PLACEMENT: LoopOverrides = { placement: { ...SPEC_PLACER_SETTINGS, evictionBudget: 0 } };

function callsOf(text: string): readonly RecordedCall[] {
  const day = parseDay(text);
  return day.isOk ? day.value.calls : [];
}

function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN;
}

function printBreaches(name: string, replay: DayReplay): void {
  for (const breach of replay.breaches) console.log(`BREACH ${name}: ${breach}`);
}

/** Formats the percentages of a group's calls that were served within the target and served at all. */
function formatServedRatios(seen: readonly ReplayedRequest[], targetMs: number): string {
  const well = seen.filter((one) => one.outcome === 'served' && one.firstPieceMs <= targetMs).length;
  const served = seen.filter((one) => one.outcome === 'served').length;
  return `${((100 * well) / Math.max(1, seen.length)).toFixed(1)} (${((100 * served) / Math.max(1, seen.length)).toFixed(1)})`.padEnd(
    16,
  );
}

function fairness(shape: Shape): void {
  const day = callsOf(generateDay(shape, 2 * DAY_S, 1));
  const judged = new Set(day.filter((call) => call.atMs >= 1000 * DAY_S));
  const alone = replayDay(shape, day, { seed: 1 });
  printBreaches('alone', alone);
  const groups = [
    ...shape.kinds.map(({ group, targetMs }) => ({ group, targetMs })),
    { group: shape.lookupGroup, targetMs: 250 },
  ];
  console.log(
    `the second ${DAY_S} s of a day, beside the flood; in % of a group's own calls: served within target (served at all); flood of ${cli.flags.flood} a second`,
  );
  console.log(
    `${'flooded by'.padEnd(18)}${'group'.padEnd(18)}${'alone'.padEnd(16)}${'beside'.padEnd(16)}weights held still`,
  );
  for (const { group } of shape.kinds) {
    const flood = callsOf(generateOverload(shape, group, cli.flags.flood, DAY_S, 2)).map((call) => ({
      ...call,
      atMs: call.atMs + 1000 * DAY_S,
    }));
    const both = [...day, ...flood].sort((one, other) => one.atMs - other.atMs);
    const beside = replayDay(shape, both, { seed: 1 });
    const still = replayDay(shape, both, { seed: 1, loops: FIXED_WEIGHTS });
    printBreaches(group, beside);
    for (const other of groups) {
      const [a, b, c] = [alone, beside, still].map(({ seen }) =>
        formatServedRatios(
          seen.filter((one) => one.call.group === other.group && judged.has(one.call)),
          other.targetMs,
        ),
      );
      console.log(`${group.padEnd(18)}${other.group.padEnd(18)}${a ?? ''}${b ?? ''}${c ?? ''}`);
    }
  }
}

function specOf(shape: Shape): object {
  const spec = exampleSpec(shape) as { workers: { roomMb: number; slots: number } };
  return { ...spec, workers: { ...spec.workers, roomMb: Math.floor(spec.workers.roomMb * cli.flags.room) } };
}

/** Replays an ordinary half day, then the same calls with rare and common models swapped. */
function shift(shape: Shape): void {
  const half = callsOf(generateDay(shape, 2 * DAY_S, 1));
  function other(call: RecordedCall): RecordedCall {
    const number = Number(call.model.split('-')[1]);
    return {
      ...call,
      atMs: call.atMs + 2000 * DAY_S,
      model: call.model === '' ? '' : `${shape.modelNamePrefix}-${shape.models + 1 - number}`,
      adapter: '',
    };
  }
  const calls = [...half, ...half.map(other)];
  for (const [name, loops] of [
    ['placed', {}],
    ['placement held still', NO_PLACEMENT],
  ] as const) {
    const replay = replayDay(shape, calls, { seed: 1, loops, spec: specOf(shape) });
    printBreaches(name, replay);
    const atMs = 2000 * DAY_S;
    const questions = replay.seen.filter((one) => one.call.model !== '');
    const late = questions.filter(
      (one) => one.call.atMs >= atMs && (one.outcome !== 'served' || one.firstPieceMs > 3000),
    );
    const settledMs = Math.max(0, ...late.map((one) => one.call.atMs - atMs));
    const moves = replay.orders.filter((order) => order.atMs >= atMs);
    const last = moves.filter((order) => order.atMs >= atMs + 1000 * DAY_S);
    function count(list: typeof moves, action: string): number {
      return list.filter((order) => order.action === action).length;
    }
    const before = questions.filter((one) => one.call.atMs < atMs && one.call.atMs > 20_000);
    const after = questions.filter((one) => one.call.atMs >= atMs + 20_000);
    console.log(
      `${name}: last call refused or later than 3 s came ${(settledMs / 1000).toFixed(1)} s after the shift, ${late.length} of ${questions.filter((one) => one.call.atMs >= atMs).length}`,
    );
    console.log(
      `  loads ${count(moves, 'load')}, unloads ${count(moves, 'unload')} after the shift; in the last ${DAY_S} s ${count(last, 'load')} and ${count(last, 'unload')}`,
    );
    console.log(
      `  first piece p95: ${quantile(
        before.map((one) => one.firstPieceMs),
        0.95,
      ).toFixed(0)} ms before, ${quantile(
        after.map((one) => one.firstPieceMs),
        0.95,
      ).toFixed(0)} ms from 20 s after`,
    );
  }
}

/** Requests every model four times from a cold start, one request every 200 ms. */
function cold(shape: Shape): void {
  const [sample] = shape.kinds;
  if (sample === undefined) return;
  const { group, kind, stream, chars } = sample;
  const calls = Array.from({ length: 4 * shape.models }, (_, place): RecordedCall => {
    const model = `${shape.modelNamePrefix}-${1 + (place % shape.models)}`;
    return {
      atMs: 200 * place,
      group,
      kind,
      path: '/v1/chat/completions',
      model,
      adapter: '',
      stream,
      prefix: 0,
      chars,
    };
  });
  const replay = replayDay(shape, calls, { seed: 1, spec: specOf(shape) });
  printBreaches('cold', replay);
  const served = replay.seen.filter((one) => one.outcome === 'served');
  const models = new Set(served.map((one) => one.call.model));
  console.log(
    `models served ${models.size} of ${shape.models}; calls served ${served.length} of ${calls.length}, first piece p50 ${quantile(
      served.map((one) => one.firstPieceMs),
      0.5,
    ).toFixed(0)} ms, p95 ${quantile(
      served.map((one) => one.firstPieceMs),
      0.95,
    ).toFixed(0)} ms; loads ${replay.orders.filter((order) => order.action === 'load').length}`,
  );
}

/** Replays an ordinary day and prints how much prefill time the prefix caches save. */
function affinity(shape: Shape): void {
  const day = callsOf(generateDay(shape, 2 * DAY_S, 1));
  const usual = replayDay(shape, day, { seed: 1 });
  printBreaches('affinity', usual);
  const { hits, misses, savedMs } = usual.prefill;
  const spentMs = day.reduce((sum, call) => sum + call.chars * PREFILL_MS_PER_CHAR, 0);
  console.log(
    `prefix kept for ${hits} of ${hits + misses} (${((100 * hits) / (hits + misses)).toFixed(1)} %), ${(savedMs / 1000).toFixed(1)} s of ${(spentMs / 1000).toFixed(1)} s of reading saved`,
  );
}

const shape = SHAPES[cli.flags.shape];
const commands: Readonly<Record<string, (shape: Shape) => void>> = { fairness, shift, cold, affinity };
const command = commands[cli.input[0] ?? ''];
const { room, flood } = cli.flags;
if (shape === undefined || command === undefined) {
  console.error('figures: fairness, shift, cold or affinity; see --help');
  process.exitCode = 2;
} else if (!(room > 0 && room <= 100 && flood > 0 && flood <= 10_000)) {
  console.error(
    `figures: --room: found ${room}, expected above 0 and at most 100; --flood: found ${flood}, expected above 0 and at most 10000`,
  );
  process.exitCode = 2;
} else command(shape);
