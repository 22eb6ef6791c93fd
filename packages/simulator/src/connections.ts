import type { SendHandler, Sender, SendHandle, SendRequest } from '@rainrun/gateway';
import type { SimulationContext, SimWorker, WorkerConnection } from './simulation-context.js';

/** Runs an action in the edge process of a sender: once it is not frozen, or never if it was killed. */
export type RunAtEdge = (act: () => void) => void;

const CONNECT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 600;
const BLOCKED_RETRY_MS = 20;
/** Fraction of the requests that reuse an open connection. */
const REUSED_CONNECTION_RATIO = 0.5;

/**
 * One direction of a connection: delivers in order and with delay, and holds messages back while it is
 * cut.
 */
class OneWayChannel {
  #context: SimulationContext;
  #isCut: () => boolean;
  /** Whether the sending machine has power; without it, messages held back by a cut are lost. */
  #isPowered: () => boolean;
  #pending: (() => void)[] = [];
  #isDelivering = false;

  constructor(context: SimulationContext, isCut: () => boolean, isPowered: () => boolean) {
    this.#context = context;
    this.#isCut = isCut;
    this.#isPowered = isPowered;
  }

  send(act: () => void): void {
    this.#pending.push(act);
    if (this.#isDelivering) return;
    this.#isDelivering = true;
    this.#deliverNext();
  }

  /** Drops all messages not yet delivered, as a connection reset does. */
  drop(): void {
    this.#pending = [];
  }

  #deliverNext(): void {
    const { time, random: rng } = this.#context;
    time.after(0.2 + rng.next() * 2, () => {
      if (this.#isCut()) {
        if (!this.#isPowered()) this.drop();
        return time.after(BLOCKED_RETRY_MS, () => this.#deliverNext());
      }
      this.#pending.shift()?.();
      this.#isDelivering = this.#pending.length > 0;
      if (this.#isDelivering) this.#deliverNext();
    });
  }
}

/** One attempt to send a request to a worker, seen from the edge. */
class SimAttempt implements SendHandle {
  #context: SimulationContext;
  #request: SendRequest;
  #handler: SendHandler;
  #worker: SimWorker;
  #runAtEdge: RunAtEdge;
  #toWorker: OneWayChannel;
  #toEdge: OneWayChannel;
  #ended = false;
  #lastReceivedMs = 0;
  #connection: WorkerConnection | undefined;

  constructor(
    context: SimulationContext,
    edge: string,
    worker: SimWorker,
    request: SendRequest,
    handler: SendHandler,
    atEdge: RunAtEdge,
    isPowered: () => boolean,
  ) {
    this.#context = context;
    this.#request = request;
    this.#handler = handler;
    this.#worker = worker;
    this.#runAtEdge = atEdge;
    this.#toWorker = new OneWayChannel(context, () => context.isCut(edge, worker.name), isPowered);
    this.#toEdge = new OneWayChannel(
      context,
      () => context.isCut(worker.name, edge),
      () => worker.up,
    );
    this.#connect(() => context.isCut(edge, worker.name) || context.isCut(worker.name, edge));
  }

  /** Resets the connection from the edge; the worker notices when the reset arrives. */
  abort(): void {
    this.#ended = true;
    this.#toWorker.drop();
    this.#toWorker.send(() => this.#connection?.closed());
  }

  discard(): void {
    return;
  }

  pause(): void {
    return;
  }

  resume(): void {
    return;
  }

  #connect(isCut: () => boolean): void {
    const { time, random: rng } = this.#context;
    const open = rng.next() < REUSED_CONNECTION_RATIO;
    time.after(0.2 + rng.next() * 2, () => {
      if (!this.#worker.up) return this.#fail(false, 'refused');
      if (!open && isCut()) return time.after(CONNECT_TIMEOUT_MS, () => this.#fail(false, 'no connection'));
      this.#runAtEdge(() => this.#start());
    });
  }

  #start(): void {
    const { time, oracle } = this.#context;
    const id = this.#request.headers['rainrun-id'] ?? '';
    if (this.#ended || !this.#handler.mayStart()) return this.#fail(false, 'not started');
    oracle.attemptSent(id, time.nowMs());
    this.#lastReceivedMs = time.nowMs();
    this.#watchIdle();
    this.#toWorker.send(() => {
      this.#connection = this.#worker.serve(id, {
        start: (status, type) => this.#receive(() => this.#handler.start(status, type)),
        chunk: (text) => this.#receive(() => this.#handler.chunk(Buffer.from(text))),
        end: () => this.#receive(() => this.#finish(() => this.#handler.end())),
        fail: () => this.#receive(() => this.#finish(() => this.#handler.failed(true, 'reset'))),
      });
    });
  }

  /** Fails the attempt if nothing arrives for `stallMs`, like undici's timeout between two chunks. */
  #watchIdle(): void {
    const { time } = this.#context;
    time.after(Math.max(1, this.#lastReceivedMs + this.#request.stallMs - time.nowMs()), () => {
      if (this.#ended) return;
      if (time.nowMs() < this.#lastReceivedMs + this.#request.stallMs) return this.#watchIdle();
      this.#fail(true, 'silent');
    });
  }

  #receive(act: () => void): void {
    this.#toEdge.send(() =>
      this.#runAtEdge(() => {
        if (this.#ended) return;
        this.#lastReceivedMs = this.#context.time.nowMs();
        act();
      }),
    );
  }

  #fail(sent: boolean, why: string): void {
    this.#runAtEdge(() => {
      this.#finish(() => this.#handler.failed(sent, why));
      if (sent) this.abort();
    });
  }

  #finish(act: () => void): void {
    if (this.#ended) return;
    this.#ended = true;
    act();
  }
}

/** Sends requests from one simulated edge process to the workers, over connections that can be cut. */
export class SimSender implements Sender {
  #context: SimulationContext;
  #edge: string;
  #workers: readonly SimWorker[];
  #runAtEdge: RunAtEdge;
  #isPowered: () => boolean;

  constructor(
    context: SimulationContext,
    edge: string,
    workers: readonly SimWorker[],
    atEdge: RunAtEdge,
    isPowered: () => boolean,
  ) {
    this.#isPowered = isPowered;
    this.#context = context;
    this.#edge = edge;
    this.#workers = workers;
    this.#runAtEdge = atEdge;
  }

  probe(address: string, done: (reached: boolean) => void): void {
    const { time, random: rng, isCut } = this.#context;
    const cut = isCut(this.#edge, address) || isCut(address, this.#edge);
    time.after(cut ? PROBE_TIMEOUT_MS : 0.2 + rng.next() * 2, () => this.#runAtEdge(() => done(!cut)));
  }

  send(request: SendRequest, handler: SendHandler): SendHandle {
    const worker = this.#workers.find((known) => known.name === request.address);
    if (worker !== undefined)
      return new SimAttempt(
        this.#context,
        this.#edge,
        worker,
        request,
        handler,
        this.#runAtEdge,
        this.#isPowered,
      );
    this.#context.time.after(1, () => this.#runAtEdge(() => handler.failed(false, 'no such address')));
    return {
      abort: () => undefined,
      discard: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
    };
  }
}
