import { spawnSync } from 'node:child_process';
import { it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));

function run(...flags: string[]): { status: number | null; stderr: string } {
  const { status, stderr } = spawnSync(process.execPath, [MAIN, ...flags], { encoding: 'utf8' });
  return { status, stderr };
}

const VALID_FLAGS = [
  '--name',
  'edge-1',
  '--deployment',
  'd',
  '--zone',
  'north',
  '--bind',
  '127.0.0.1:7001',
  '--http',
  '127.0.0.1:8001',
  '--seeds',
  '127.0.0.1:7002',
];

it('exits with 0 after checking valid settings', () => {
  expect(run(...VALID_FLAGS, '--check').status).toEqual(0);
});

it('exits with 2 on a bad setting and names the key, the value found and the value expected', () => {
  const { status, stderr } = run(
    ...VALID_FLAGS.map((word) => (word === '127.0.0.1:7001' ? 'nowhere' : word)),
    '--check',
  );
  expect([status, stderr.startsWith('edge: bind: found "nowhere", expected')]).toEqual([2, true]);
});

it('exits with 2 on an unknown flag and on a flag that is given twice', () => {
  expect(run(...VALID_FLAGS, '--colour', 'red').status).toEqual(2);
  expect(run(...VALID_FLAGS, '--name', 'edge-2').stderr.trim()).toEqual(
    'edge: name: found ["edge-1","edge-2"], expected one value',
  );
});
