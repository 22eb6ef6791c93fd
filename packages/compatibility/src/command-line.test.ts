/** Guards the command line: calls, output and exit codes stay as in the build of commit ff944b4. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { asJson, readGolden } from './golden-files.js';
import { COMMAND_LINE_FIXTURES } from './public-name-fixtures.js';

for (const { name, given, then, produce } of COMMAND_LINE_FIXTURES)
  describe(`given ${given}`, () => {
    it(`then ${then} as in an earlier build`, async () => {
      expect(asJson(await produce())).toEqual(await readGolden(name));
    });
  });
