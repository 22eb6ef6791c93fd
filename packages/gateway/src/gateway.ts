/** The data plane of an edge of a spec-based deployment: admission, backlog, sends and their outcomes. */
import { EventEmitter } from 'eventemitter3';
import type { Spec, SpecGroup } from '@rainrun/configuration';
import { fault, NameIndex, Slab, type Fault } from '@rainrun/common';
import { WorkerSelector, type WorkerRequirement } from './worker-selection.js';
import { Backlog } from './backlog.js';
import { Catalogue } from './catalogue.js';
import { UnconfirmedSends } from './unconfirmed-sends.js';
import type { GatewayRequestInit, EndRecord, GatewayDependencies, GatewayWorker } from './dependencies.js';
import { GroupShares } from './group-shares.js';
import { demandKey, Measures, type Measurements } from './measures.js';
import { DrainRate } from './drain-rate.js';
import { Retries } from './retries.js';
import { Send, type SendResult } from './send.js';
import type { GatewayRequest, GatewayResponseSink } from './gateway-request.js';

interface GatewayEvents {
  ended: (record: EndRecord) => void;
}

/** A check on admission; returns the fault with which a request is rejected, if any. */
type AdmissionCheck = (request: GatewayRequest) => Fault | undefined;

/** Deadline of a request that names none, counted from its arrival. */
const DEFAULT_DEADLINE_MS = 120_000;
/** A send fails after this time without a byte from the worker. */
const STALL_MS = 15_000;
/** The same limit for lookups, which is shorter because lookups are idempotent and can be retried. */
const LOOKUP_STALL_MS = 1500;

/**
 * The data plane of one edge. A request passes the admission checks and then waits in the backlog until a
 * worker can take it; waiting requests are kept in a slab. A request that is not idempotent is sent to a
 * worker at most once, unless it is certain that no byte of it was written.
 * @example
 * const gateway = new Gateway(dependencies);
 * const clientLeft = gateway.admit(init, sink);
 * gateway.tick(); // every 20 ms and after each change
 */
export class Gateway extends EventEmitter<GatewayEvents> {
  #dependencies: GatewayDependencies;
  #groups = new NameIndex();
  #kinds = new NameIndex();
  #models = new NameIndex();
  #adapters = new NameIndex();
  #slab = new Slab<GatewayRequest>();
  #backlog = new Backlog();
  #selector: WorkerSelector;
  #retries: Retries;
  #checks: readonly AdmissionCheck[];
  #shares: GroupShares;
  #drainRates: DrainRate[] = [];
  #measures = new Measures();
  #unconfirmedSends: UnconfirmedSends;
  #sends = new Set<Send>();
  #draining = false;
  #cachedCatalogue: { readonly spec: Spec; readonly catalogue: Catalogue } | undefined;
  #counts = new Map<string, number>();

  constructor(dependencies: GatewayDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#retries = new Retries(dependencies, (name) => this.#count(name));
    this.#shares = new GroupShares(dependencies, this.#groups, this.#backlog);
    this.#selector = new WorkerSelector(dependencies.name, dependencies.zone);
    this.#unconfirmedSends = new UnconfirmedSends(dependencies.sender);
    this.#checks = [(request) => this.#checkAdmitting(request), (request) => this.#checkNames(request)];
  }

  get inFlight(): number {
    return this.#sends.size;
  }

  get backlogCount(): number {
    return this.#backlog.count;
  }

