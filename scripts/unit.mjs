#!/usr/bin/env node
// Runs the unit tests and heeds KNOWN-RED.txt: only a test listed there may fail, each is printed with its cause,
// and a listed test that passes fails the run, unless its cause begins with "unsteady:". A line there: FILE > TEST > ... | cause | issue
//   node scripts/unit.mjs            all unit tests, many files at a time
//   node scripts/unit.mjs --crowd    the tests that put a crowd of clients before a process, one file at a time
//   node scripts/unit.mjs FILE...    these files
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, relative } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

/** Start of the cause of a test that fails in some runs only. */
const UNSTEADY = 'unsteady:';
const FOLDERS = ['packages', 'programs', 'tools', 'platform', 'scripts'];

/** Reads the list of tests that are known to fail. */
export function readKnownRed(text) {
  const lines = text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'));
  return new Map(
    lines.map((line) => {
      const [name = '', cause = '', issue = ''] = line.split('|').map((part) => part.trim());
      return [name, { cause, issue }];
    }),
  );
}

/** The entries of the list whose test file is among those that are run. */
export function knownInFiles(known, files) {
  return new Map([...known].filter(([name]) => files.includes(name.split(' > ')[0])));
}

/** Whether a file holds tests that need the machine for themselves. */
export function isCrowdTest(file) {
  return file.endsWith('.crowd.test.js');
}

/** What the run comes to: tests that failed unlisted, and listed ones that did not fail. */
export function verdict(failed, known) {
  return {
    unlisted: [...failed].filter((name) => !known.has(name)),
    stale: [...known]
      .filter(([name, { cause }]) => !failed.has(name) && !cause.startsWith(UNSTEADY))
      .map(([name]) => name),
  };
}

function testFiles() {
  return FOLDERS.filter((folder) => existsSync(folder)).flatMap((folder) =>
    readdirSync(folder, { recursive: true })
      .map((name) => join(folder, name))
      .filter(
        (name) =>
          !name.includes('node_modules') &&
          (/\/dist\/.*\.test\.js$/.test(name) || name.endsWith('.test.mjs')),
      ),
  );
}

/** The files to run, by the arguments of the command. */
function selectFiles(args) {
  if (args[0] === '--crowd') return testFiles().filter(isCrowdTest);
  return args.length > 0 ? args : testFiles().filter((file) => !isCrowdTest(file));
}

async function main(args) {
  const files = selectFiles(args);
  const listed = existsSync('KNOWN-RED.txt')
    ? readKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'))
    : new Map();
  const known = knownInFiles(
    listed,
    files.map((file) => relative('.', file)),
  );
  const failed = new Set();
  const counts = { passed: 0, failed: 0, skipped: 0 };
  const stream = run({ files, concurrency: !files.some(isCrowdTest) });
  stream.on('test:pass', ({ details, skip }) => {
    if (details?.type === 'suite') return;
    if (skip === undefined) counts.passed += 1;
    else counts.skipped += 1;
  });
  stream.on('test:fail', ({ name, file, details }) => {
    if (details?.type === 'suite' || details?.error?.failureType === 'subtestsFailed') return;
    counts.failed += 1;
    failed.add(`${relative('.', file ?? '')} > ${name}`);
  });
  stream.compose(spec).pipe(process.stdout);
  await new Promise((resolve) => stream.once('end', resolve));
  const { unlisted, stale } = verdict(failed, known);
  for (const [name, { cause, issue }] of known)
    if (failed.has(name)) console.log(`known red: ${name}: ${cause} (${issue})`);
  for (const name of unlisted) console.log(`FAILED: ${name}`);
  for (const name of stale) console.log(`listed in KNOWN-RED.txt and did not fail: ${name}`);
  console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped`);
  process.exit(unlisted.length + stale.length > 0 || counts.passed === 0 ? 1 : 0);
}

if (import.meta.url === `file://${process.argv[1]}`) await main(process.argv.slice(2));
