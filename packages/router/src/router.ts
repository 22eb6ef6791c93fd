import { RetryBudget, type Link } from '@rainrun/gateway';
import type { Configuration, RouteEntry } from '@rainrun/configuration';
import { fault, type Clock, type Fault } from '@rainrun/common';
import { Balancer, type NoWorker } from './balancer.js';
import { DemandMeter, type EdgeDemand } from './demand-meter.js';
import { EarlyRequests } from './early-requests.js';
import { Outcomes, type WorkerOutcomes } from './outcomes.js';
import type { ClientRequest, ResponseSink, RoutedRequest, WorkerView } from './request.js';
import { RouteTable } from './routes.js';
import { Attempt, type AttemptEnd, type HeaderNames } from './attempt.js';

/** What the router is given by its node. */
export interface RouterDependencies {
  readonly zone: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly headerNames: HeaderNames;
  /** Extra sends: a part of the first ones, and this many more in the fleet, in any window. */
  readonly retries: { readonly ratio: number; readonly extra: number };
  configuration(): Configuration | undefined;
  evacuated(): readonly string[];
  workers(): ReadonlyMap<string, WorkerView>;
  edges(): number;
  incarnation(): string;
  region(zone: string): string;
  /** A model is asked for that stands nowhere. */
  missing(): void;
  /** A request begins to wait: from now on `tick` is to be called as often as it may be sent. */
  waits(): void;
}

const AGAIN_MS = 25;
const HELD_AGAIN_S = 0.2;
const CROWD_MOST = 2000;
const UNCONFIGURED = fault('not-admitting', 'no configuration is known here yet');
/** A stream that is to go on elsewhere looks for a worker this often. */
const RESUME_EVERY_MS = 250;
/** Clients give a stream up after a silence of the longest of these. */
const SILENCE_BORNE = { leastMs: 2000, targets: 4, gaps: 8 } as const;

/**
 * The data plane of an edge for routes and services. A request waits for a
 * worker that may take it and is sent once; again only where its route allows
 * it or the worker has not run it, and within the fleet's budget.
 * @example
 * const router = new Router(dependencies);
 * const leave = router.take(ask, port);
 * router.tick(); // every 20 ms and after each change
 */