  get counts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }

  /** Stops admission and rejects the waiting requests; requests in flight continue. */
  drain(): void {
    this.#draining = true;
    for (const queue of this.#backlog.queuesInOrder())
      for (const { key } of [...queue]) this.#rejectKey(key, fault('draining', 'this node is stopping'));
  }

  /** Admits or rejects a request; the caller calls the returned function when the client disconnects. */
  admit(init: GatewayRequestInit, sink: GatewayResponseSink): () => void {
    const nowMs = this.#dependencies.clock.nowMs();
    const request = this.#newRequest(init, sink, nowMs);
    this.#count('entered');
    for (const check of this.#checks) {
      const rejection = check(request);
      if (rejection === undefined) continue;
      this.#reject(request, rejection);
      return () => undefined;
    }
    this.#recordArrival(request, nowMs);
    const key = this.#enqueue(request);
    this.tick();
    const backlogFault = this.#slab.get(key) === undefined ? undefined : this.#checkBacklog(request);
    if (backlogFault !== undefined) this.#rejectKey(key, backlogFault);
    return () => this.#onClientLeft(request);
  }

  /**
   * Builds a request with its names as indices; a group or kind that the spec lacks becomes the empty name.
   */
  #newRequest(init: GatewayRequestInit, sink: GatewayResponseSink, nowMs: number): GatewayRequest {
    const catalogue = this.#catalogue();
    const route = catalogue?.route(init.path);
    const group = catalogue?.group(init.group);
    const kind = findKind(group, init.kind);
    return {
      id: init.id,
      sink,
      group: this.#groups.index(group?.name ?? ''),
      kind: this.#kinds.index(kind?.name ?? ''),
      model: this.#models.index(init.model),
      adapter: this.#adapters.index(init.adapter),
      prefix: init.prefix,
      idempotent: route?.serve === 'lookup',
      streamed: init.streamed,
      path: init.path,
      method: init.method,
      body: init.body,
      pool: route?.pool ?? '',
      arrivedMs: nowMs,
      targetMs: kind?.targetMs ?? 0,
      maxWaitMs: kind?.patienceMs ?? 0,
      deadlineMs: nowMs + (init.deadlineMs ?? DEFAULT_DEADLINE_MS),
      clientLeft: false,
      attempts: 0,
      started: false,
      retry: 'none',
      worker: '',
      cancel: undefined,
      firstChunkMs: undefined,
      decisions: [],
    };
  }

  /** Rejects requests that have waited too long, expires overdue sends, and sends what can be sent. */
  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    for (const queue of this.#backlog.queuesInOrder()) {
      for (const { key } of [...queue]) {
        const request = this.#slab.get(key);
        if (request === undefined) continue;
        const waitedMs = nowMs - request.arrivedMs;
        if (nowMs > request.deadlineMs)
          this.#rejectKey(key, fault('deadline-exceeded', 'the deadline passed before the request was sent'));
        else if (waitedMs > request.maxWaitMs)
          this.#rejectKey(key, fault('no-worker', request.decisions.at(-1) ?? 'no worker came free in time'));
      }
    }
    for (const send of [...this.#sends]) if (nowMs > send.deadlineMs) send.expire();
    this.#probeUnconfirmed(nowMs);
    if (!this.#dependencies.hasLease()) return;
    while (this.#sendNext(nowMs));
  }

  /** Returns and resets the counters, for an observation. */
  takeMeasures(): Measurements {
    const backlogs = new Map<string, number>();
    for (const queue of this.#backlog.queuesInOrder()) {
      for (const { key } of queue) {
        const request = this.#slab.get(key);
        if (request === undefined || request.idempotent) continue;
        const name = this.#demandKey(request);
        backlogs.set(name, (backlogs.get(name) ?? 0) + 1);
      }
    }
    return this.#measures.take(backlogs);
  }

  groupLoad(group: string): { inFlight: number; backlog: number } {
    const index = this.#groups.index(group);
    return { inFlight: this.#shares.inFlight(index), backlog: this.#backlog.countOf(index) };
  }

  workerInFlight(worker: string): number {
    return this.#selector.inFlight(worker);
  }

  // Admission checks.

  #checkAdmitting(request: GatewayRequest): Fault | undefined {
    if (this.#draining) return fault('draining', 'this node is stopping');
    if (!this.#dependencies.hasLease())
      return fault('not-admitting', 'this node is cut off from most others');
    if (this.#dependencies.spec() === undefined) return fault('not-admitting', 'no spec has been agreed yet');
    return request.deadlineMs <= request.arrivedMs
      ? fault('deadline-past', 'the deadline has passed')
      : undefined;
  }

  /** The index of the spec in force, built once per spec version. */
  #catalogue(): Catalogue | undefined {
    const spec = this.#dependencies.spec();
    if (spec !== this.#cachedCatalogue?.spec)
      this.#cachedCatalogue = spec === undefined ? undefined : { spec, catalogue: new Catalogue(spec) };
    return this.#cachedCatalogue?.catalogue;
  }

  #checkNames(request: GatewayRequest): Fault | undefined {
    const catalogue = this.#catalogue();
    if (request.pool === '') return fault('not-found', `no route for ${request.path}`);
    const name = this.#groups.name(request.group);
    const group = catalogue?.group(name);
    if (catalogue === undefined || group === undefined)
      return fault('unknown-group', 'the group is not in the spec');
    if (this.#kinds.name(request.kind) === '')
      return fault('bad-request', `group ${name} has no such kind of work`);
    if (request.idempotent) return undefined;
    const model = this.#models.name(request.model);
    if (!catalogue.mayUseModel(group, model)) {
      return fault('unknown-model', `group ${name} has no model "${model}"`);
    }
    const adapter = this.#adapters.name(request.adapter);
    return adapter === '' || catalogue.hasAdapter(model, adapter)
      ? undefined
      : fault('unknown-model', `model ${model} has no adapter "${adapter}"`);
  }

  /** Rejects a request beyond its group's share of the backlog; one that is sent at once does not count. */
  #checkBacklog(request: GatewayRequest): Fault | undefined {
    const maxWaiting = this.#shares.maxWaiting(request.group);
    if (this.#backlog.countOf(request.group) <= maxWaiting) return undefined;
    return fault(
      'over-share',
      `${maxWaiting} requests of group ${this.#groups.name(request.group)} are already waiting at this edge`,
    );
  }

  // Waiting and sending.

  #enqueue(request: GatewayRequest): number {
    const key = this.#slab.put(request);
    request.cancel = () => {
      if (this.#slab.take(key) !== undefined) this.#backlog.remove(key, request.group);
    };
    this.#backlog.put({ key, group: request.group, dueMs: request.arrivedMs + request.targetMs });
    return key;
  }

  #rejectKey(key: number, rejection: Fault): void {
    const request = this.#slab.take(key);
    if (request === undefined) return;
    this.#backlog.remove(key, request.group);
    this.#reject(request, rejection);
  }

  #sendNext(nowMs: number): boolean {
    const workers = this.#dependencies.workers();
    const edges = this.#dependencies.edges();
    const unservable = new Set<string>();
    for (const queue of this.#backlog.queuesInOrder()) {
      for (const { key, group } of queue) {
        const request = this.#slab.get(key);
        if (request === undefined) continue;
        if (!request.idempotent && this.#shares.isThrottled(group)) continue;
        const requirement = this.#requirementOf(request);
        const requirementKey = `${request.pool}/${this.#demandKey(request)}/${requirement.overShare}`;
        if (unservable.has(requirementKey)) continue;
        const assignment = this.#selector.select(requirement, workers, edges, nowMs);
        if (request.decisions.at(-1) !== assignment.reason) request.decisions.push(assignment.reason);
        if (assignment.worker === undefined) {
          unservable.add(requirementKey);
          continue;
        }
        this.#slab.take(key);
        this.#backlog.remove(key, group);
        this.#send(request, assignment.worker);
        return true;
      }
    }
    return false;
  }

  #requirementOf(request: GatewayRequest): WorkerRequirement {
    return {
      pool: request.pool,
      model: request.idempotent ? '' : this.#models.name(request.model),
      adapter: request.idempotent ? '' : this.#adapters.name(request.adapter),
      prefix: request.prefix,
      overShare:
        !request.idempotent &&
        this.#shares.hasReachedShare(request.group) &&
        this.#shares.shareOf(request.group) < 1,
    };
  }

  #send(request: GatewayRequest, worker: GatewayWorker): void {
    const { clock, sender } = this.#dependencies;
    const nowMs = clock.nowMs();
    request.attempts += 1;
    request.worker = worker.name;
    this.#selector.sendStarted(worker.name, request.prefix);
    this.#backlog.charge(request.group, this.#dependencies.weight(this.#groups.name(request.group)));
    this.#shares.sendStarted(request.group);
    this.#drainRate(request.group).recordSend(nowMs);
    this.#count('sends');
    const send = new Send(request, worker, {
      nowMs: () => clock.nowMs(),
      mayStart: () => this.#mayStart(request, worker) && this.#retries.mayStart(request),
      onEnd: (result) => {
        this.#sends.delete(send);
        this.#onSendEnd(request, worker, result);
      },
    });
    this.#sends.add(send);
    const stallMs = request.idempotent ? LOOKUP_STALL_MS : STALL_MS;
    const sending = sender.send(
      {
        address: worker.address,
        method: request.method,
        path: request.path,
        headers: { 'content-type': 'application/json', 'rainrun-id': request.id },
        body: request.body,
        stallMs: Math.max(1, Math.min(stallMs, request.deadlineMs - nowMs)),
      },
      send,
    );
    send.attach(sending);
    request.cancel = () => send.clientLeft();
  }

  /** The last check before the first byte is written. */
  #mayStart(request: GatewayRequest, worker: GatewayWorker): boolean {
    if (
      request.clientLeft ||
      !this.#dependencies.hasLease() ||
      this.#dependencies.clock.nowMs() > request.deadlineMs
    )
      return false;
    return mayReceiveWork(this.#dependencies.workers(), worker);
  }

  /**
   * Probes the workers of unconfirmed sends. Reads the worker list at most once per tick, and only if needed.
   */
  #probeUnconfirmed(nowMs: number): void {
    const hasLease = this.#dependencies.hasLease();
    let workers: readonly GatewayWorker[] | undefined;
    this.#unconfirmedSends.tick(
      [...this.#sends],
      (send) => {
        if (!hasLease) return true;
        workers ??= this.#dependencies.workers();
        return !mayReceiveWork(workers, send.worker);
      },
      nowMs,
    );
  }

  #onSendEnd(request: GatewayRequest, worker: GatewayWorker, result: SendResult): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#shares.sendEnded(request.group);
    this.#selector.sendEnded(worker.name, result.succeeded, nowMs);
    if (result.outcome === undefined && result.tried && !request.clientLeft)
      this.#selector.recordRestartRisk(worker.name, nowMs);
    if (!result.succeeded) this.#measures.recordFailedSend(worker.name);
    request.cancel = undefined;
    if (request.clientLeft) return this.#finish(request, 'visitor-left');
    const mayRetry =
      result.outcome === undefined && !this.#draining && this.#retries.mayRetry(request, result, nowMs);
    if (mayRetry) this.#enqueue(request);
    else if (result.outcome === undefined) this.#reject(request, result.fault);
    else {
      if (result.outcome === 'served') this.#measureServed(request, nowMs);
      this.#finish(request, result.outcome);
    }
    this.tick();
  }

  #onClientLeft(request: GatewayRequest): void {
    if (request.clientLeft) return;
    request.clientLeft = true;
    const cancel = request.cancel;
    const waiting = request.attempts === 0;
    request.cancel = undefined;
    cancel?.();
    if (cancel !== undefined && waiting) this.#finish(request, 'visitor-left');
  }

  // Counting.

  #reject(request: GatewayRequest, rejection: Fault): void {
    request.sink.reject(this.#withRetryAfter(request, rejection));
    this.#measures.recordRefused(this.#groups.name(request.group), this.#kinds.name(request.kind));
    request.decisions.push(`${rejection.kind}: ${rejection.detail}`);
    this.#finish(request, rejection.kind);
  }

  /**
   * Adds a retry time to rejections for lack of capacity, from the rate at which the group's backlog drains.
   */
  #withRetryAfter(request: GatewayRequest, rejection: Fault): Fault {
    if (rejection.kind !== 'over-share' && rejection.kind !== 'no-worker') return rejection;
    const waiting = this.#backlog.countOf(request.group);
    const retryS = this.#drainRate(request.group).retryAfterS(
      waiting,
      this.#dependencies.chance.next(),
      this.#dependencies.clock.nowMs(),
    );
    return { ...rejection, retryAfterS: retryS };
  }

  #drainRate(group: number): DrainRate {
    return (this.#drainRates[group] ??= new DrainRate());
  }

  #finish(request: GatewayRequest, outcome: EndRecord['outcome']): void {
    this.#count(outcome);
    this.#retries.release(request);
    this.emit('ended', {
      id: request.id,
      group: this.#groups.name(request.group),
      kind: this.#kinds.name(request.kind),
      model: this.#models.name(request.model),
      adapter: this.#adapters.name(request.adapter),
      path: request.path,
      stream: request.streamed,
      prefix: request.prefix,
      body: request.body,
      worker: request.worker,
      outcome,
      arrivedMs: request.arrivedMs,
      firstPieceMs: request.firstChunkMs,
      endedMs: this.#dependencies.clock.nowMs(),
      sends: request.attempts,
      trail: request.decisions,
    });
  }

  #count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  #measureServed(request: GatewayRequest, nowMs: number): void {
    const waitMs = (request.firstChunkMs ?? nowMs) - request.arrivedMs;
    this.#measures.recordServed(
      this.#groups.name(request.group),
      this.#kinds.name(request.kind),
      waitMs,
      request.targetMs,
    );
  }

  #demandKey(request: GatewayRequest): string {
    return demandKey(this.#models.name(request.model), this.#adapters.name(request.adapter));
  }

  #recordArrival(request: GatewayRequest, nowMs: number): void {
    this.#shares.recordRequest(request.group, nowMs);
    if (!request.idempotent)
      this.#measures.recordArrival(this.#models.name(request.model), this.#adapters.name(request.adapter));
  }
}

/** The kind of work with this name, or the group's first kind if the name is empty. */
function findKind(group: SpecGroup | undefined, name: string): SpecGroup['kinds'][number] | undefined {
  return group?.kinds.find((known) => known.name === name) ?? (name === '' ? group?.kinds[0] : undefined);
}

/** Whether a worker may be sent work, as far as this node knows. */
function mayReceiveWork(workers: readonly GatewayWorker[], worker: GatewayWorker): boolean {
  const entry = workers.find((known) => known.name === worker.name);
  return entry !== undefined && entry.address === worker.address && !entry.draining && !entry.evacuated;
}
