/** Data plane of an edge of the platform system: dispatches requests to workers, retries and resumes them. */
import type { Link, ResponseExcess } from '@rainrun/gateway';
import type { PermitSource } from '@rainrun/quotas';
import type { Configuration, RouteEntry, TenantDirectory } from '@rainrun/configuration';
import { fault, type Clock, type Fault, type MemoryBudget } from '@rainrun/common';
import { newRoutedRequest, TargetResolver } from './admission.js';
import { Attempt, type AttemptContext, type AttemptEnd } from './attempt.js';
import { Balancer } from './balancer.js';
import { Counters } from './counters.js';
import { DemandMeter, type EdgeDemand } from './demand-meter.js';
import { EarlyRequests } from './early-requests.js';
import type { HeaderNames } from './headers.js';
import { OutcomeCounter, type WorkerOutcomes } from './outcome-counter.js';
import type { ClientRequest, NoWorkerReason, ResponseSink, RoutedRequest, WorkerView } from './request.js';
import { RequestCompletion, UNAUTHENTICATED } from './request-completion.js';
import { RequestPermits, type PermitState } from './request-permits.js';
import { WorkerPriorities } from './tenant-priority.js';
import { RetryBudgets, type RetryBudgetsDependencies } from './retry-budgets.js';
import { ADMISSION_POLICY, BACKOFF_POLICY, RESUME_POLICY } from './routing-policy.js';
import { TenantAccess } from './tenant-access.js';
import { TenantCounters, type TenantCounts } from './tenant-counters.js';
import { WaitingQueue } from './waiting-queue.js';

/** What the router needs from the node that runs it. */
export interface RouterDependencies extends RetryBudgetsDependencies {
  /** The zone of this edge. */
  readonly zone: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly headerNames: HeaderNames;
  /** The configuration in force; undefined until one is known. */
  configuration(): Configuration | undefined;
  /** The tenants of the configuration in force; undefined where it has none, so that requests need no key. */
  tenants(): TenantDirectory | undefined;
  /** Where permits for the requests of tenants with a quota come from. */
  readonly permits: PermitSource;
  /** The memory of all responses, from their first byte until the client has the last one. */
  readonly responseMemory: MemoryBudget;
  /** Zones whose workers get no new requests. */
  evacuatedZones(): readonly string[];
  /** The workers known here, by id. */
  workers(): ReadonlyMap<string, WorkerView>;
  /** The region that a zone belongs to; empty if it belongs to none. */
  regionOf(zone: string): string;
  /** A response of this worker was stopped at a bound. */
  onResponseExcess(worker: WorkerView, excess: ResponseExcess): void;
  /** A model is requested that no worker has loaded. */
  onModelMissing(): void;
  /** A request has begun to wait: from now on `tick` must be called often enough to dispatch it. */
  onWaiting(): void;
}

const UNCONFIGURED = fault('not-admitting', 'this node has not received a configuration yet');

/**
 * Routes the requests of one edge. A request waits until a worker can take it and is sent once. It is sent
 * again only if its route allows that or the worker has not run it, and only within the fleet's retry budget.
 * @example
 * const router = new Router(dependencies);
 * const clientLeft = router.submit(clientRequest, sink);
 * router.tick(); // every 20 ms and after each change
 */
