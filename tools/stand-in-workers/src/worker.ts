import { setTimeout as pause } from 'node:timers/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { digest, piece, pieceCount } from './answers.js';
import type { RequestLog } from './report.js';

interface Holding {
  readonly model: string;
  readonly adapters: readonly string[];
}

interface Order {
  readonly epoch: number;
  readonly sequence: number;
  readonly action: string;
  readonly model: string;
  readonly adapter: string;
}

/** How one stand-in worker is set up. */
export interface WorkerSetup {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  readonly kind: 'model' | 'lookup';
  readonly roomMb: number;
  readonly slots: number;
  readonly sizesMb: ReadonlyMap<string, number>;
  readonly pullMbPerS: number;
  readonly pieceMs: number;
}

/** Ways in which a stand-in worker can be made to misbehave. */
export type FaultMode = 'well' | 'dark' | 'nonsense' | 'early' | 'more' | 'slow';

const WARM_UP_MS = 500;
const LEAVING_GRACE_MS = 3000;
const EMPTIED_GRACE_MS = 5000;

function readAll(req: IncomingMessage): Promise<string> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    req.on('data', (part: Buffer) => parts.push(part));
    req.on('end', () => resolve(Buffer.concat(parts).toString('utf8')));
    req.on('error', () => resolve(''));
  });
}

