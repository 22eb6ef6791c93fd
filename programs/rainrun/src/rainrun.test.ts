import { spawnSync } from 'node:child_process';
import { it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { show } from './show.js';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));

function run(...words: string[]): number | null {
  return spawnSync(process.execPath, [MAIN, ...words], { encoding: 'utf8' }).status;
}

it('exits with 2 on wrong usage and 4 when the node is not reached', () => {
  const node = ['--node', '127.0.0.1:1'];
  expect([
    run(),
    run('dance'),
    run('spec', 'check', '/no/such/file'),
    run('zones', 'empty'),
    run('view', ...node),
  ]).toEqual([2, 2, 2, 2, 4]);
});

it('shows tables, pairs and faults', () => {
  expect(show('zones', { zones: [{ zone: 'north', emptied: false }] })).toEqual(
    'zone   emptied\nnorth  false',
  );
  expect(show('view', { epoch: 3, admitting: true })).toEqual('epoch: 3\nadmitting: true');
  expect(
    show('spec check', {
      error: { kind: 'bad-spec', message: 'has faults', faults: [{ path: 'zones', message: 'missing' }] },
    }),
  ).toEqual('bad-spec: has faults\n  zones: missing');
});
