// A model worker: takes orders, reports what it holds, and answers requests with short event streams.
import { createServer } from 'node:http';

const FENCED = 412;
const BUSY = 409;
const MISDIRECTED = 421;

async function readBody(req) {
  const parts = [];
  for await (const part of req) parts.push(part);
  return Buffer.concat(parts).toString();
}

/** One worker of a service; `onArrival` is told of each request that it runs. */
export class ModelWorker {
  /** Adapters by model. */
  models = new Map();
  running = new Set();
  #options;
  #sequence = 0;
  #fence = 0;
  #server;
  #busyUntilMs = 0;

  constructor(options) {
    this.#options = {
      slots: 32,
      events: 3,
      eventMs: 20,
      loadMs: 600,
      adapterMs: 5,
      onArrival: () => undefined,
      moreHeaders: () => ({}),
      ...options,
    };
    for (const model of options.models ?? []) this.models.set(model, new Set());
  }

  get id() {
    return this.#options.id;
  }

  /** Its entry in the platform's list. */
  listed(state = 'ready') {
    const { id, service, host, port, zone, slots } = this.#options;
    return {
      InstanceId: id,
      Backend: service,
      Address: `${host}:${port}`,
      Zone: zone,
      Revision: 'v1',
      Capacity: slots,
      LifecycleState: state,
      WarmupLeftMs: 0,
      Phase: 'combined',
      Models: this.#holdings(),
    };
  }

  listen() {
    const { host, port } = this.#options;
    this.#server = createServer((req, res) => void this.#handle(req, res).catch(() => res.destroy()));
    this.#server.keepAliveTimeout = 60_000;
    return new Promise((done, failed) => {
      this.#server.once('error', failed);
      this.#server.listen({ host, port, backlog: 512 }, done);
    });
  }

  /** The worker is gone: its connections end, whatever it runs. */
  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #holdings() {
    return [...this.models].map(([Name, adapters]) => ({ Name, Revision: 1, Adapters: [...adapters] }));
  }

  async #handle(req, res) {
    const body = await readBody(req);
    if (req.url === '/rainrun/report') return this.#report(res);
    const target = req.headers['target-instance'];
    const id = req.headers['request-id'] ?? '';
    if (target !== undefined && target !== this.#options.id)
      return void res.writeHead(MISDIRECTED, { 'request-id': id, 'not-executed': '1' }).end();
    if (req.url === '/rainrun/order') return void res.writeHead(this.#order(JSON.parse(body))).end();
    return this.#run(req, res, id);
  }

  #report(res) {
    const text = JSON.stringify({
      Phase: 'combined',
      Models: this.#holdings(),
      Utilization: performance.now() < this.#busyUntilMs,
      Sequence: this.#sequence,
      Queued: 0,
      Running: this.running.size,
      KvUsed: 0,
      KvTotal: 200000,
      ServedModels: 0,
    });
    res
      .writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      .end(text);
  }

  #order({ Operation, Model, Adapter, FenceToken, ExpectedCount }) {
    if (FenceToken < this.#fence) return FENCED;
    this.#fence = FenceToken;
    const nowMs = performance.now();
    if (nowMs < this.#busyUntilMs || (ExpectedCount !== undefined && ExpectedCount !== this.#sequence))
      return BUSY;
    const adapters = this.models.get(Model);
    const load = Operation === 'load';
    if (Adapter !== undefined && adapters === undefined) return MISDIRECTED;
    if ((Adapter === undefined ? adapters !== undefined : adapters.has(Adapter)) === load) return 200;
    this.#sequence += 1;
    this.#busyUntilMs =
      nowMs + (load ? (Adapter === undefined ? this.#options.loadMs : this.#options.adapterMs) : 1);
    if (Adapter !== undefined) {
      if (load) adapters.add(Adapter);
      else adapters.delete(Adapter);
    } else if (load) this.models.set(Model, new Set());
    else this.models.delete(Model);
    return 202;
  }

  async #run(req, res, id) {
    const { events, eventMs, slots, onArrival, moreHeaders } = this.#options;
    const [model, adapter] = (req.headers['model-name'] ?? '').split('/');
    const adapters = this.models.get(model);
    if (model !== '' && (adapters === undefined || (adapter !== undefined && !adapters.has(adapter))))
      return void res.writeHead(MISDIRECTED, { 'request-id': id, 'not-executed': '1' }).end();
    if (this.running.size >= slots)
      return void res.writeHead(503, { 'request-id': id, 'not-executed': '1' }).end();
    onArrival(this, req);
    this.running.add(id);
    res.on('close', () => this.running.delete(id));
    res.writeHead(200, {
      'request-id': id,
      'response-signature': `${this.#options.id}.${id}`,
      'content-type': 'text/event-stream',
      ...moreHeaders(id),
    });
    for (
      let event = Number(req.headers['last-event-id'] ?? 0) + 1;
      event <= events && !res.destroyed;
      event += 1
    ) {
      await new Promise((done) => setTimeout(done, eventMs));
      res.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    }
    res.end();
    this.running.delete(id);
  }
}
