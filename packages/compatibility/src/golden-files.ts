/** Access to the golden fixtures in the folder `fixtures` of this package. */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { format, resolveConfig } from 'prettier';

const FIXTURES = new URL('../fixtures/', import.meta.url);

/** The path of a fixture. */
export function fixturePath(name: string): string {
  return fileURLToPath(new URL(name, FIXTURES));
}

/** Reads a text fixture. */
export function readGoldenText(name: string): Promise<string> {
  return readFile(fixturePath(name), 'utf8');
}

/** Reads a JSON fixture. */
export async function readGolden(name: string): Promise<unknown> {
  return JSON.parse(await readGoldenText(name)) as unknown;
}

/** Writes bytes or text as a fixture. */
export async function writeGoldenBytes(name: string, content: Uint8Array | string): Promise<void> {
  const path = fixturePath(name);
  await mkdir(dirname(path), { recursive: true });
  await writeFile(path, content);
}

/** Writes a value as a fixture, formatted like every JSON file of the repository. */
export async function writeGolden(name: string, value: unknown): Promise<void> {
  const options = await resolveConfig(fixturePath(name));
  await writeGoldenBytes(name, await format(JSON.stringify(value), { ...options, parser: 'json' }));
}

/** Converts a value to what a JSON file of it would yield, for comparison with a golden fixture. */
export function asJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value)) as unknown;
}
