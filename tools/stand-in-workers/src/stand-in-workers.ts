import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { RequestLog, type Report } from './report.js';
import { StandInWorker, type FaultMode, type WorkerSetup } from './worker.js';

/** Setup of the stand-ins: where the platform's list is served, and the workers. */
export interface StandInWorkersSetup {
  readonly host: string;
  readonly port: number;
  readonly pullsPerMinute: number;
  readonly workers: readonly (WorkerSetup & { readonly pool: string })[];
}

/**
 * Stand-in workers, lookups and platform list, in one process.
 * @example
 * const standIns = new StandInWorkers(setup);
 * await standIns.start();
 */
export class StandInWorkers {
  #setup: StandInWorkersSetup;
  #log: RequestLog;
  #workers = new Map<string, StandInWorker>();
  #pools = new Map<string, string>();
  #generation = 1;
  #server: Server;

  constructor(setup: StandInWorkersSetup) {
    this.#setup = setup;
    this.#log = new RequestLog(setup.pullsPerMinute);
    for (const worker of setup.workers) {
      this.#workers.set(worker.name, new StandInWorker(worker, this.#log));
      this.#pools.set(worker.name, worker.pool);
    }
    this.#server = createServer((req, res) => {
      void this.#handleRequest(req, res);
    });
  }

  async start(): Promise<void> {
    for (const worker of this.#workers.values()) await worker.listen();
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#setup.port, this.#setup.host, () => resolve());
    });
  }

  report(): Report {
    return this.#log.report();
  }

  /** The platform's current worker list. */
  list(): unknown {
    return {
      generation: this.#generation,
      workers: [...this.#workers.values()].map((worker) => ({
        name: worker.setup.name,
        address: `${worker.setup.host}:${worker.setup.port}`,
        zone: worker.setup.zone,
        kind: worker.setup.kind,
        pool: this.#pools.get(worker.setup.name),
        leaving: worker.leaving,
      })),
    };
  }

  /** Applies `leave`, `crash`, `return`, `remove`, `emptied`, `restored` or a fault mode to one worker. */
  async act(name: string, action: string): Promise<boolean> {
    const worker = this.#workers.get(name);
    if (worker === undefined) return false;
    if (action === 'leave') {
      worker.leave(performance.now());
      this.#generation += 1;
    } else if (action === 'crash') await worker.crash();
    else if (action === 'remove') {
      this.#workers.delete(name);
      this.#generation += 1;
      await worker.crash();
    } else if (action === 'return') {
      const fresh = new StandInWorker(worker.setup, this.#log);
      await fresh.listen();
      this.#workers.set(name, fresh);
      this.#generation += 1;
    } else if (action === 'emptied') worker.zoneEmptied(performance.now());
    else if (action === 'restored') worker.zoneEmptied(undefined);
    else worker.faultMode = action as FaultMode;
    return true;
  }

  async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const [, first, second, third] = (req.url ?? '').split('/');
    let body: unknown = { error: 'not found' };
    let status = 404;
    if (first === 'workers' && second === undefined) {
      status = 200;
      body = this.list();
    } else if (first === 'report') {
      status = 200;
      body = this.report();
    } else if (first === 'act' && req.method === 'POST') {
      const done = await this.act(second ?? '', third ?? '');
      status = done ? 200 : 404;
      body = { done };
    }
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify(body));
  }
}
