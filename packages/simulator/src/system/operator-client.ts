/**
 * A client that sends operators' orders to any core on a list that lags. It retries the same order on another
 * core after a failure, a 5xx status or a time-out, until its answer is definite, and records everything for
 * the checkers.
 */
import type { SeededRandom } from '@rainrun/common';
import type { VirtualTime } from '../world.js';
import { changeIdOf, type Document } from './configuration.js';
import type { CoreDirectory } from './core-directory.js';
import type { Attempt, ChangeOrder, History, Outcome, Read, ZoneOrder } from './history.js';
import type { Machine } from './machine.js';
import {
  answerOperator,
  type ChangeRequest,
  type OperatorReply,
  type OperatorRequest,
} from './operator-desk.js';

/** Result of an order; its kind is `agreed`, a kind of fault, or `given up`. */
export interface OrderEnd {
  readonly kind: string;
  readonly atMs: number;
  /** The configuration that was read. */
  readonly document?: Document;
}

/** A pending or finished order. */
export interface Order {
  readonly request: OperatorRequest;
  readonly createdMs: number;
  /** The client stops retrying at this time. */
  readonly giveUpAtMs: number;
  /** Recorded attempts; the same array as in the history's entry. */
  readonly attempts: Attempt[];
  end: OrderEnd | undefined;
}

/** The parts of the system that the client uses. */
export interface OperatorContext {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly directory: CoreDirectory;
  machineAt(address: string): Machine | undefined;
  note(node: string, text: string): void;
}

const RESPONSE_TIMEOUT_MS = 1000;
const MAX_REDIRECTS = 2;
const INITIAL_BACKOFF_MS = 20;
const BACKOFF_FACTOR = 1.5;
const MAX_BACKOFF_MS = 500;
/** Statuses below 500 that leave the outcome open, so that the order is sent again. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([408, 429]);

/**
 * Sends orders until they have a definite answer and records their history.
 * @example
 * client.send({ kind: 'put', base: 0, document }, true, (end) => note(end.kind));
 */
export class OperatorClient {
  /** Time at which the loss ratio of answers last changed. */
  answerLossChangedMs = -Infinity;
  readonly orders: Order[] = [];
  readonly changes: ChangeOrder[] = [];
  readonly reads: Read[] = [];
  readonly zoneOrders: ZoneOrder[] = [];
  /** Called for each definite answer. */
  onAnswer: ((kind: string) => void) | undefined;
  #context: OperatorContext;
  #answerLossRatio = 0;
  #requests = new Map<ChangeOrder, OperatorRequest>();

  constructor(context: OperatorContext) {
    this.#context = context;
  }

  /** Ratio of answers that are lost in transit. */
  get answerLossRatio(): number {
    return this.#answerLossRatio;
  }

  set answerLossRatio(ratio: number) {
    this.#answerLossRatio = ratio;
    this.answerLossChangedMs = this.#context.time.nowMs();
  }

  /** Returns the request that was sent for a change. */
  requestOf(change: ChangeOrder): OperatorRequest | undefined {
    return this.#requests.get(change);
  }

  get history(): History {
    return { changes: this.changes, reads: this.reads };
  }

  /** Orders without a definite answer so far. */
  get pendingOrders(): readonly Order[] {
    return this.orders.filter((order) => order.end === undefined);
  }

  /** Sends an order until its answer is definite. `valid` is false if every core must refuse the order. */
  send(
    request: OperatorRequest,
    valid: boolean,
    done: (end: OrderEnd) => void = () => undefined,
    forMs = Infinity,
  ): Order {
    const createdMs = this.#context.time.nowMs();
    const order: Order = {
      request,
      createdMs,
      giveUpAtMs: createdMs + forMs,
      attempts: this.#record(request, valid),
      end: undefined,
    };
    this.orders.push(order);
    this.#attempt(order, undefined, INITIAL_BACKOFF_MS, done);
    return order;
  }

