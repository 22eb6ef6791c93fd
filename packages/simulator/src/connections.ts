import type { SendHandler, Sender, Sending, SendRequest } from '@rainrun/gateway';
import type { SimulationContext, SimWorker, WorkerConnection } from './simulation-context.js';

/** The edge process that a sender belongs to: runs an act there, when it is awake, or never if it has died. */
export type AtEdge = (act: () => void) => void;

const CONNECT_MS = 1000;
const PROBE_MS = 600;
const AGAIN_MS = 20;
/** Part of the sends that find a connection open from before. */
const KEPT_RATIO = 0.5;

/** One direction of a connection: in order, late, and held up for as long as it is cut. */
class Pipe {
  #grounds: SimulationContext;
  #isCut: () => boolean;
  /** Whether the machine that sends still has power: what it held up goes with it. */
  #isPowered: () => boolean;
  #acts: (() => void)[] = [];
  #moving = false;

  constructor(grounds: SimulationContext, isCut: () => boolean, isPowered: () => boolean) {
    this.#grounds = grounds;
    this.#isCut = isCut;
    this.#isPowered = isPowered;
  }

  post(act: () => void): void {
    this.#acts.push(act);
    if (this.#moving) return;
    this.#moving = true;
    this.#move();
  }

  /** What has not arrived yet never will: the connection was reset. */
  drop(): void {
    this.#acts = [];
  }

  #move(): void {
    const { time, random: dice } = this.#grounds;
    time.after(0.2 + dice.next() * 2, () => {
      if (this.#isCut()) {
        if (!this.#isPowered()) this.drop();
        return time.after(AGAIN_MS, () => this.#move());
      }
      this.#acts.shift()?.();
      this.#moving = this.#acts.length > 0;
      if (this.#moving) this.#move();
    });
  }
}

/** One request on its connection, as the edge sees it. */
class SimFlight implements Sending {
  #grounds: SimulationContext;
  #request: SendRequest;
  #handler: SendHandler;
  #worker: SimWorker;
  #atEdge: AtEdge;
  #there: Pipe;
  #back: Pipe;
  #over = false;
  #heardMs = 0;
  #line: WorkerConnection | undefined;

  constructor(
    grounds: SimulationContext,
    edge: string,
    worker: SimWorker,
    request: SendRequest,
    handler: SendHandler,
    atEdge: AtEdge,
    isPowered: () => boolean,
  ) {
    this.#grounds = grounds;
    this.#request = request;
    this.#handler = handler;
    this.#worker = worker;
    this.#atEdge = atEdge;
    this.#there = new Pipe(grounds, () => grounds.isCut(edge, worker.name), isPowered);
    this.#back = new Pipe(
      grounds,
      () => grounds.isCut(worker.name, edge),
      () => worker.up,
    );
    this.#connect(() => grounds.isCut(edge, worker.name) || grounds.isCut(worker.name, edge));
  }

  /** The edge resets the connection; the worker notices when word of it arrives. */
  abort(): void {
    this.#over = true;
    this.#there.drop();
    this.#there.post(() => this.#line?.left());
  }

  pause(): void {
    return;
  }

  resume(): void {
    return;
  }

  #connect(isCut: () => boolean): void {
    const { time, random: dice } = this.#grounds;
    const open = dice.next() < KEPT_RATIO;
    time.after(0.2 + dice.next() * 2, () => {
      if (!this.#worker.up) return this.#fail(false, 'refused');
      if (!open && isCut()) return time.after(CONNECT_MS, () => this.#fail(false, 'no connection'));
      this.#atEdge(() => this.#start());
    });
  }

  #start(): void {
    const { time, oracle } = this.#grounds;
    const id = this.#request.headers['rainrun-id'] ?? '';
    if (this.#over || !this.#handler.mayStart()) return this.#fail(false, 'not started');
    oracle.sent(id, time.nowMs());
    this.#heardMs = time.nowMs();
    this.#watch();
    this.#there.post(() => {
      this.#line = this.#worker.serve(id, {
        start: (status, type) => this.#hear(() => this.#handler.start(status, type)),
        chunk: (text) => this.#hear(() => this.#handler.chunk(Buffer.from(text))),
        end: () => this.#hear(() => this.#finish(() => this.#handler.end())),
        fail: () => this.#hear(() => this.#finish(() => this.#handler.failed(true, 'reset'))),
      });
    });
  }

  /** The silence that undici allows between two pieces. */
  #watch(): void {
    const { time } = this.#grounds;
    time.after(Math.max(1, this.#heardMs + this.#request.stallMs - time.nowMs()), () => {
      if (this.#over) return;
      if (time.nowMs() < this.#heardMs + this.#request.stallMs) return this.#watch();
      this.#fail(true, 'silent');
    });
  }

  #hear(act: () => void): void {
    this.#back.post(() =>
      this.#atEdge(() => {
        if (this.#over) return;
        this.#heardMs = this.#grounds.time.nowMs();
        act();
      }),
    );
  }

  #fail(sent: boolean, why: string): void {
    this.#atEdge(() => {
      this.#finish(() => this.#handler.failed(sent, why));
      if (sent) this.abort();
    });
  }

  #finish(act: () => void): void {
    if (this.#over) return;
    this.#over = true;
    act();
  }
}

/** Carries requests from one simulated edge process to the workers, over connections that can be cut. */
export class SimSender implements Sender {
  #context: SimulationContext;
  #edge: string;
  #workers: readonly SimWorker[];
  #atEdge: AtEdge;
  #isPowered: () => boolean;

  constructor(
    grounds: SimulationContext,
    edge: string,
    workers: readonly SimWorker[],
    atEdge: AtEdge,
    isPowered: () => boolean,
  ) {
    this.#isPowered = isPowered;
    this.#context = grounds;
    this.#edge = edge;
    this.#workers = workers;
    this.#atEdge = atEdge;
  }

  probe(address: string, done: (reached: boolean) => void): void {
    const { time, random: dice, isCut } = this.#context;
    const cut = isCut(this.#edge, address) || isCut(address, this.#edge);
    time.after(cut ? PROBE_MS : 0.2 + dice.next() * 2, () => this.#atEdge(() => done(!cut)));
  }

  send(request: SendRequest, handler: SendHandler): Sending {
    const worker = this.#workers.find((known) => known.name === request.address);
    if (worker !== undefined)
      return new SimFlight(
        this.#context,
        this.#edge,
        worker,
        request,
        handler,
        this.#atEdge,
        this.#isPowered,
      );
    this.#context.time.after(1, () => this.#atEdge(() => handler.failed(false, 'no such address')));
    return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
  }
}
