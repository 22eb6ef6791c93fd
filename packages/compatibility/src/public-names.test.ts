/**
 * Settings, headers, paths, bodies and answers that callers, operators and
 * platforms rely on stay what they were in the build of commit ff944b4.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { asJson, readGolden } from './golden-files.js';
import { PUBLIC_NAME_FIXTURES } from './public-name-fixtures.js';

for (const { name, given, then, produce } of PUBLIC_NAME_FIXTURES)
  describe(`given ${given}`, () => {
    it(`then ${then} as in an earlier build`, async () => {
      expect(asJson(await produce())).toEqual(await readGolden(name));
    });
  });
