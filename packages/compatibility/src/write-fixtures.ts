/**
 * Regenerates the golden fixtures: `npm run fixtures -w @rainrun/compatibility -- wire`.
 * The fixtures prove that a later build reads and writes the same formats as an
 * earlier one, so run this only when a format is extended on purpose; the diff of
 * the fixtures is then part of the review. No test and no build runs this script.
 */
import { rm } from 'node:fs/promises';
import { join } from 'node:path';
import { DATA_FOLDER_FIXTURES, folderOf } from './data-folder-fixtures.js';
import { messageSamples } from './message-samples.js';
import { writeGolden, writeGoldenBytes } from './golden-files.js';
import {
  COMMAND_LINE_FIXTURES,
  PUBLIC_NAME_FIXTURES,
  type PublicNameFixture,
} from './public-name-fixtures.js';
import { schemaShape } from './wire-schema.js';

async function writeWire(): Promise<void> {
  await writeGolden('wire/schema.json', schemaShape());
  await writeGolden('wire/messages.json', messageSamples());
}

async function writeDataFolders(): Promise<void> {
  for (const { name, read, write } of DATA_FOLDER_FIXTURES) {
    await rm(folderOf(name), { recursive: true, force: true });
    for (const [core, files] of Object.entries(await write()))
      for (const [file, base64] of Object.entries(files))
        await writeGoldenBytes(join('data-folders', name, core, file), Buffer.from(base64, 'base64'));
    await writeGolden(`data-folders/${name}.json`, await read());
  }
}

async function writeEach(fixtures: readonly PublicNameFixture[]): Promise<void> {
  for (const { name, produce } of fixtures) await writeGolden(name, await produce());
}

const WRITERS: Readonly<Record<string, () => Promise<void>>> = {
  wire: writeWire,
  'data-folders': writeDataFolders,
  'public-names': () => writeEach(PUBLIC_NAME_FIXTURES),
  'command-line': () => writeEach(COMMAND_LINE_FIXTURES),
};

const requested = process.argv.slice(2);
const known = Object.keys(WRITERS).join(', ');
if (requested.length === 0 || requested.some((name) => WRITERS[name] === undefined)) {
  console.error(`usage: write-fixtures NAME...; known fixtures: ${known}`);
  process.exit(2);
}
for (const name of requested) await WRITERS[name]?.();
