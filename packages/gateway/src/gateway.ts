import { EventEmitter } from 'eventemitter3';
import type { Spec, SpecGroup } from '@rainrun/configuration';
import { fault, NameIndex, Slab, type Fault } from '@rainrun/common';
import { WorkerSelector, type WorkerRequirement } from './worker-selection.js';
import { Backlog } from './backlog.js';
import { Catalogue } from './catalogue.js';
import { UnconfirmedSends } from './unconfirmed-sends.js';
import type { GatewayRequestInit, EndRecord, GatewayDependencies, GatewayWorker } from './dependencies.js';
import { GroupShares } from './group-shares.js';
import { demandKey, Measures, type Measured } from './measures.js';
import { DrainRate } from './drain-rate.js';
import { Retries } from './retries.js';
import { Send, type SendEnd } from './send.js';
import type { GatewayRequest, GatewayResponseSink } from './gateway-request.js';

interface GatewayEvents {
  ended: (record: EndRecord) => void;
}

type Filter = (visit: GatewayRequest) => Fault | undefined;

const DEADLINE_MS = 120_000;
const STALL_MS = 15_000;
const LOOKUP_SEND_MS = 1500;

/**
 * The data plane of one edge. A request passes the filters, then waits in the
 * backlog or goes to a worker; its continuation is kept in a slab meanwhile.
 * Work that may not be repeated is sent once.
 * @example
 * const gateway = new Gateway(dependencies);
 * const leave = gateway.admit(ask, port);
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
  #filters: readonly Filter[];
  #shares: GroupShares;
  #drainRates: DrainRate[] = [];
  #measures = new Measures();
  #unconfirmed: UnconfirmedSends;
  #sends = new Set<Send>();
  #draining = false;
  #catalogued: { readonly spec: Spec; readonly catalogue: Catalogue } | undefined;
  #counts = new Map<string, number>();

  constructor(dependencies: GatewayDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#retries = new Retries(dependencies, (name) => this.#count(name));
    this.#shares = new GroupShares(dependencies, this.#groups, this.#backlog);
    this.#selector = new WorkerSelector(dependencies.name, dependencies.zone);
    this.#unconfirmed = new UnconfirmedSends(dependencies.sender);
    this.#filters = [(visit) => this.#checkAdmitting(visit), (visit) => this.#checkKnown(visit)];
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

  /** No more is let in; what is in flight goes on. */
  drain(): void {
    this.#draining = true;
    for (const lane of this.#backlog.order())
      for (const { key } of [...lane]) this.#giveUp(key, fault('draining', 'this node is stopping'));
  }

  /** Lets a visitor in; the returned function says that the visitor has left. */
  admit(ask: GatewayRequestInit, port: GatewayResponseSink): () => void {
    const nowMs = this.#dependencies.clock.nowMs();
    const visit = this.#newRequest(ask, port, nowMs);
    this.#count('entered');
    for (const filter of this.#filters) {
      const refused = filter(visit);
      if (refused === undefined) continue;
      this.#reject(visit, refused);
      return () => undefined;
    }
    this.#noteArrival(visit, nowMs);
    const key = this.#wait(visit);
    this.tick();
    const crowded = this.#slab.get(key) === undefined ? undefined : this.#overBacklog(visit);
    if (crowded !== undefined) this.#giveUp(key, crowded);
    return () => this.#onClientLeft(visit);
  }

  /** A request with its names as indices; what the spec does not know stands as the empty name. */
  #newRequest(ask: GatewayRequestInit, port: GatewayResponseSink, nowMs: number): GatewayRequest {
    const catalogue = this.#catalogue();
    const route = catalogue?.route(ask.path);
    const group = catalogue?.group(ask.group);
    const kind = kindOf(group, ask.kind);
    return {
      id: ask.id,
      sink: port,
      group: this.#groups.index(group?.name ?? ''),
      kind: this.#kinds.index(kind?.name ?? ''),
      model: this.#models.index(ask.model),
      adapter: this.#adapters.index(ask.adapter),
      prefix: ask.prefix,
      idempotent: route?.serve === 'lookup',
      streamed: ask.streamed,
      path: ask.path,
      method: ask.method,
      body: ask.body,
      pool: route?.pool ?? '',
      arrivedMs: nowMs,
      targetMs: kind?.targetMs ?? 0,
      maxWaitMs: kind?.patienceMs ?? 0,
      deadlineMs: nowMs + (ask.deadlineMs ?? DEADLINE_MS),
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

  /** Gives up what has waited too long, and sends what can be sent now. */
  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    for (const lane of this.#backlog.order()) {
      for (const { key } of [...lane]) {
        const visit = this.#slab.get(key);
        if (visit === undefined) continue;
        const waitedMs = nowMs - visit.arrivedMs;
        if (nowMs > visit.deadlineMs)
          this.#giveUp(key, fault('deadline-exceeded', 'the deadline passed before it was sent'));
        else if (waitedMs > visit.maxWaitMs)
          this.#giveUp(key, fault('no-worker', visit.decisions.at(-1) ?? 'no worker came free in time'));
      }
    }
    for (const send of [...this.#sends]) if (nowMs > send.deadlineMs) send.expire();
    this.#probeUnconfirmed(nowMs);
    if (!this.#dependencies.hasLease()) return;
    while (this.#sendNext(nowMs));
  }

  /** Takes the counters since the last call, for an observation. */
  takeMeasures(): Measured {
    const backlogs = new Map<string, number>();
    for (const lane of this.#backlog.order()) {
      for (const { key } of lane) {
        const visit = this.#slab.get(key);
        if (visit === undefined || visit.idempotent) continue;
        const name = this.#demandKey(visit);
        backlogs.set(name, (backlogs.get(name) ?? 0) + 1);
      }
    }
    return this.#measures.take(backlogs);
  }

  groupNow(group: string): { inFlight: number; backlog: number } {
    const index = this.#groups.index(group);
    return { inFlight: this.#shares.inFlight(index), backlog: this.#backlog.countOf(index) };
  }

  workerInFlight(worker: string): number {
    return this.#selector.inFlight(worker);
  }

  // Filters.

  #checkAdmitting(visit: GatewayRequest): Fault | undefined {
    if (this.#draining) return fault('draining', 'this node is stopping');
    if (!this.#dependencies.hasLease())
      return fault('not-admitting', 'this node is cut off from most others');
    if (this.#dependencies.spec() === undefined) return fault('not-admitting', 'no spec has been agreed yet');
    return visit.deadlineMs <= visit.arrivedMs
      ? fault('deadline-past', 'the deadline has passed')
      : undefined;
  }

  /** The spec in force, made ready once for each version. */
  #catalogue(): Catalogue | undefined {
    const spec = this.#dependencies.spec();
    if (spec !== this.#catalogued?.spec)
      this.#catalogued = spec === undefined ? undefined : { spec, catalogue: new Catalogue(spec) };
    return this.#catalogued?.catalogue;
  }

  #checkKnown(visit: GatewayRequest): Fault | undefined {
    const catalogue = this.#catalogue();
    if (visit.pool === '') return fault('not-found', `no route for ${visit.path}`);
    const name = this.#groups.name(visit.group);
    const group = catalogue?.group(name);
    if (catalogue === undefined || group === undefined)
      return fault('unknown-group', 'the group is not in the spec');
    if (this.#kinds.name(visit.kind) === '')
      return fault('bad-request', `group ${name} has no such kind of work`);
    if (visit.idempotent) return undefined;
    const model = this.#models.name(visit.model);
    if (!catalogue.serves(group, model)) {
      return fault('unknown-model', `group ${name} has no model "${model}"`);
    }
    const adapter = this.#adapters.name(visit.adapter);
    return adapter === '' || catalogue.hasAdapter(model, adapter)
      ? undefined
      : fault('unknown-model', `model ${model} has no adapter "${adapter}"`);
  }

  /** A group may not have more waiting than its share; what can be sent at once does not wait. */
  #overBacklog(visit: GatewayRequest): Fault | undefined {
    const most = this.#shares.mostWaiting(visit.group);
    if (this.#backlog.countOf(visit.group) <= most) return undefined;
    return fault(
      'over-share',
      `${most} requests of group ${this.#groups.name(visit.group)} wait here already`,
    );
  }

  // Waiting and sending.

  #wait(visit: GatewayRequest): number {
    const key = this.#slab.put(visit);
    visit.cancel = () => {
      if (this.#slab.take(key) !== undefined) this.#backlog.remove(key, visit.group);
    };
    this.#backlog.put({ key, group: visit.group, dueMs: visit.arrivedMs + visit.targetMs });
    return key;
  }

  #giveUp(key: number, why: Fault): void {
    const visit = this.#slab.take(key);
    if (visit === undefined) return;
    this.#backlog.remove(key, visit.group);
    this.#reject(visit, why);
  }

  #sendNext(nowMs: number): boolean {
    const workers = this.#dependencies.workers();
    const edges = this.#dependencies.edges();
    const nowhere = new Set<string>();
    for (const lane of this.#backlog.order()) {
      for (const { key, group } of lane) {
        const visit = this.#slab.get(key);
        if (visit === undefined) continue;
        if (!visit.idempotent && this.#shares.isHeldBack(group)) continue;
        const wanted = this.#need(visit);
        const need = `${visit.pool}/${this.#demandKey(visit)}/${wanted.overShare}`;
        if (nowhere.has(need)) continue;
        const assignment = this.#selector.select(wanted, workers, edges, nowMs);
        if (visit.decisions.at(-1) !== assignment.why) visit.decisions.push(assignment.why);
        if (assignment.worker === undefined) {
          nowhere.add(need);
          continue;
        }
        this.#slab.take(key);
        this.#backlog.remove(key, group);
        this.#send(visit, assignment.worker);
        return true;
      }
    }
    return false;
  }

  #need(visit: GatewayRequest): WorkerRequirement {
    return {
      pool: visit.pool,
      model: visit.idempotent ? '' : this.#models.name(visit.model),
      adapter: visit.idempotent ? '' : this.#adapters.name(visit.adapter),
      prefix: visit.prefix,
      overShare:
        !visit.idempotent && this.#shares.hasItsPart(visit.group) && this.#shares.shareOf(visit.group) < 1,
    };
  }

  #send(visit: GatewayRequest, worker: GatewayWorker): void {
    const { clock, sender } = this.#dependencies;
    const nowMs = clock.nowMs();
    visit.attempts += 1;
    visit.worker = worker.name;
    this.#selector.sendStarted(worker.name, visit.prefix);
    this.#backlog.charge(visit.group, this.#dependencies.weight(this.#groups.name(visit.group)));
    this.#shares.begun(visit.group);
    this.#drainRate(visit.group).sent(nowMs);
    this.#count('sends');
    const send = new Send(visit, worker, {
      nowMs: () => clock.nowMs(),
      mayStart: () => this.#mayStart(visit, worker) && this.#retries.pay(visit),
      over: (end) => {
        this.#sends.delete(send);
        this.#onSendEnd(visit, worker, end);
      },
    });
    this.#sends.add(send);
    const stallMs = visit.idempotent ? LOOKUP_SEND_MS : STALL_MS;
    const sending = sender.send(
      {
        address: worker.address,
        method: visit.method,
        path: visit.path,
        headers: { 'content-type': 'application/json', 'rainrun-id': visit.id },
        body: visit.body,
        stallMs: Math.max(1, Math.min(stallMs, visit.deadlineMs - nowMs)),
      },
      send,
    );
    send.attach(sending);
    visit.cancel = () => send.leave();
  }

  /** The last look before the first byte. */
  #mayStart(visit: GatewayRequest, worker: GatewayWorker): boolean {
    if (
      visit.clientLeft ||
      !this.#dependencies.hasLease() ||
      this.#dependencies.clock.nowMs() > visit.deadlineMs
    )
      return false;
    return mayServe(this.#dependencies.workers(), worker);
  }

  /** The workers are looked up once a heartbeat, and only if there is a silent send to judge. */
  #probeUnconfirmed(nowMs: number): void {
    const granted = this.#dependencies.hasLease();
    let workers: readonly GatewayWorker[] | undefined;
    this.#unconfirmed.tick(
      [...this.#sends],
      (send) => {
        if (!granted) return true;
        workers ??= this.#dependencies.workers();
        return !mayServe(workers, send.worker);
      },
      nowMs,
    );
  }

  #onSendEnd(visit: GatewayRequest, worker: GatewayWorker, end: SendEnd): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#shares.ended(visit.group);
    this.#selector.sendEnded(worker.name, end.succeeded, nowMs);
    if (end.done === undefined && end.tried && !visit.clientLeft)
      this.#selector.recordRestartRisk(worker.name, nowMs);
    if (!end.succeeded) this.#measures.failed(worker.name);
    visit.cancel = undefined;
    if (visit.clientLeft) return this.#ended(visit, 'visitor-left');
    const mayRetry = end.done === undefined && !this.#draining && this.#retries.mayRetry(visit, end, nowMs);
    if (mayRetry) this.#wait(visit);
    else if (end.done === undefined) this.#reject(visit, end.fault);
    else {
      if (end.done === 'served') this.#measureServed(visit, nowMs);
      this.#ended(visit, end.done);
    }
    this.tick();
  }

  #onClientLeft(visit: GatewayRequest): void {
    if (visit.clientLeft) return;
    visit.clientLeft = true;
    const cancel = visit.cancel;
    const waiting = visit.attempts === 0;
    visit.cancel = undefined;
    cancel?.();
    if (cancel !== undefined && waiting) this.#ended(visit, 'visitor-left');
  }

  // Counting.

  #reject(visit: GatewayRequest, why: Fault): void {
    visit.sink.reject(this.#withRetryAfter(visit, why));
    this.#measures.refused(this.#groups.name(visit.group), this.#kinds.name(visit.kind));
    visit.decisions.push(`${why.kind}: ${why.detail}`);
    this.#ended(visit, why.kind);
  }

  /** Who is refused for want of room is told when to come back: as the group's backlog drains. */
  #withRetryAfter(visit: GatewayRequest, why: Fault): Fault {
    if (why.kind !== 'over-share' && why.kind !== 'no-worker') return why;
    const waiting = this.#backlog.countOf(visit.group);
    const returnS = this.#drainRate(visit.group).retryAfterS(
      waiting,
      this.#dependencies.chance.next(),
      this.#dependencies.clock.nowMs(),
    );
    return { ...why, returnS };
  }

  #drainRate(group: number): DrainRate {
    return (this.#drainRates[group] ??= new DrainRate());
  }

  #ended(visit: GatewayRequest, outcome: EndRecord['outcome']): void {
    this.#count(outcome);
    this.#retries.release(visit);
    this.emit('ended', {
      id: visit.id,
      group: this.#groups.name(visit.group),
      kind: this.#kinds.name(visit.kind),
      model: this.#models.name(visit.model),
      adapter: this.#adapters.name(visit.adapter),
      path: visit.path,
      stream: visit.streamed,
      prefix: visit.prefix,
      body: visit.body,
      worker: visit.worker,
      outcome,
      arrivedMs: visit.arrivedMs,
      firstPieceMs: visit.firstChunkMs,
      endedMs: this.#dependencies.clock.nowMs(),
      sends: visit.attempts,
      trail: visit.decisions,
    });
  }

  #count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  #measureServed(visit: GatewayRequest, nowMs: number): void {
    const waitMs = (visit.firstChunkMs ?? nowMs) - visit.arrivedMs;
    this.#measures.served(
      this.#groups.name(visit.group),
      this.#kinds.name(visit.kind),
      waitMs,
      visit.targetMs,
    );
  }

  #demandKey(visit: GatewayRequest): string {
    return demandKey(this.#models.name(visit.model), this.#adapters.name(visit.adapter));
  }

  #noteArrival(visit: GatewayRequest, nowMs: number): void {
    this.#shares.asked(visit.group, nowMs);
    if (!visit.idempotent)
      this.#measures.arrived(this.#models.name(visit.model), this.#adapters.name(visit.adapter));
  }
}

/** The kind of work that is named, or the group's first where none is. */
function kindOf(group: SpecGroup | undefined, name: string): SpecGroup['kinds'][number] | undefined {
  return group?.kinds.find((known) => known.name === name) ?? (name === '' ? group?.kinds[0] : undefined);
}

/** Whether a worker may get work now, as far as this node knows. */
function mayServe(workers: readonly GatewayWorker[], worker: GatewayWorker): boolean {
  const now = workers.find((known) => known.name === worker.name);
  return now !== undefined && now.address === worker.address && !now.draining && !now.evacuated;
}