export class Router {
  #dependencies: RouterDependencies;
  #balancer: Balancer;
  #targets = new TargetResolver();
  #access: TenantAccess;
  #priorities = new WorkerPriorities();
  #queue = new WaitingQueue();
  #attempts = new Set<Attempt>();
  #earlyRequests = new EarlyRequests({
    submit: (clientRequest, sink) => this.submit(clientRequest, sink),
    reject: (sink) => this.#completion.reject(sink, UNCONFIGURED),
  });
  #budgets: RetryBudgets;
  #permits: RequestPermits;
  #completion: RequestCompletion;
  #demand = new DemandMeter();
  #outcomes = new OutcomeCounter();
  #counters = new Counters();
  #tenantCounters = new TenantCounters();
  #closed = false;

  constructor(dependencies: RouterDependencies) {
    this.#dependencies = dependencies;
    this.#access = new TenantAccess(() => dependencies.tenants());
    this.#budgets = new RetryBudgets(dependencies);
    this.#permits = new RequestPermits({
      source: dependencies.permits,
      nowMs: () => dependencies.clock.nowMs(),
      onAnswer: (request) => this.#advance(request, new Set(), dependencies.clock.nowMs()),
    });
    this.#completion = new RequestCompletion({
      queue: this.#queue,
      budgets: this.#budgets,
      permits: this.#permits,
      counters: this.#counters,
      tenantCounters: this.#tenantCounters,
    });
    this.#balancer = new Balancer({
      zone: dependencies.zone,
      salt: dependencies.incarnation(),
      nowMs: () => dependencies.clock.nowMs(),
      evacuatedZones: () => dependencies.evacuatedZones(),
      edges: () => dependencies.edges(),
      regionOf: (zone) => dependencies.regionOf(zone),
    });
  }

  /** Attempts in flight. */
  get inFlight(): number {
    return this.#attempts.size;
  }

  /** Requests that wait for a worker. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Events counted since the start, by name. */
  get counts(): Readonly<Record<string, number>> {
    return this.#counters.values;
  }

  /** Requests counted since the start, by the name of their tenant. */
  get tenantCounts(): Readonly<Record<string, TenantCounts>> {
    return this.#tenantCounters.values;
  }

  /** Accepts a request; the returned function must be called when the client disconnects. */
  submit(clientRequest: ClientRequest, sink: ResponseSink): () => void {
    this.#counters.increment('taken');
    if (this.#closed) return this.#reject(sink, fault('draining', 'this node ends'));
    const configuration = this.#dependencies.configuration();
    if (configuration === undefined) {
      if (this.#earlyRequests.size >= ADMISSION_POLICY.maxWaitingRequests)
        return this.#reject(sink, UNCONFIGURED);
      return this.#earlyRequests.add(clientRequest, sink, this.#dependencies.clock.nowMs());
    }
    const target = this.#targets.resolve(configuration, clientRequest);
    const identity = this.#access.identify(clientRequest);
    // Checked before 404: only a client with a known key learns whether a route exists.
    if (this.#access.isUnauthenticated(identity) && target?.route.public !== true)
      return this.#reject(sink, UNAUTHENTICATED);
    if (target === undefined)
      return this.#reject(
        sink,
        fault('not-found', `no route for ${clientRequest.host}${clientRequest.target}`),
      );
    const nowMs = this.#dependencies.clock.nowMs();
    return this.#admit(newRoutedRequest({ clientRequest, sink, target, identity, nowMs }), nowMs);
  }

  /** Ends every request that has no complete response yet, and rejects all later ones. */
  close(): void {
    this.#closed = true;
    this.#earlyRequests.close();
    for (const attempt of [...this.#attempts]) attempt.shutDown();
    for (const request of [...this.#queue]) this.#completion.expire(request);
  }

  /** Rejects requests that have expired, and dispatches those that a worker can take now. */
  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#balancer.statuses.retainOnly(this.#dependencies.workers());
    if (this.#earlyRequests.size > 0)
      this.#earlyRequests.release(this.#dependencies.configuration() !== undefined, nowMs);
    const unservable = new Set<string>();
    for (const request of this.#queue.inOrder(nowMs)) this.#advance(request, unservable, nowMs);
    for (const attempt of [...this.#attempts]) attempt.tick(nowMs);
  }

  /** The current demand at this edge, by service, model and adapter. */
  demands(): EdgeDemand[] {
    return this.#demand.demands(this.#queue, this.#dependencies.clock.nowMs());
  }

  /** How requests to workers ended since the last call. */
  takeOutcomes(): WorkerOutcomes[] {
    return this.#outcomes.take();
  }

  #reject(sink: ResponseSink, reason: Fault): () => void {
    this.#completion.reject(sink, reason);
    return () => undefined;
  }

  #admit(request: RoutedRequest, nowMs: number): () => void {
    this.#tenantCounters.increment(request.tenant, 'taken');
    const reason = this.#checkAdmission(request);
    if (reason !== undefined) {
      this.#completion.rejectNew(request, reason);
      return () => undefined;
    }
    const permit = this.#obtainPermit(request);
    if (permit === 'over-quota') return () => undefined;
    this.#budgets.recordFirstAttempt(request);
    this.#demand.recordArrival(request, nowMs);
    if (request.directory !== undefined) this.#dispatchMoreUrgent(request, nowMs);
    if (permit === 'ready') this.#dispatch(request, nowMs);
    return () => this.#completion.clientLeft(request);
  }

  /** The fault that keeps a new request from being admitted; registers the request's id if there is none. */
  #checkAdmission(request: RoutedRequest): Fault | undefined {
    const { maxWaitingRequests, queueFullRetryAfterS: retryAfterS } = ADMISSION_POLICY;
    if (this.#queue.size >= maxWaitingRequests)
      return fault('over-share', 'too many requests are waiting at this node', { retryAfterS });
    if (this.#completion.register(request)) return undefined;
    return fault('outcome-unknown', 'a request with this id is already in progress at this node');
  }

  /** Dispatches the waiting request that precedes a new one, so that the new one cannot overtake it. */
  #dispatchMoreUrgent(newRequest: RoutedRequest, nowMs: number): void {
    const ahead = this.#queue.size === 0 ? undefined : this.#queue.mostUrgentAhead(newRequest, nowMs);
    if (ahead !== undefined) this.#advance(ahead, new Set(), nowMs);
  }

  /**
   * Advances a waiting request: ends it, resumes its stream or dispatches it, if any of these is due.
   * @param unservable - demand keys for which no worker was found in this tick
   */
  #advance(request: RoutedRequest, unservable: Set<string>, nowMs: number): void {
    // It may have left the queue while another request was handled, or on the answer to its permit request.
    if (!this.#queue.has(request)) return;
    if (nowMs >= request.expiresMs) return this.#completion.expire(request);
    if (this.#access.reauthenticate(request) === 'denied') return this.#completion.revoke(request);
    if (request.responseStarted && nowMs - request.lastByteMs >= maxClientSilenceMs(request.route))
      return this.#completion.abort(request);
    if (request.responseStarted && !request.retryReserved) return this.#resume(request, nowMs);
    if (nowMs < request.notBeforeMs) return;
    if (request.excludedWorkers.size === 0 && unservable.has(request.demandKey)) return;
    const isSent = this.#shouldObtainPermit(request) && this.#obtainAndDispatch(request, nowMs);
    if (!isSent && request.waitReason !== 'no-permit' && request.excludedWorkers.size === 0)
      unservable.add(request.demandKey);
  }

  /** Permits are short-lived, so an expired one is renewed only once a worker can take the request. */
  #shouldObtainPermit(request: RoutedRequest): boolean {
    if (!request.admitted || this.#permits.isHeld(request)) return true;
    const choice = this.#chooseWorker(request);
    if (typeof choice === 'string') this.#enqueue(request, choice);
    return typeof choice !== 'string';
  }

  #obtainAndDispatch(request: RoutedRequest, nowMs: number): boolean {
    return this.#obtainPermit(request) === 'ready' && this.#dispatch(request, nowMs);
  }

  /** Obtains a permit of the tenant's quota; unless `ready`, the request now waits or has been rejected. */
  #obtainPermit(request: RoutedRequest): PermitState['kind'] {
    const permit = this.#permits.obtain(request);
    if (permit.kind === 'over-quota') this.#completion.rejectOverQuota(request, permit.retryAfterMs);
    else if (permit.kind === 'awaited') this.#enqueue(request, 'no-permit');
    return permit.kind;
  }

  /** Sends a request if a worker can take it now; otherwise queues it and returns false. */
  #dispatch(request: RoutedRequest, nowMs: number): boolean {
    const choice = this.#chooseWorker(request);
    if (typeof choice === 'string') {
      this.#enqueue(request, choice);
      return false;
    }
    this.#queue.delete(request);
    request.waitReason = undefined;
    this.#send(request, choice, nowMs);
    return true;
  }

  /** Chooses a worker; once as many workers as the route allows got the request, only from among those. */
  #chooseWorker(request: RoutedRequest): WorkerView | NoWorkerReason {
    const workers = this.#dependencies.workers();
    if (request.sentTo.size < request.route.attempts) return this.#balancer.choose(request, workers.values());
    const known = [...request.sentTo.keys()].map((id) => workers.get(id));
    return this.#balancer.choose(
      request,
      known.filter((worker) => worker !== undefined),
    );
  }

  #enqueue(request: RoutedRequest, reason: NoWorkerReason): void {
    const isNewReason = request.waitReason !== reason;
    if (!this.#queue.has(request)) this.#dependencies.onWaiting();
    this.#queue.add(request);
    request.cancelAttempt = undefined;
    request.waitReason = reason;
    if (reason === 'model-not-loaded' && isNewReason) this.#dependencies.onModelMissing();
    if (
      reason === 'backed-off' &&
      request.excludedWorkers.size > 0 &&
      request.attemptsStarted < request.route.attempts
    )
      request.excludedWorkers.clear();
  }

  #send(request: RoutedRequest, worker: WorkerView, nowMs: number): void {
    if (request.streamed)
      request.workerPriority = this.#priorities.priorityOf(
        request,
        this.#dependencies.configuration(),
        nowMs,
      );
    this.#balancer.statuses.attemptStarted(worker.id);
    this.#demand.attemptStarted(request.demandKey);
    const { headerNames } = this.#dependencies;
    const context = this.#attemptContext(request, worker, (end) => {
      this.#attempts.delete(attempt);
      this.#demand.attemptEnded(request.demandKey);
      this.#onAttemptEnd(request, worker, end);
    });
    const attempt = new Attempt({ request, worker, headerNames, context });
    this.#attempts.add(attempt);
    request.cancelAttempt = () => attempt.clientLeft();
    attempt.attach(this.#dependencies.link.send(attempt.linkRequest(nowMs), attempt));
  }

  #attemptContext(
    request: RoutedRequest,
    worker: WorkerView,
    onEnd: (end: AttemptEnd) => void,
  ): AttemptContext {
    const { statuses } = this.#balancer;
    return {
      nowMs: () => this.#dependencies.clock.nowMs(),
      mayStart: () => this.#mayStart(request, worker),
      lastHeardMs: () => statuses.lastHeardMs(worker.id),
      onHeard: () => statuses.recordHeard(worker.id),
      reserveFailover: () => this.#reserveFailover(request, worker),
      onSilent: () => statuses.recordFailure(worker.id),
      onExcess: (excess) => this.#onResponseExcess(worker, excess),
      openMemory: (onEvicted) => this.#dependencies.responseMemory.open(onEvicted, worker.id),
      onResponseHead: (waitMs) => this.#demand.recordResponseWait(request, waitMs),
      onEnd,
    };
  }

  /** Where the attempt went on, its end is recorded as a failure of the worker; what it had declined is recorded here. */
  #onResponseExcess(worker: WorkerView, excess: ResponseExcess): void {
    this.#dependencies.onResponseExcess(worker, excess);
    if (excess.bound !== 'unneeded') return;
    this.#balancer.statuses.recordFailure(worker.id);
    this.#outcomes.add(worker.id, false);
  }

  /** The last check before the first byte is sent; spends the retry reserved for this attempt. */
  #mayStart(request: RoutedRequest, worker: WorkerView): boolean {
    const known = this.#dependencies.workers().get(worker.id);
    if (
      request.clientLeft ||
      known === undefined ||
      known.draining ||
      this.#dependencies.evacuatedZones().includes(known.zone)
    )
      return false;
    if (this.#dependencies.clock.nowMs() >= request.expiresMs) return false;
    // The prepared headers name the tenant that held the key when they were built.
    if (this.#access.reauthenticate(request) !== 'same' || !this.#permits.consume(request)) return false;
    request.retryDenied = request.retryReserved && !this.#budgets.spend(request);
    request.retryReserved = false;
    if (request.retryDenied) return false;
    this.#tenantCounters.increment(request.tenant, 'sent');
    request.attemptsStarted += 1;
    request.sentTo.set(worker.id, worker.address);
    return true;
  }

  /** Whether a request can fail over to another worker now; if so, a retry is reserved and a permit held. */
  #reserveFailover(request: RoutedRequest, worker: WorkerView): boolean {
    if (request.attemptsStarted >= request.route.attempts) return false;
    if (this.#access.reauthenticate(request) === 'denied' || !this.#budgets.reserve(request)) return false;
    request.excludedWorkers.add(worker.id);
    request.retryReserved = true;
    if (typeof this.#chooseWorker(request) !== 'string' && this.#permits.obtain(request).kind === 'ready')
      return true;
    request.excludedWorkers.delete(worker.id);
    this.#budgets.release(request);
    return false;
  }

  #onAttemptEnd(request: RoutedRequest, worker: WorkerView, end: AttemptEnd): void {
    const nowMs = this.#dependencies.clock.nowMs();
    request.cancelAttempt = undefined;
    this.#permits.attemptEnded(request, end.outcome);
    this.#recordOutcome(worker, end);
    this.#counters.increment(end.outcome);
    if (end.outcome === 'failed' || end.outcome === 'cut') request.mayHaveRun = true;
    this.#updateStatus(request, worker, end);
    if (request.clientLeft || end.outcome === 'served' || end.outcome === 'cut')
      return this.#completion.unregister(request);
    if (nowMs >= request.expiresMs || this.#closed) return this.#completion.expire(request);
    if (request.retryDenied) return this.#giveUp(request, end);
    if (end.outcome === 'not-sent') return this.#retry(request, nowMs);
    if (end.outcome === 'unreached' || this.#reserveRetry(request, end)) {
      request.excludedWorkers.add(worker.id);
      return this.#retry(request, nowMs);
    }
    this.#giveUp(request, end);
  }

  /**
   * Records what the end of an attempt says about the worker's health: for this edge's balancer, and through
   * the coordinator for all edges. A rejected request says nothing about it: the worker is full or no longer
   * has the model loaded.
   */
  #recordOutcome(worker: WorkerView, end: AttemptEnd): void {
    const isFailure = end.workerFailed === true || isFailureOfWorker(end);
    this.#balancer.statuses.attemptEnded(worker.id, end.outcome === 'served' && !isFailure);
    if (isFailure) this.#outcomes.add(worker.id, false);
    else if (end.outcome === 'served') this.#outcomes.add(worker.id, true);
  }

  #updateStatus({ clientRequest }: RoutedRequest, worker: WorkerView, end: AttemptEnd): void {
    const { statuses } = this.#balancer;
    if (end.outcome === 'misdirected')
      statuses.recordMissingModel(worker, clientRequest.model, clientRequest.adapter);
    if (end.outcome === 'not-run') statuses.backOff(worker.id, end.retryAfterMs ?? BACKOFF_POLICY.fullMs);
    if (isFailureOfWorker(end)) statuses.recordFailure(worker.id);
  }

  /** Whether a request may be retried after an attempt that had started; if so, a retry is reserved. */
  #reserveRetry(request: RoutedRequest, end: AttemptEnd): boolean {
    const mayRepeat = end.outcome !== 'failed' || request.idempotent;
    const hasAttemptsLeft = request.attemptsStarted < request.route.attempts;
    request.retryReserved ||= mayRepeat && hasAttemptsLeft && this.#budgets.reserve(request);
    return request.retryReserved;
  }

  #retry(request: RoutedRequest, nowMs: number): void {
    request.notBeforeMs = nowMs;
    if (this.#access.reauthenticate(request) === 'denied') return this.#completion.revoke(request);
    if (this.#obtainPermit(request) === 'ready') this.#dispatch(request, nowMs);
  }

  /** Ends a request that cannot be retried now; a stream that has started waits to be resumed instead. */
  #giveUp(request: RoutedRequest, end: AttemptEnd): void {
    this.#budgets.release(request);
    if (!request.responseStarted) return this.#completion.rejectAfterLastAttempt(request, end);
    if (!request.idempotent || !this.#budgets.canEverRetry(request)) return this.#completion.abort(request);
    request.excludedWorkers.clear();
    request.retryDenied = false;
    request.cancelAttempt = undefined;
    this.#queue.add(request);
  }

  /**
   * Tries to resume a stream of which the client already has a part. It is tried again until a worker takes
   * the stream, none is left that may take it, or the client would have given up.
   */
  #resume(request: RoutedRequest, nowMs: number): void {
    if (nowMs < request.notBeforeMs) return;
    const worker = this.#reserveResumption(request);
    const permit = worker === undefined ? 'awaited' : this.#obtainPermit(request);
    if (worker === undefined || permit === 'ready') request.notBeforeMs = nowMs + RESUME_POLICY.intervalMs;
    if (worker === undefined) return;
    if (permit !== 'ready') return this.#budgets.release(request);
    request.retryReserved = true;
    this.#queue.delete(request);
    this.#send(request, worker, nowMs);
  }

  /** A worker that can resume a stream, with a retry reserved for it; undefined if there is none now. */
  #reserveResumption(request: RoutedRequest): WorkerView | undefined {
    if (!this.#budgets.reserve(request)) return undefined;
    const choice = this.#chooseWorker(request);
    if (typeof choice !== 'string') return choice;
    this.#budgets.release(request);
    if (choice === 'none' && request.sentTo.size >= request.route.attempts) this.#completion.abort(request);
    return undefined;
  }
}

/** Whether an attempt without a response ended by the worker's fault. */
function isFailureOfWorker({ outcome, hadNoMemory }: AttemptEnd): boolean {
  return outcome === 'unreached' || (outcome === 'failed' && hadNoMemory !== true);
}

/** How long a client is assumed to wait for the next event of a stream, in milliseconds. */
function maxClientSilenceMs({ targetMs, gapMs }: RouteEntry): number {
  const { minMs, targets, gaps } = RESUME_POLICY.clientSilence;
  return Math.max(minMs, targets * targetMs, gaps * gapMs);
}
