import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import * as v from 'valibot';
import { EXPECT_INSTANCE, OrderSchema, PATHS } from './dialect.js';
import { serveParent } from './ipc.js';
import { ADDRESSES, worker, type Size } from './site.js';

const LOAD_MS = 600;

/**
 * Serves the platform's worker list and all workers from one process. Orders are answered as
 * workers answer them, and a model counts as loaded after its load time.
 */
class StandIn {
  #size: Size;
  #port: number;
  #list = '';
  #loadedModels = new Map<string, Map<string, { readyMs: number; adapters: Set<string> }>>();
  /** Number of orders that each worker has accepted. */
  #sequences = new Map<string, number>();
  readonly counts = {
    lists: 0,
    reports: 0,
    orders: 0,
    modelLoads: 0,
    adapterLoads: 0,
    unloads: 0,
    invalid: 0,
  };

  constructor(size: Size, port: number) {
    this.#size = size;
    this.#port = port;
    this.removeZone('');
  }

  /** Size of the list in bytes. */
  get listBytes(): number {
    return Buffer.byteLength(this.#list);
  }

  /** Lists all workers except those of one zone, and returns the number of excluded workers. */
  removeZone(zone: string): number {
    const all = Array.from({ length: this.#size.rows }, (_, index) => worker(index, this.#size, this.#port));
    const workers = all.filter((entry) => entry.zone !== zone);
    this.#list = JSON.stringify({ workers });
    for (const { id, models } of workers) {
      if (!this.#loadedModels.has(id))
        this.#loadedModels.set(
          id,
          new Map(models.map(([model, adapters]) => [model, { readyMs: 0, adapters: new Set(adapters) }])),
        );
    }
    return all.length - workers.length;
  }

  answer(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === PATHS.list) {
      this.counts.lists += 1;
      res.end(this.#list);
      return;
    }
    if (req.url === PATHS.report) {
      this.counts.reports += 1;
      res.end(this.#report(String(req.headers[EXPECT_INSTANCE])));
      return;
    }
    const parts: Buffer[] = [];
    req.on('data', (part: Buffer) => parts.push(part));
    req.on('end', () => {
      res.writeHead(
        this.#order(String(req.headers[EXPECT_INSTANCE]), Buffer.concat(parts).toString('utf8')),
        { 'content-length': '0' },
      );
      res.end();
    });
  }

  /** Report of a worker's loaded models; null while one of its models is loading. */
  #report(id: string): string {
    const models = [...(this.#loadedModels.get(id) ?? [])];
    const nowMs = performance.now();
    if (models.some(([, { readyMs }]) => readyMs > nowMs)) return 'null';
    return JSON.stringify({
      models: models.map(([model, { adapters }]) => [model, [...adapters]]),
      sequence: this.#sequences.get(id) ?? 0,
    });
  }

  #order(id: string, body: string): number {
    const order = v.safeParse(OrderSchema, JSON.parse(body));
    const row = this.#loadedModels.get(id);
    if (!order.success || row === undefined) {
      this.counts.invalid += 1;
      return 400;
    }
    this.counts.orders += 1;
    const { action, model, adapter, sequence } = order.output;
    const acceptedOrders = this.#sequences.get(id) ?? 0;
    const known = row.get(model);
    if (sequence !== acceptedOrders) return 409;
    if (action === 'unload') {
      if (known === undefined) return 200;
      this.counts.unloads += 1;
      if (adapter === '') row.delete(model);
      else known.adapters.delete(adapter);
      this.#sequences.set(id, acceptedOrders + 1);
      return 202;
    }
    if (adapter !== '') {
      this.counts.adapterLoads += 1;
      known?.adapters.add(adapter);
      this.#sequences.set(id, acceptedOrders + 1);
      return 202;
    }
    const nowMs = performance.now();
    if (known !== undefined) return nowMs >= known.readyMs ? 200 : 409;
    this.counts.modelLoads += 1;
    this.#sequences.set(id, acceptedOrders + 1);
    row.set(model, { readyMs: nowMs + LOAD_MS, adapters: new Set() });
    return 202;
  }
}

const [, , text = '{}', port = '0'] = process.argv;
const standIn = new StandIn(JSON.parse(text) as Size, Number(port));
await Promise.all(
  Array.from({ length: ADDRESSES }, (_, index) => {
    const server = createServer((req, res) => standIn.answer(req, res));
    server.keepAliveTimeout = 60_000;
    return new Promise<void>((resolve) => {
      server.listen(Number(port), `127.77.2.${1 + index}`, resolve);
    });
  }),
);
serveParent({
  counts: () => ({ ...standIn.counts, listBytes: standIn.listBytes }),
  removeZone: (zone: string) => standIn.removeZone(zone),
});