export class Router {
  #dependencies: RouterDependencies;
  #balancer: Balancer;
  #table: { readonly configuration: Configuration; readonly routes: RouteTable } | undefined;
  #waiting = new Set<RoutedRequest>();
  #runs = new Set<Attempt>();
  #early = new EarlyRequests({
    take: (ask, port) => this.take(ask, port),
    refuse: (port) => void this.#turnAway(port, UNCONFIGURED),
  });
  #budgets = new Map<string, RetryBudget>();
  #demand = new DemandMeter();
  #outcomes = new Outcomes();
  #counts = new Map<string, number>();
  /** Ids of requests under way that may not be repeated. */
  #once = new Set<string>();
  #closed = false;

  constructor(dependencies: RouterDependencies) {
    this.#dependencies = dependencies;
    this.#balancer = new Balancer({
      zone: dependencies.zone,
      salt: dependencies.incarnation(),
      nowMs: () => dependencies.clock.nowMs(),
      evacuated: () => dependencies.evacuated(),
      edges: () => dependencies.edges(),
      region: (zone) => dependencies.region(zone),
    });
  }

  get inFlight(): number {
    return this.#runs.size;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get counts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }

  /** Takes a request; the returned function says that the client has left. */
  take(ask: ClientRequest, port: ResponseSink): () => void {
    this.#count('taken');
    if (this.#closed) return this.#turnAway(port, fault('draining', 'this node ends'));
    const configuration = this.#dependencies.configuration();
    if (configuration === undefined) {
      if (this.#early.size >= CROWD_MOST) return this.#turnAway(port, UNCONFIGURED);
      return this.#early.hold(ask, port, this.#dependencies.clock.nowMs());
    }
    if (this.#table?.configuration !== configuration)
      this.#table = { configuration, routes: new RouteTable(configuration) };
    const route = this.#table.routes.find(ask.host, ask.target);
    const target = route === undefined ? undefined : this.#table.routes.target(route, ask.id);
    if (target === undefined)
      return this.#turnAway(port, fault('not-found', `no route for ${ask.host}${ask.target}`));
    const nowMs = this.#dependencies.clock.nowMs();
    const { service } = target;
    const streamed = target.route.kind === 'streaming';
    const passage: RoutedRequest = {
      request: ask,
      port,
      route: target.route,
      service,
      key: `${service.name}/${ask.model}/${ask.adapter}`,
      arrivedMs: nowMs,
      endMs: nowMs + Math.min(target.route.timeoutMs, ask.deadlineMs ?? Infinity),
      idempotent: target.route.kind === 'idempotent' || (streamed && target.route.resumable),
      streamed,
      arrivals: 0,
      sentTo: new Map(),
      avoided: new Set(),
      opened: false,
      passedMs: nowMs,
      lastEventId: ask.lastEventId,
      ran: false,
      left: false,
      reserved: false,
      unpaid: false,
      notBeforeMs: nowMs,
      waitsFor: undefined,
      cancel: undefined,
    };
    if (this.#waiting.size >= CROWD_MOST)
      return this.#turnAway(port, { ...fault('over-share', 'too many requests wait here'), retryAfterS: 1 });
    if (!passage.idempotent && this.#once.has(ask.id))
      return this.#turnAway(port, fault('outcome-unknown', 'a request with this id is under way here'));
    if (!passage.idempotent) this.#once.add(ask.id);
    this.#budget(passage).first(this.#dependencies.retries.ratio);
    this.#demand.arrived(passage, nowMs);
    this.#dispatch(passage, nowMs);
    return () => this.#left(passage);
  }

  /** Answers whatever has no answer yet, and takes nothing more. */
  close(): void {
    this.#closed = true;
    this.#early.close();
    for (const run of [...this.#runs]) run.giveUp();
    for (const passage of [...this.#waiting]) this.#giveUp(passage);
  }

  /** Gives up what has waited too long, and sends what can be sent now. */
  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#balancer.keepOnly(this.#dependencies.workers());
    if (this.#early.size > 0) this.#early.release(this.#dependencies.configuration() !== undefined, nowMs);
    const order = [...this.#waiting].sort(
      (one, other) => one.route.priority - other.route.priority || one.arrivedMs - other.arrivedMs,
    );
    const nowhere = new Set<string>();
    for (const passage of order) {
      if (nowMs >= passage.endMs) this.#giveUp(passage);
      else if (passage.opened && nowMs - passage.passedMs >= silenceBorneMs(passage.route))
        this.#cut(passage);
      else if (passage.opened && !passage.reserved) this.#resume(passage, nowMs);
      else if (nowMs >= passage.notBeforeMs && !(passage.avoided.size === 0 && nowhere.has(passage.key))) {
        if (!this.#dispatch(passage, nowMs) && passage.avoided.size === 0) nowhere.add(passage.key);
      }
    }
    for (const run of [...this.#runs]) run.tick(nowMs);
  }

  /** What is asked for now, by service, model and adapter. */
  asked(): EdgeDemand[] {
    return this.#demand.asked(this.#waiting, this.#dependencies.clock.nowMs());
  }

  /** How requests to workers ended since the last call. */
  takeOutcomes(): WorkerOutcomes[] {
    return this.#outcomes.take();
  }

  /** One budget a service: the bound is the service's. */
  #budget(passage: RoutedRequest): RetryBudget {
    const name = passage.service.name;
    let budget = this.#budgets.get(name);
    if (budget === undefined) {
      budget = new RetryBudget();
      this.#budgets.set(name, budget);
    }
    budget.allot(
      this.#dependencies.incarnation(),
      this.#dependencies.retries.extra / Math.max(1, this.#dependencies.edges()),
    );
    return budget;
  }

  #turnAway(port: ResponseSink, why: Fault): () => void {
    this.#count(`refused ${why.kind}`);
    port.reject(why);
    return () => undefined;
  }

  /** Sends a request if a worker may take it now; false: it waits. */
  #dispatch(passage: RoutedRequest, nowMs: number): boolean {
    const choice = this.#choose(passage);
    if (typeof choice === 'string') {
      this.#wait(passage, choice);
      return false;
    }
    this.#waiting.delete(passage);
    passage.waitsFor = undefined;
    this.#send(passage, choice, nowMs);
    return true;
  }

  /** Once a request was sent to as many workers as its route allows, only these are left for it. */
  #choose(passage: RoutedRequest): WorkerView | NoWorker {
    const workers = this.#dependencies.workers();
    if (passage.sentTo.size < passage.route.attempts) return this.#balancer.choose(passage, workers.values());
    const known = [...passage.sentTo.keys()].map((id) => workers.get(id));
    return this.#balancer.choose(
      passage,
      known.filter((worker) => worker !== undefined),
    );
  }

  /** Whether a request can leave its worker for another one at once; if so, a part of the budget is set aside. */
  #mayMove(passage: RoutedRequest, worker: WorkerView): boolean {
    if (passage.arrivals < passage.route.attempts && this.#budget(passage).reserve()) {
      passage.avoided.add(worker.id);
      passage.reserved = typeof this.#choose(passage) !== 'string';
      if (passage.reserved) return true;
      passage.avoided.delete(worker.id);
      this.#budget(passage).release();
    }
    return false;
  }

  /** The client has a part of this stream, and no worker may take the rest now. */
  #hold(passage: RoutedRequest): void {
    passage.avoided.clear();
    passage.unpaid = false;
    passage.cancel = undefined;
    this.#waiting.add(passage);
  }

  /**
   * A stream of which the client has a part goes on looking for a worker, as
   * long as the client bears its silence and a worker may take it.
   */
  #resume(passage: RoutedRequest, nowMs: number): void {
    if (nowMs < passage.notBeforeMs) return;
    passage.notBeforeMs = nowMs + RESUME_EVERY_MS;
    if (!this.#budget(passage).reserve()) return;
    passage.reserved = true;
    const choice = this.#choose(passage);
    if (typeof choice !== 'string') {
      this.#waiting.delete(passage);
      return this.#send(passage, choice, nowMs);
    }
    this.#release(passage);
    if (choice === 'none' && passage.sentTo.size >= passage.route.attempts) this.#cut(passage);
  }

  #cut(passage: RoutedRequest): void {
    this.#waiting.delete(passage);
    this.#release(passage);
    this.#once.delete(passage.request.id);
    this.#count('cut off');
    passage.port.abort();
  }

  #wait(passage: RoutedRequest, why: NoWorker): void {
    const isNews = passage.waitsFor !== why;
    if (!this.#waiting.has(passage)) this.#dependencies.waits();
    this.#waiting.add(passage);
    passage.cancel = undefined;
    passage.waitsFor = why;
    if (why === 'not-held' && isNews) this.#dependencies.missing();
    if (why === 'shunned' && passage.avoided.size > 0 && passage.arrivals < passage.route.attempts)
      passage.avoided.clear();
  }

  #send(passage: RoutedRequest, worker: WorkerView, nowMs: number): void {
    const { key } = passage;
    this.#balancer.begun(worker);
    this.#demand.sent(key);
    const run = new Attempt(passage, worker, this.#dependencies.headerNames, {
      nowMs: () => this.#dependencies.clock.nowMs(),
      mayStart: () => this.#mayStart(passage, worker),
      heardMs: () => this.#balancer.heardMs(worker.id),
      heard: () => this.#balancer.heard(worker.id),
      mayMove: () => this.#mayMove(passage, worker),
      silent: () => this.#balancer.failed(worker),
      answered: (waitMs) => this.#demand.answered(passage, waitMs),
      over: (end) => {
        this.#runs.delete(run);
        this.#demand.ended(key);
        this.#over(passage, worker, end);
      },
    });
    this.#runs.add(run);
    passage.cancel = () => run.leave();
    run.attach(this.#dependencies.link.send(run.request(nowMs), run));
  }

  /** The last look before the first byte. */
  #mayStart(passage: RoutedRequest, worker: WorkerView): boolean {
    const known = this.#dependencies.workers().get(worker.id);
    if (
      passage.left ||
      known === undefined ||
      known.draining ||
      this.#dependencies.evacuated().includes(known.zone)
    )
      return false;
    if (this.#dependencies.clock.nowMs() >= passage.endMs) return false;
    passage.unpaid = passage.reserved && !this.#budget(passage).spend();
    passage.reserved = false;
    if (passage.unpaid) return false;
    passage.arrivals += 1;
    passage.sentTo.set(worker.id, worker.address);
    return true;
  }

  #over(passage: RoutedRequest, worker: WorkerView, end: AttemptEnd): void {
    const nowMs = this.#dependencies.clock.nowMs();
    passage.cancel = undefined;
    this.#noteOutcome(worker, end);
    this.#count(end.how);
    if (end.how === 'failed' || end.how === 'cut') passage.ran = true;
    if (end.how === 'misdirected')
      this.#balancer.lacks(worker, passage.request.model, passage.request.adapter);
    if (end.how === 'not-run') this.#balancer.full(worker, end.againMs ?? AGAIN_MS);
    if (end.how === 'failed' || end.how === 'unreached') this.#balancer.failed(worker);
    if (passage.left || end.how === 'served' || end.how === 'cut') {
      this.#once.delete(passage.request.id);
      return;
    }
    if (nowMs >= passage.endMs || this.#closed) return this.#giveUp(passage);
    if (passage.unpaid) return this.#refuse(passage, end);
    if (end.how === 'not-sent' || end.how === 'unreached')
      return this.#again(passage, worker, end.how === 'unreached', nowMs);
    const mayRepeat = end.how !== 'failed' || passage.idempotent;
    const mayArrive = passage.arrivals < passage.route.attempts;
    passage.reserved ||= mayRepeat && mayArrive && this.#budget(passage).reserve();
    if (passage.reserved) return this.#again(passage, worker, true, nowMs);
    this.#refuse(passage, end);
  }

  /**
   * What a worker's answers say of its health: to this edge's balancer, and to all edges through the coordinator.
   * That it declines a request says that it is full, or does not hold the model any more; it says nothing of its health.
   */
  #noteOutcome(worker: WorkerView, end: AttemptEnd): void {
    const isFailure = end.workerFailed === true || end.how === 'failed' || end.how === 'unreached';
    this.#balancer.ended(worker, end.how === 'served' && !isFailure);
    if (isFailure) this.#outcomes.add(worker.id, false);
    else if (end.how === 'served') this.#outcomes.add(worker.id, true);
  }

  #again(passage: RoutedRequest, worker: WorkerView, avoid: boolean, nowMs: number): void {
    if (avoid) passage.avoided.add(worker.id);
    passage.notBeforeMs = nowMs;
    this.#dispatch(passage, nowMs);
  }

  /** A further send that will not be is given back to the budget. */
  #release(passage: RoutedRequest): void {
    if (passage.reserved) this.#budget(passage).release();
    passage.reserved = false;
  }

  #refuse(passage: RoutedRequest, end: AttemptEnd): void {
    this.#release(passage);
    if (passage.opened && passage.idempotent && this.#budget(passage).bearsRetries)
      return this.#hold(passage);
    if (passage.opened) return this.#cut(passage);
    this.#once.delete(passage.request.id);
    if (passage.ran) return passage.port.reject(fault('outcome-unknown', end.why));
    this.#count('refused full');
    passage.port.reject({ ...fault('no-worker', end.why), retryAfterS: HELD_AGAIN_S });
  }

  #giveUp(passage: RoutedRequest): void {
    this.#waiting.delete(passage);
    this.#release(passage);
    if (passage.left) return;
    this.#count('given up');
    if (passage.opened) return this.#cut(passage);
    this.#once.delete(passage.request.id);
    if (passage.ran) passage.port.reject(fault('deadline-exceeded', 'the time for it has passed'));
    else
      passage.port.reject({
        ...fault('no-worker', 'no worker came free in time'),
        retryAfterS: HELD_AGAIN_S,
      });
  }

  #left(passage: RoutedRequest): void {
    if (passage.left) return;
    passage.left = true;
    this.#count('client left');
    this.#waiting.delete(passage);
    this.#once.delete(passage.request.id);
    passage.cancel?.();
    this.#release(passage);
  }

  #count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }
}

/** How long a client bears the silence of a stream before it gives it up. */
function silenceBorneMs({ targetMs, gapMs }: RouteEntry): number {
  const { leastMs, targets, gaps } = SILENCE_BORNE;
  return Math.max(leastMs, targets * targetMs, gaps * gapMs);
}
