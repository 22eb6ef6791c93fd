import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { it } from 'node:test';
import { expect } from 'earl';
import { readSpecWorkerList, sendSpecOrder } from './spec-platform-client.js';

const LIST = { generation: 3, workers: [{ name: 'w', address: '127.0.0.1:1', zone: 'z', kind: 'model' }] };

it('the worker list of the platform is read from a file, or rejected as a whole', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'list-'));
  const [good, bad] = [join(folder, 'good.json'), join(folder, 'bad.json')];
  await writeFile(good, JSON.stringify(LIST));
  await writeFile(bad, JSON.stringify({ ...LIST, workers: [{ name: 'w' }] }));
  const read = [
    await readSpecWorkerList(good),
    await readSpecWorkerList(bad),
    await readSpecWorkerList(join(folder, 'none.json')),
  ];
  await rm(folder, { recursive: true });
  const [list] = read;
  expect(
    list?.isOk === true && [
      list.value.generation,
      list.value.workers[0]?.pool,
      list.value.workers[0]?.draining,
    ],
  ).toEqual([3, 'models', false]);
  expect(read.map((one) => one.isOk)).toEqual([true, false, false]);
});

it('an order without a valid reply from the worker gives a fault, not a presumed success', async () => {
  const answers = ['{"holdings":[]}', '{"holdings":7}', '<html>'];
  const server = createServer((_, res) => res.end(answers.shift() ?? ''));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const address = `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
  const order = { worker: 'w', epoch: 1, sequence: 1, action: 'inventory', model: '', adapter: '' } as const;
  const replies = [
    await sendSpecOrder(address, order),
    await sendSpecOrder(address, order),
    await sendSpecOrder(address, order),
  ];
  server.closeAllConnections();
  server.close();
  const late = await sendSpecOrder('127.0.0.1:1', order);
  expect([...replies, late].map((reply) => (reply.isOk ? 'taken' : reply.error.kind))).toEqual([
    'taken',
    'worker-nonsense',
    'unreached',
    'unreached',
  ]);
});
