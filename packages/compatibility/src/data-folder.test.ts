/**
 * Guards the format of data folders: those of an earlier build still open and
 * yield the same state, and this build writes the same bytes. The fixtures were
 * written by the build of commit ff944b4.
 */
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DATA_FOLDER_FIXTURES, folderOf } from './data-folder-fixtures.js';
import { contentOf } from './data-folders.js';
import { readGolden } from './golden-files.js';

for (const { name, scenario, read, write } of DATA_FOLDER_FIXTURES)
  describe(`given the data folders of ${scenario}`, () => {
    it('when cores start on copies of them, then they read the same records, agree on the same state and continue from it', async () => {
      expect(await read()).toEqual(await readGolden(`data-folders/${name}.json`));
    });

    it('when this build runs the same scenario, then its cores write the same files byte for byte', async () => {
      const folder = folderOf(name);
      const cores = (await readdir(folder)).sort();
      const files = await Promise.all(
        cores.map(async (core) => [core, await contentOf(join(folder, core))] as const),
      );
      expect(await write()).toEqual(Object.fromEntries(files));
    });
  });
