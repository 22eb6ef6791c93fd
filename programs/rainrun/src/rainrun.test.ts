import { spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { formatAnswer } from './answer-format.js';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));

function run(...words: string[]): number | null {
  return spawnSync(process.execPath, [MAIN, ...words], { encoding: 'utf8' }).status;
}

it('exits with 2 on wrong usage and with 4 if the node is not reached', () => {
  const node = ['--node', '127.0.0.1:1'];
  expect([
    run(),
    run('dance'),
    run('spec', 'check', '/no/such/file'),
    run('zones', 'empty'),
    run('view', ...node),
  ]).toEqual([2, 2, 2, 2, 4]);
});

it('formats lists as tables, fields as key: value lines and the faults of a spec', () => {
  expect(formatAnswer('zones', { zones: [{ zone: 'north', emptied: false }] })).toEqual(
    'zone   emptied\nnorth  false',
  );
  expect(formatAnswer('view', { epoch: 3, admitting: true })).toEqual('epoch: 3\nadmitting: true');
  expect(
    formatAnswer('spec check', {
      error: { kind: 'bad-spec', message: 'has faults', faults: [{ path: 'zones', message: 'missing' }] },
    }),
  ).toEqual('bad-spec: has faults\n  zones: missing');
});

/** Runs `rainrun view` against a node that answers with this status and body. */
async function view(status: number, body: object): Promise<{ code: unknown; out: string; err: string }> {
  const server = createServer((_req, res) => res.writeHead(status).end(JSON.stringify(body)));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  const child = spawn(process.execPath, [MAIN, 'view', '--node', `127.0.0.1:${port}`]);
  let [out, err] = ['', ''];
  child.stdout.on('data', (part: Buffer) => (out += part.toString()));
  child.stderr.on('data', (part: Buffer) => (err += part.toString()));
  const [code] = (await once(child, 'close')) as [number];
  server.close();
  return { code, out, err };
}

it('control safety, point 1: view does not present the state of a node without a majority as current', async () => {
  const known = { node: 'core-1', epoch: 3, voters: [{ name: 'core-2', version: 41 }] };
  const current = await view(200, known);
  const staleAnswers = [
    await view(503, { error: { kind: 'not-admitting', message: 'ask another node' }, lastKnown: known }),
    await view(200, { ...known, stale: true }),
  ];
  expect([current.code, current.out]).toEqual([
    0,
    'node: core-1\nepoch: 3\nvoters:\nname    version\ncore-2  41\n',
  ]);
  for (const { code, out, err } of staleAnswers) {
    expect([code, out]).toEqual([5, '']);
    expect(err.includes('not current') && err.includes('epoch: 3')).toEqual(true);
  }
});
