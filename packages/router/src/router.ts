import { RetryBudget, type Link } from '@rainrun/gateway';
import type { Configuration, RouteEntry } from '@rainrun/configuration';
import { fault, type Clock, type Fault } from '@rainrun/common';
import { Balancer, type NoWorkerReason } from './balancer.js';
import { DemandMeter, type EdgeDemand } from './demand-meter.js';
import { EarlyRequests } from './early-requests.js';
import { OutcomeCounter, type WorkerOutcomes } from './outcome-counter.js';
import type { ClientRequest, ResponseSink, RoutedRequest, WorkerView } from './request.js';
import { RouteTable } from './route-table.js';
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
  onModelMissing(): void;
  /** A request begins to wait: from now on `tick` is to be called as often as it may be sent. */
  onWaiting(): void;
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
 * const leave = router.take(clientRequest, port);
 * router.tick(); // every 20 ms and after each change
 */
export class Router {
  #dependencies: RouterDependencies;
  #balancer: Balancer;
  #table: { readonly configuration: Configuration; readonly routes: RouteTable } | undefined;
  #waiting = new Set<RoutedRequest>();
  #runs = new Set<Attempt>();
  #early = new EarlyRequests({
    submit: (clientRequest, port) => this.submit(clientRequest, port),
    reject: (port) => void this.#turnAway(port, UNCONFIGURED),
  });
  #budgets = new Map<string, RetryBudget>();
  #demand = new DemandMeter();
  #outcomes = new OutcomeCounter();
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
  submit(clientRequest: ClientRequest, port: ResponseSink): () => void {
    this.#count('taken');
    if (this.#closed) return this.#turnAway(port, fault('draining', 'this node ends'));
    const configuration = this.#dependencies.configuration();
    if (configuration === undefined) {
      if (this.#early.size >= CROWD_MOST) return this.#turnAway(port, UNCONFIGURED);
      return this.#early.add(clientRequest, port, this.#dependencies.clock.nowMs());
    }
    if (this.#table?.configuration !== configuration)
      this.#table = { configuration, routes: new RouteTable(configuration) };
    const route = this.#table.routes.find(clientRequest.host, clientRequest.target);
    const target = route === undefined ? undefined : this.#table.routes.target(route, clientRequest.id);
    if (target === undefined)
      return this.#turnAway(
        port,
        fault('not-found', `no route for ${clientRequest.host}${clientRequest.target}`),
      );
    const nowMs = this.#dependencies.clock.nowMs();
    const { service } = target;
    const streamed = target.route.kind === 'streaming';
    const request: RoutedRequest = {
      clientRequest,
      sink: port,
      route: target.route,
      service,
      key: `${service.name}/${clientRequest.model}/${clientRequest.adapter}`,
      arrivedMs: nowMs,
      endMs: nowMs + Math.min(target.route.timeoutMs, clientRequest.deadlineMs ?? Infinity),
      idempotent: target.route.kind === 'idempotent' || (streamed && target.route.resumable),
      streamed,
      attemptsStarted: 0,
      sentTo: new Map(),
      excludedWorkers: new Set(),
      responseStarted: false,
      lastByteMs: nowMs,
      lastEventId: clientRequest.lastEventId,
      mayHaveRun: false,
      clientLeft: false,
      retryReserved: false,
      retryDenied: false,
      notBeforeMs: nowMs,
      waitReason: undefined,
      cancelAttempt: undefined,
    };
    if (this.#waiting.size >= CROWD_MOST)
      return this.#turnAway(port, { ...fault('over-share', 'too many requests wait here'), returnS: 1 });
    if (!request.idempotent && this.#once.has(clientRequest.id))
      return this.#turnAway(port, fault('outcome-unknown', 'a request with this id is under way here'));
    if (!request.idempotent) this.#once.add(clientRequest.id);
    this.#budget(request).first(this.#dependencies.retries.ratio);
    this.#demand.recordArrival(request, nowMs);
    this.#dispatch(request, nowMs);
    return () => this.#left(request);
  }

  /** Answers whatever has no answer yet, and takes nothing more. */
  close(): void {
    this.#closed = true;
    this.#early.close();
    for (const run of [...this.#runs]) run.giveUp();
    for (const request of [...this.#waiting]) this.#giveUp(request);
  }

  /** Gives up what has waited too long, and sends what can be sent now. */
  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#balancer.retainOnly(this.#dependencies.workers());
    if (this.#early.size > 0) this.#early.release(this.#dependencies.configuration() !== undefined, nowMs);
    const order = [...this.#waiting].sort(
      (one, other) => one.route.priority - other.route.priority || one.arrivedMs - other.arrivedMs,
    );
    const nowhere = new Set<string>();
    for (const request of order) {
      if (nowMs >= request.endMs) this.#giveUp(request);
      else if (request.responseStarted && nowMs - request.lastByteMs >= silenceBorneMs(request.route))
        this.#cut(request);
      else if (request.responseStarted && !request.retryReserved) this.#resume(request, nowMs);
      else if (
        nowMs >= request.notBeforeMs &&
        !(request.excludedWorkers.size === 0 && nowhere.has(request.key))
      ) {
        if (!this.#dispatch(request, nowMs) && request.excludedWorkers.size === 0) nowhere.add(request.key);
      }
    }
    for (const run of [...this.#runs]) run.tick(nowMs);
  }

  /** What is asked for now, by service, model and adapter. */
  demands(): EdgeDemand[] {
    return this.#demand.demands(this.#waiting, this.#dependencies.clock.nowMs());
  }

  /** How requests to workers ended since the last call. */
  takeOutcomes(): WorkerOutcomes[] {
    return this.#outcomes.take();
  }

  /** One budget a service: the bound is the service's. */
  #budget(request: RoutedRequest): RetryBudget {
    const name = request.service.name;
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
  #dispatch(request: RoutedRequest, nowMs: number): boolean {
    const choice = this.#choose(request);
    if (typeof choice === 'string') {
      this.#wait(request, choice);
      return false;
    }
    this.#waiting.delete(request);
    request.waitReason = undefined;
    this.#send(request, choice, nowMs);
    return true;
  }

  /** Once a request was sent to as many workers as its route allows, only these are left for it. */
  #choose(request: RoutedRequest): WorkerView | NoWorkerReason {
    const workers = this.#dependencies.workers();
    if (request.sentTo.size < request.route.attempts) return this.#balancer.choose(request, workers.values());
    const known = [...request.sentTo.keys()].map((id) => workers.get(id));
    return this.#balancer.choose(
      request,
      known.filter((worker) => worker !== undefined),
    );
  }

  /** Whether a request can leave its worker for another one at once; if so, a part of the budget is set aside. */
  #mayMove(request: RoutedRequest, worker: WorkerView): boolean {
    if (request.attemptsStarted < request.route.attempts && this.#budget(request).reserve()) {
      request.excludedWorkers.add(worker.id);
      request.retryReserved = typeof this.#choose(request) !== 'string';
      if (request.retryReserved) return true;
      request.excludedWorkers.delete(worker.id);
      this.#budget(request).release();
    }
    return false;
  }

  /** The client has a part of this stream, and no worker may take the rest now. */
  #hold(request: RoutedRequest): void {
    request.excludedWorkers.clear();
    request.retryDenied = false;
    request.cancelAttempt = undefined;
    this.#waiting.add(request);
  }

  /**
   * A stream of which the client has a part goes on looking for a worker, as
   * long as the client bears its silence and a worker may take it.
   */
  #resume(request: RoutedRequest, nowMs: number): void {
    if (nowMs < request.notBeforeMs) return;
    request.notBeforeMs = nowMs + RESUME_EVERY_MS;
    if (!this.#budget(request).reserve()) return;
    request.retryReserved = true;
    const choice = this.#choose(request);
    if (typeof choice !== 'string') {
      this.#waiting.delete(request);
      return this.#send(request, choice, nowMs);
    }
    this.#release(request);
    if (choice === 'none' && request.sentTo.size >= request.route.attempts) this.#cut(request);
  }

  #cut(request: RoutedRequest): void {
    this.#waiting.delete(request);
    this.#release(request);
    this.#once.delete(request.clientRequest.id);
    this.#count('cut off');
    request.sink.abort();
  }

  #wait(request: RoutedRequest, why: NoWorkerReason): void {
    const isNews = request.waitReason !== why;
    if (!this.#waiting.has(request)) this.#dependencies.onWaiting();
    this.#waiting.add(request);
    request.cancelAttempt = undefined;
    request.waitReason = why;
    if (why === 'not-held' && isNews) this.#dependencies.onModelMissing();
    if (
      why === 'shunned' &&
      request.excludedWorkers.size > 0 &&
      request.attemptsStarted < request.route.attempts
    )
      request.excludedWorkers.clear();
  }

  #send(request: RoutedRequest, worker: WorkerView, nowMs: number): void {
    const { key } = request;
    this.#balancer.attemptStarted(worker);
    this.#demand.attemptStarted(key);
    const run = new Attempt(request, worker, this.#dependencies.headerNames, {
      nowMs: () => this.#dependencies.clock.nowMs(),
      mayStart: () => this.#mayStart(request, worker),
      lastHeardMs: () => this.#balancer.lastHeardMs(worker.id),
      onHeard: () => this.#balancer.recordHeard(worker.id),
      reserveMove: () => this.#mayMove(request, worker),
      onSilent: () => this.#balancer.recordFailure(worker),
      onResponseHead: (waitMs) => this.#demand.recordResponseWait(request, waitMs),
      onEnd: (end) => {
        this.#runs.delete(run);
        this.#demand.attemptEnded(key);
        this.#over(request, worker, end);
      },
    });
    this.#runs.add(run);
    request.cancelAttempt = () => run.leave();
    run.attach(this.#dependencies.link.send(run.request(nowMs), run));
  }

  /** The last look before the first byte. */
  #mayStart(request: RoutedRequest, worker: WorkerView): boolean {
    const known = this.#dependencies.workers().get(worker.id);
    if (
      request.clientLeft ||
      known === undefined ||
      known.draining ||
      this.#dependencies.evacuated().includes(known.zone)
    )
      return false;
    if (this.#dependencies.clock.nowMs() >= request.endMs) return false;
    request.retryDenied = request.retryReserved && !this.#budget(request).spend();
    request.retryReserved = false;
    if (request.retryDenied) return false;
    request.attemptsStarted += 1;
    request.sentTo.set(worker.id, worker.address);
    return true;
  }

  #over(request: RoutedRequest, worker: WorkerView, end: AttemptEnd): void {
    const nowMs = this.#dependencies.clock.nowMs();
    request.cancelAttempt = undefined;
    this.#noteOutcome(worker, end);
    this.#count(end.how);
    if (end.how === 'failed' || end.how === 'cut') request.mayHaveRun = true;
    if (end.how === 'misdirected')
      this.#balancer.recordMissingModel(worker, request.clientRequest.model, request.clientRequest.adapter);
    if (end.how === 'not-run') this.#balancer.backOff(worker, end.retryAfterMs ?? AGAIN_MS);
    if (end.how === 'failed' || end.how === 'unreached') this.#balancer.recordFailure(worker);
    if (request.clientLeft || end.how === 'served' || end.how === 'cut') {
      this.#once.delete(request.clientRequest.id);
      return;
    }
    if (nowMs >= request.endMs || this.#closed) return this.#giveUp(request);
    if (request.retryDenied) return this.#refuse(request, end);
    if (end.how === 'not-sent' || end.how === 'unreached')
      return this.#again(request, worker, end.how === 'unreached', nowMs);
    const mayRepeat = end.how !== 'failed' || request.idempotent;
    const mayArrive = request.attemptsStarted < request.route.attempts;
    request.retryReserved ||= mayRepeat && mayArrive && this.#budget(request).reserve();
    if (request.retryReserved) return this.#again(request, worker, true, nowMs);
    this.#refuse(request, end);
  }

  /**
   * What a worker's answers say of its health: to this edge's balancer, and to all edges through the coordinator.
   * That it declines a request says that it is full, or does not hold the model any more; it says nothing of its health.
   */
  #noteOutcome(worker: WorkerView, end: AttemptEnd): void {
    const isFailure = end.workerFailed === true || end.how === 'failed' || end.how === 'unreached';
    this.#balancer.attemptEnded(worker, end.how === 'served' && !isFailure);
    if (isFailure) this.#outcomes.add(worker.id, false);
    else if (end.how === 'served') this.#outcomes.add(worker.id, true);
  }

  #again(request: RoutedRequest, worker: WorkerView, avoid: boolean, nowMs: number): void {
    if (avoid) request.excludedWorkers.add(worker.id);
    request.notBeforeMs = nowMs;
    this.#dispatch(request, nowMs);
  }

  /** A further send that will not be is given back to the budget. */
  #release(request: RoutedRequest): void {
    if (request.retryReserved) this.#budget(request).release();
    request.retryReserved = false;
  }

  #refuse(request: RoutedRequest, end: AttemptEnd): void {
    this.#release(request);
    if (request.responseStarted && request.idempotent && this.#budget(request).bearsRetries)
      return this.#hold(request);
    if (request.responseStarted) return this.#cut(request);
    this.#once.delete(request.clientRequest.id);
    if (request.mayHaveRun) return request.sink.reject(fault('outcome-unknown', end.why));
    this.#count('refused full');
    request.sink.reject({ ...fault('no-worker', end.why), returnS: HELD_AGAIN_S });
  }

  #giveUp(request: RoutedRequest): void {
    this.#waiting.delete(request);
    this.#release(request);
    if (request.clientLeft) return;
    this.#count('given up');
    if (request.responseStarted) return this.#cut(request);
    this.#once.delete(request.clientRequest.id);
    if (request.mayHaveRun) request.sink.reject(fault('deadline-exceeded', 'the time for it has passed'));
    else request.sink.reject({ ...fault('no-worker', 'no worker came free in time'), returnS: HELD_AGAIN_S });
  }

  #left(request: RoutedRequest): void {
    if (request.clientLeft) return;
    request.clientLeft = true;
    this.#count('client left');
    this.#waiting.delete(request);
    this.#once.delete(request.clientRequest.id);
    request.cancelAttempt?.();
    this.#release(request);
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
