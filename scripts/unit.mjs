#!/usr/bin/env node
// Runs the unit tests and heeds KNOWN-RED.txt: only a test listed there may fail, each is printed with its cause,
// and a listed test that passes fails the run. A line there: FILE > TEST > ... | cause | issue
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, relative } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

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

/** What the run comes to: tests that failed unlisted, and listed ones that did not fail. */
export function verdict(failed, known) {
  return {
    unlisted: [...failed].filter((name) => !known.has(name)),
    stale: [...known.keys()].filter((name) => !failed.has(name)),
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

async function main(files) {
  const known = existsSync('KNOWN-RED.txt') ? readKnownRed(readFileSync('KNOWN-RED.txt', 'utf8')) : new Map();
  const failed = new Set();
  const counts = { passed: 0, failed: 0, skipped: 0 };
  const stream = run({ files, concurrency: true });
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

if (import.meta.url === `file://${process.argv[1]}`)
  await main(process.argv.length > 2 ? process.argv.slice(2) : testFiles());