  /**
   * Returns the attempts of the same change in the history, or of a new entry. Revision and mark identify a
   * change.
   */
  #record(request: OperatorRequest, valid: boolean): Attempt[] {
    if (request.kind === 'read') return [];
    if (request.kind === 'evacuate' || request.kind === 'return') {
      const attempts: Attempt[] = [];
      const id = `${request.kind}-${this.zoneOrders.length}`;
      this.zoneOrders.push({ id, zone: request.zone, evacuated: request.kind === 'evacuate', attempts });
      return attempts;
    }
    return this.#recordChange(request, valid);
  }

  #recordChange(request: ChangeRequest, valid: boolean): Attempt[] {
    const { id, revision } = identityOf(request);
    const known = this.changes.find((change) => change.id === id && change.base === request.base);
    if (known?.revision === revision) return known.attempts;
    const change: ChangeOrder = { id, base: request.base, revision, valid, attempts: [] };
    this.changes.push(change);
    this.#requests.set(change, request);
    return change.attempts;
  }

  #attempt(
    order: Order,
    previous: Machine | undefined,
    backoffMs: number,
    done: (end: OrderEnd) => void,
  ): void {
    const { time, directory, random } = this.#context;
    if (time.nowMs() > order.giveUpAtMs)
      return this.#finish(order, { kind: 'given up', atMs: time.nowMs() }, done);
    const listed = directory.list();
    const others = listed.filter((core) => core !== previous);
    const choice = others.length > 0 ? others : listed;
    const core = choice[Math.floor(random.next() * choice.length)];
    const attempt: Attempt = { invokedMs: time.nowMs(), respondedMs: Infinity, outcome: 'unknown' };
    order.attempts.push(attempt);
    this.#exchange(order, core, MAX_REDIRECTS, (reply) => {
      attempt.respondedMs = time.nowMs();
      attempt.outcome = outcomeOf(order.request, reply);
      if (attempt.outcome === 'unknown' || reply === undefined) {
        time.after(backoffMs * (0.5 + random.next()), () =>
          this.#attempt(order, core, Math.min(MAX_BACKOFF_MS, backoffMs * BACKOFF_FACTOR), done),
        );
        return;
      }
      this.#handleReply(order, attempt, core, reply, done);
    });
  }

  /** Sends one request and follows redirects; the reply is undefined if none arrives in time. */
  #exchange(
    order: Order,
    core: Machine | undefined,
    redirects: number,
    done: (reply: OperatorReply | undefined) => void,
  ): void {
    const { time, random } = this.#context;
    let open = true;
    const finish = (reply: OperatorReply | undefined): void => {
      if (!open) return;
      open = false;
      if (reply?.status !== 307 || redirects === 0) return done(reply);
      this.#exchange(order, this.#context.machineAt(reply.location ?? ''), redirects - 1, done);
    };
    time.after(RESPONSE_TIMEOUT_MS, () => finish(undefined));
    time.after(0.5 + random.next() * 2, () => {
      const running = core?.running;
      const service = running?.operators;
      if (core === undefined || running === undefined || service === undefined) {
        time.after(1, () => finish(undefined));
        return;
      }
      const deliver = (reply: OperatorReply): void => {
        if (random.next() < this.answerLossRatio) return;
        time.after(0.5 + random.next() * 2, () => finish(reply));
      };
      core.runInProcess(running, () => answerOperator(service, order.request, deliver, () => !open));
    });
  }

  #handleReply(
    order: Order,
    attempt: Attempt,
    core: Machine | undefined,
    reply: OperatorReply,
    done: (end: OrderEnd) => void,
  ): void {
    const { kind, detail, document } = reply;
    const { request } = order;
    this.#context.note(core?.name ?? '', `${request.kind} ${kind}: ${detail}`);
    if (request.kind === 'read') this.#recordRead(attempt, document);
    const end: OrderEnd = { kind, atMs: attempt.respondedMs };
    this.#finish(order, document === undefined ? end : { ...end, document }, done);
    this.onAnswer?.(kind);
  }

  #recordRead({ invokedMs, respondedMs }: Attempt, document: Document | undefined): void {
    const revision = Number(document?.['revision'] ?? 0);
    const changeId = changeIdOf(revision, document);
    this.reads.push({ reader: 'operator', invokedMs, respondedMs, revision, changeId });
  }

  #finish(order: Order, end: OrderEnd, done: (end: OrderEnd) => void): void {
    order.end = end;
    done(end);
  }
}

/**
 * Classifies a reply. A read before the first configuration is answered with 404, which is a definite answer.
 */
function outcomeOf(request: OperatorRequest, reply: OperatorReply | undefined): Outcome {
  if (
    reply === undefined ||
    reply.status >= 500 ||
    RETRYABLE_STATUSES.has(reply.status) ||
    reply.status === 307
  )
    return 'unknown';
  if (reply.status < 300 || (request.kind === 'read' && reply.status === 404)) return 'acknowledged';
  return 'refused';
}

function identityOf(request: ChangeRequest): { readonly id: string; readonly revision: number } {
  const written = request.kind === 'put' ? request.document : request.patch.set;
  const revision = request.kind === 'put' ? Number(request.document['revision']) : request.patch.revision;
  return { id: changeIdOf(revision, written) ?? '', revision };
}