function json(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** A stand-in worker: serves models by the published protocols and records overload and forbidden work. */
export class StandInWorker {
  readonly setup: WorkerSetup;
  #log: RequestLog;
  #server: Server;
  #holdings = new Map<string, Set<string>>();
  #loadedMs = new Map<string, number>();
  #busy = false;
  #epoch = 0;
  #sequence = 0;
  #running = 0;
  #faultMode: FaultMode = 'well';
  #leavingMs: number | undefined;
  #emptiedMs: number | undefined;
  #runs = 0;

  constructor(setup: WorkerSetup, log: RequestLog) {
    this.setup = setup;
    this.#log = log;
    this.#server = createServer((req, res) => {
      void this.#handleRequest(req, res);
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  get leaving(): boolean {
    return this.#leavingMs !== undefined;
  }

  set faultMode(faultMode: FaultMode) {
    this.#faultMode = faultMode;
  }

  leave(nowMs: number): void {
    this.#leavingMs ??= nowMs;
  }

  /** Sets when operators were told that this worker's zone is emptied; `undefined` once it is restored. */
  zoneEmptied(nowMs: number | undefined): void {
    this.#emptiedMs = nowMs;
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.setup.port, this.setup.host, () => resolve());
    });
  }

  /** Stops at once, as a crash does: drops the holdings and closes all connections. */
  crash(): Promise<void> {
    this.#holdings.clear();
    this.#loadedMs.clear();
    this.#busy = false;
    this.#server.closeAllConnections();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#faultMode === 'dark') return;
    const body = await readAll(req);
    if (req.url === '/orders') return this.#handleOrder(JSON.parse(body) as Order, res);
    const id = String(req.headers['rainrun-id'] ?? '');
    this.#checkLateWork('it was marked as leaving', this.#leavingMs, LEAVING_GRACE_MS);
    this.#checkLateWork('its zone was emptied', this.#emptiedMs, EMPTIED_GRACE_MS);
    if (this.setup.kind === 'lookup') return this.#handleLookup(req, res, id);
    await this.#handleChat(JSON.parse(body) as ChatBody, req, res, id);
  }

  /** Records a breach if work arrives more than `graceMs` after `sinceMs`, and keeps the longest delay. */
  #checkLateWork(what: string, sinceMs: number | undefined, graceMs: number): void {
    if (sinceMs === undefined) return;
    const lateMs = performance.now() - sinceMs;
    this.#log.recordMax(`last work after ${what}, ms`, lateMs);
    if (lateMs > graceMs)
      this.#log.breach(`${this.setup.name} got work ${lateMs.toFixed(0)} ms after ${what}`);
  }

  async #handleLookup(req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
    this.#log.ran(id, true);
    this.#log.count('lookups');
    await pause(this.#faultMode === 'slow' ? 3000 : 5);
    if (this.#faultMode === 'nonsense') {
      res.end('<html>');
      return;
    }
    json(res, 200, { path: req.url, value: digest(req.url ?? '') });
  }

  async #handleOrder(order: Order, res: ServerResponse): Promise<void> {
    const { epoch, sequence, action, model, adapter } = order;
    if (epoch < this.#epoch) {
      json(res, 409, { error: `epoch ${this.#epoch} orders now` });
      return;
    }
    if (epoch === this.#epoch && sequence <= this.#sequence) {
      json(res, 409, { error: `order ${sequence} is late: ${this.#sequence} was seen` });
      return;
    }
    this.#epoch = epoch;
    this.#sequence = sequence;
    if (action !== 'inventory' && this.#busy) {
      this.#log.breach(`${this.setup.name} got an order while it carried out another`);
      json(res, 409, { error: 'busy' });
      return;
    }
    if (action === 'unload') this.#unload(model, adapter);
    if (action === 'load') await this.#load(model, adapter);
    json(res, 200, { holdings: this.#listHoldings(), busy: this.#busy });
  }

  #unload(model: string, adapter: string): void {
    this.#log.count('unloads');
    if (adapter === '') this.#holdings.delete(model);
    else this.#holdings.get(model)?.delete(adapter);
  }

  async #load(model: string, adapter: string): Promise<void> {
    const sizeMb = this.setup.sizesMb.get(adapter === '' ? model : adapter) ?? 0;
    const heldMb = this.#heldMb();
    if (heldMb + sizeMb > this.setup.roomMb) {
      this.#log.breach(
        `${this.setup.name} was told to hold ${heldMb + sizeMb} MB in ${this.setup.roomMb} MB`,
      );
    }
    this.#log.pulled(performance.now());
    this.#busy = true;
    await pause((sizeMb / this.setup.pullMbPerS) * 1000);
    this.#busy = false;
    const adapters = this.#holdings.get(model) ?? new Set<string>();
    if (adapter !== '') adapters.add(adapter);
    this.#holdings.set(model, adapters);
    this.#loadedMs.set(adapter === '' ? model : `${model}/${adapter}`, performance.now());
  }

  #heldMb(): number {
    let sumMb = 0;
    for (const [model, adapters] of this.#holdings) {
      sumMb += this.setup.sizesMb.get(model) ?? 0;
      for (const adapter of adapters) sumMb += this.setup.sizesMb.get(adapter) ?? 0;
    }
    return sumMb;
  }

  #listHoldings(): Holding[] {
    return [...this.#holdings].map(([model, adapters]) => ({ model, adapters: [...adapters] }));
  }

  async #handleChat(chat: ChatBody, req: IncomingMessage, res: ServerResponse, id: string): Promise<void> {
    const { model, adapter = '', stream = false, messages } = chat;
    if (
      this.#holdings.get(model) === undefined ||
      (adapter !== '' && this.#holdings.get(model)?.has(adapter) !== true)
    ) {
      this.#log.count('not-held');
      json(res, 503, { error: 'not held here', ran: false });
      return;
    }
    if (this.#running >= this.setup.slots * 2) {
      this.#log.count('full');
      json(res, 503, { error: 'full', ran: false });
      return;
    }
    this.#running += 1;
    this.#checkWarmUp(model);
    this.#runs += 1;
    this.#log.ran(id, false);
    this.#log.count('chats');
    const run = `${this.setup.name}-${this.#runs}`;
    const prompt = messages.map((message) => message.content).join('\n');
    await this.#reply({ model, adapter, prompt, run, stream }, req, res);
    this.#running -= 1;
  }

  #checkWarmUp(model: string): void {
    const sinceLoadMs = performance.now() - (this.#loadedMs.get(model) ?? -Infinity);
    if (sinceLoadMs < WARM_UP_MS && this.#running > this.setup.slots)
      this.#log.breach(
        `${this.setup.name} was flooded ${sinceLoadMs.toFixed(0)} ms after it loaded ${model}`,
      );
  }

  async #reply(request: ChatRequest, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { model, adapter, prompt, run, stream } = request;
    const faultMode = this.#faultMode;
    const pieceDelayMs = this.setup.pieceMs * Math.max(1, this.#running / this.setup.slots);
    const count = faultMode === 'early' ? 2 : pieceCount(prompt);
    if (faultMode === 'nonsense') {
      res.end('no such thing');
      return;
    }
    if (stream) res.writeHead(200, { 'content-type': 'text/event-stream' });
    let answer = '';
    for (let index = 0; index < count; index += 1) {
      await pause(pieceDelayMs);
      if (res.destroyed) {
        this.#log.count('visitor-left');
        return;
      }
      const text = piece(model, adapter, prompt, index, run);
      answer += text;
      if (stream)
        res.write(`data: ${JSON.stringify({ choices: [{ index: 0, delta: { content: text } }] })}\n\n`);
    }
    if (!stream && faultMode === 'early') {
      res.writeHead(200, { 'content-type': 'application/json', 'content-length': 10_000 });
      res.write('{"choices":');
      setImmediate(() => req.socket.destroy());
      return;
    }
    if (!stream) {
      json(res, 200, { choices: [{ index: 0, message: { role: 'assistant', content: answer } }] });
      return;
    }
    if (faultMode === 'early') {
      req.socket.destroy();
      return;
    }
    res.write('data: [DONE]\n\n');
    if (faultMode === 'more') res.write(`data: ${JSON.stringify({ choices: [] })}\n\n`);
    res.end();
  }
}

interface ChatBody {
  readonly model: string;
  readonly adapter?: string;
  readonly stream?: boolean;
  readonly messages: readonly { readonly content: string }[];
}

interface ChatRequest {
  readonly model: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly run: string;
  readonly stream: boolean;
}
