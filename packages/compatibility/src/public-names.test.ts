/**
 * Guards the settings, headers, paths, bodies and responses that callers,
 * operators and platforms rely on: they stay as in the build of commit ff944b4.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { asJson, readGolden } from './golden-files.js';
import { PUBLIC_NAME_FIXTURES } from './public-name-fixtures.js';

/** Names that later builds added, by fixture; additions do not break readers of the earlier names. */
const ADDED_NAMES: Readonly<Record<string, readonly string[]>> = {
  'metrics/site.json': [
    'rainrun_resets',
    'rainrun_listenFailures',
    'rainrun_framesEvicted',
    'resets',
    'listenFailures',
    'framesEvicted',
    'rainrun_heapMb',
    'rainrun_buffersMb',
    'heapMb',
    'buffersMb',
  ],
  'metrics/platform.json': [
    'without coordinator ms',
    'disk wait ms',
    'peer resets',
    'listen failures',
    'unexplained',
    'framesEvicted',
    'bodyBytes',
    'bodyBytesLimit',
    'bodiesEvicted',
    'bodiesRefused',
    'bodiesIdle',
    'connections',
    'connectionsLimit',
    'connectionsEvicted',
    'pipelinesClosed',
    'heapMb',
    'buffersMb',
    'answerBytes',
    'answerBytesLimit',
    'answersEvicted',
    'answersRefused',
    'answersUnread',
    'answersStopped',
    'workerBytes',
    'workerPieces',
    'workerBytesUnneeded',
  ],
};

/** Removes names from lists and objects at any depth, and adds each name found to `seen`. */
function withoutNames(value: unknown, names: readonly string[], seen: Set<string>): unknown {
  if (Array.isArray(value)) {
    for (const name of names) if (value.includes(name)) seen.add(name);
    return value.filter((one) => !names.includes(one as string)).map((one) => withoutNames(one, names, seen));
  }
  if (typeof value !== 'object' || value === null) return value;
  const kept: [string, unknown][] = [];
  for (const [key, nested] of Object.entries(value)) {
    if (names.includes(key)) seen.add(key);
    else kept.push([key, withoutNames(nested, names, seen)]);
  }
  return Object.fromEntries(kept);
}

for (const { name, given, then, produce } of PUBLIC_NAME_FIXTURES)
  describe(`given ${given}`, () => {
    it(`then ${then} as in an earlier build`, async () => {
      const added = ADDED_NAMES[name] ?? [];
      const seen = new Set<string>();
      expect(withoutNames(asJson(await produce()), added, seen)).toEqual(await readGolden(name));
      expect([...seen].sort()).toEqual([...added].sort());
    });
  });
