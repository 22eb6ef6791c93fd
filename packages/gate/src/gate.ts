import { EventEmitter } from 'eventemitter3';
import type { Spec } from '@rainrun/marquee';
import { fault, Register, Slab, type Clock, type Fault, type FaultKind } from '@rainrun/nacelle';
import { Assigner } from './assign.js';
import { Backlog } from './backlog.js';
import { RetryBudget } from './budget.js';
import type { Sender } from './sender.js';
import { StreamWatch } from './stream.js';
import type { Visit, VisitorPort } from './visit.js';

/** A worker as the gate needs to see it. */
export interface RosterView {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly pool: string;
  readonly leaving: boolean;
  readonly emptied: boolean;
  readonly reachable: boolean;
  readonly slots: number;
  readonly holdings: readonly { readonly model: string; readonly adapters: readonly string[] }[];
  readonly sinceMs: ReadonlyMap<string, number>;
  readonly othersInFlight: number;
}

/** What the gate asks of its node. */
export interface GateGear {
  readonly name: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly sender: Sender;
  spec(): Spec | undefined;
  workers(): readonly RosterView[];
  /** Names of the edges in the view. */
  edges(): readonly string[];
  granted(): boolean;
  /** The weight of a group now, from its share and its loop. */
  weight(group: string): number;
}

/** What a visitor asked, as read from HTTP. */
export interface Ask {
  readonly id: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly group: string;
  readonly kind: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefix: number;
  readonly streamed: boolean;
  readonly body: Uint8Array | undefined;
  /** How long the visitor is ready to wait, from now; undefined without a wish. */
  readonly deadlineMs: number | undefined;
}

/** Counters since the last observation, by group and kind. */
export interface Measure {
  readonly group: string;
  readonly kind: string;
  served: number;
  refused: number;
  prompt: number;
  waitSumMs: number;
}

interface GateEvents {
  ended: (record: EndRecord) => void;
}

/** How one request ended. */
export interface EndRecord {
  readonly id: string;
  readonly group: string;
  readonly kind: string;
  readonly model: string;
  readonly adapter: string;
  readonly path: string;
  readonly stream: boolean;
  readonly prefix: number;
  readonly body: Uint8Array | undefined;
  readonly worker: string;
  readonly outcome: 'served' | 'cut' | FaultKind;
  readonly arrivedMs: number;
  readonly firstPieceMs: number | undefined;
  readonly endedMs: number;
  readonly sends: number;
  readonly trail: readonly string[];
}

type Filter = (visit: Visit) => Fault | undefined;

const DEADLINE_MS = 120_000;
const STALL_MS = 15_000;
const LOOKUP_SEND_MS = 1500;
const WHOLE_MAX_BYTES = 8 * 1024 * 1024;
const BACKLOG_LEAST = 8;
const BACKLOG_PER_SLOT = 4;
const ACTIVE_MS = 10_000;

/**
 * The data plane of one edge. A request passes the filters, then waits in the
 * backlog or goes to a worker; its continuation is kept in a slab meanwhile.
 * Work that may not be repeated is sent once.
 * @example
 * const gate = new Gate(gear);
 * const leave = gate.enter(ask, port);
 * gate.beat(); // every 20 ms and after each change
 */
export class Gate extends EventEmitter<GateEvents> {
  #gear: GateGear;
  #groups = new Register();
  #kinds = new Register();
  #models = new Register();
  #adapters = new Register();
  #slab = new Slab<Visit>();
  #backlog = new Backlog();
  #assigner: Assigner;
  #budget = new RetryBudget();
  #filters: readonly Filter[];
  #groupInFlight: number[] = [];
  #groupSeenMs: number[] = [];
  #measures = new Map<string, Measure>();
  #arrivals = new Map<string, { model: string; adapter: string; arrivals: number }>();
  #faults = new Map<string, number>();
  #flights = new Set<Send>();
  #draining = false;
  #counts = new Map<string, number>();

  constructor(gear: GateGear) {
    super();
    this.#gear = gear;
    this.#assigner = new Assigner(gear.name, gear.zone);
    this.#filters = [
      (visit) => this.#mayAdmit(visit),
      (visit) => this.#knows(visit),
    ];
  }

  get inFlight(): number {
    return this.#flights.size;
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
    for (const lane of this.#backlog.order()) for (const { key } of [...lane]) this.#giveUp(key, fault('draining', 'this node is stopping'));
  }

  /** Lets a visitor in; the returned function says that the visitor has left. */
  enter(ask: Ask, port: VisitorPort): () => void {
    const spec = this.#gear.spec();
    const nowMs = this.#gear.clock.nowMs();
    const route = spec?.routes.find((known) => routeMatches(known, ask.path));
    const group = spec?.groups.find((known) => known.name === ask.group);
    const kind = group?.kinds.find((known) => known.name === ask.kind) ?? (ask.kind === '' ? group?.kinds[0] : undefined);
    const visit: Visit = {
      id: ask.id,
      port,
      group: this.#groups.index(group?.name ?? ''),
      kind: this.#kinds.index(kind?.name ?? ''),
      model: this.#models.index(ask.model),
      adapter: this.#adapters.index(ask.adapter),
      prefix: ask.prefix,
      repeatable: route?.serve === 'lookup',
      streamed: ask.streamed,
      path: ask.path,
      method: ask.method,
      body: ask.body,
      pool: route?.pool ?? '',
      arrivedMs: nowMs,
      targetMs: kind?.targetMs ?? 0,
      patienceMs: kind?.patienceMs ?? 0,
      deadlineMs: nowMs + (ask.deadlineMs ?? DEADLINE_MS),
      left: false,
      sends: 0,
      worker: '',
      cancel: undefined,
      firstPieceMs: undefined,
      trail: [],
    };
    this.#count('entered');
    for (const filter of this.#filters) {
      const refused = filter(visit);
      if (refused === undefined) continue;
      this.#refuse(visit, refused);
      return () => undefined;
    }
    this.#noteArrival(visit, nowMs);
    const key = this.#wait(visit);
    this.beat();
    const crowded = this.#slab.get(key) === undefined ? undefined : this.#overBacklog(visit);
    if (crowded !== undefined) this.#giveUp(key, crowded);
    return () => this.#visitorLeft(visit);
  }

  /** Gives up what has waited too long, and sends what can be sent now. */
  beat(): void {
    const nowMs = this.#gear.clock.nowMs();
    for (const lane of this.#backlog.order()) {
      for (const { key } of [...lane]) {
        const visit = this.#slab.get(key);
        if (visit === undefined) continue;
        const waitedMs = nowMs - visit.arrivedMs;
        if (nowMs > visit.deadlineMs) this.#giveUp(key, fault('deadline-exceeded', 'the deadline passed before it was sent'));
        else if (waitedMs > visit.patienceMs) this.#giveUp(key, fault('no-worker', visit.trail.at(-1) ?? 'no worker came free in time'));
      }
    }
    for (const send of [...this.#flights]) if (nowMs > send.deadlineMs) send.expire();
    if (!this.#gear.granted()) return;
    while (this.#sendNext(nowMs));
  }

  /** Takes the counters since the last call, for an observation. */
  takeMeasures(): {
    measures: Measure[];
    demands: { model: string; adapter: string; arrivals: number; backlog: number }[];
    faults: ReadonlyMap<string, number>;
  } {
    const measures = [...this.#measures.values()];
    const backlogs = new Map<string, number>();
    for (const lane of this.#backlog.order()) {
      for (const { key } of lane) {
        const visit = this.#slab.get(key);
        if (visit === undefined || visit.repeatable) continue;
        const name = this.#demandKey(visit);
        backlogs.set(name, (backlogs.get(name) ?? 0) + 1);
      }
    }
    const demands = [...this.#arrivals].map(([key, arrival]) => ({ ...arrival, backlog: backlogs.get(key) ?? 0 }));
    const faults = this.#faults;
    this.#measures = new Map();
    this.#arrivals = new Map([...this.#arrivals].filter(([key]) => backlogs.has(key)).map(([key, arrival]) => [key, { ...arrival, arrivals: 0 }]));
    this.#faults = new Map();
    return { measures, demands, faults };
  }

  groupNow(group: string): { inFlight: number; backlog: number } {
    const index = this.#groups.index(group);
    return { inFlight: this.#groupInFlight[index] ?? 0, backlog: this.#backlog.countOf(index) };
  }

  workerInFlight(worker: string): number {
    return this.#assigner.inFlight(worker);
  }

  // Filters.

  #mayAdmit(visit: Visit): Fault | undefined {
    if (this.#draining) return fault('draining', 'this node is stopping');
    if (!this.#gear.granted()) return fault('not-admitting', 'this node is cut off from most others');
    if (this.#gear.spec() === undefined) return fault('not-admitting', 'no spec has been agreed yet');
    return visit.deadlineMs <= visit.arrivedMs ? fault('deadline-past', 'the deadline has passed') : undefined;
  }

  #knows(visit: Visit): Fault | undefined {
    const spec = this.#gear.spec();
    if (visit.pool === '') return fault('not-found', `no route for ${visit.path}`);
    const name = this.#groups.name(visit.group);
    const group = spec?.groups.find((known) => known.name === name);
    if (group === undefined) return fault('unknown-group', 'the group is not in the spec');
    if (this.#kinds.name(visit.kind) === '') return fault('bad-request', `group ${name} has no such kind of work`);
    if (visit.repeatable) return undefined;
    const model = this.#models.name(visit.model);
    const known = spec?.models.some((one) => one.name === model) ?? false;
    if (!known || !(group.models.includes('*') || group.models.includes(model))) {
      return fault('unknown-model', `group ${name} has no model "${model}"`);
    }
    const adapter = this.#adapters.name(visit.adapter);
    const fits = adapter === '' || (spec?.adapters.some((one) => one.name === adapter && one.model === model) ?? false);
    return fits ? undefined : fault('unknown-model', `model ${model} has no adapter "${adapter}"`);
  }

  /** A group may not have more waiting than its share; what can be sent at once does not wait. */
  #overBacklog(visit: Visit): Fault | undefined {
    const most = Math.max(BACKLOG_LEAST, Math.floor(this.#slotsHere() * BACKLOG_PER_SLOT * this.#shareOf(visit.group)));
    if (this.#backlog.countOf(visit.group) <= most) return undefined;
    return fault('over-share', `${most} requests of group ${this.#groups.name(visit.group)} wait here already`);
  }

  #slotsHere(): number {
    const slots = this.#gear.workers().reduce((sum, worker) => sum + (worker.leaving || worker.emptied ? 0 : worker.slots), 0);
    return Math.max(1, slots / Math.max(1, this.#gear.edges().length));
  }

  /** A group's part among the groups that have asked lately. */
  #shareOf(group: number): number {
    const nowMs = this.#gear.clock.nowMs();
    let sum = 0;
    for (let other = 0; other < this.#groups.size; other += 1) {
      const active = other === group || nowMs - (this.#groupSeenMs[other] ?? -Infinity) < ACTIVE_MS;
      if (active) sum += this.#gear.weight(this.#groups.name(other));
    }
    return sum === 0 ? 1 : this.#gear.weight(this.#groups.name(group)) / sum;
  }

  // Waiting and sending.

  #wait(visit: Visit): number {
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
    this.#refuse(visit, why);
  }

  #sendNext(nowMs: number): boolean {
    const workers = this.#gear.workers();
    const edges = this.#gear.edges();
    const nowhere = new Set<string>();
    for (const lane of this.#backlog.order()) {
      for (const { key, group } of lane) {
        const visit = this.#slab.get(key);
        if (visit === undefined) continue;
        if (!visit.repeatable && this.#overShare(group)) continue;
        const need = `${visit.pool}/${this.#demandKey(visit)}`;
        if (nowhere.has(need)) continue;
        const assignment = this.#assigner.assign(this.#need(visit), workers, edges, nowMs);
        if (visit.trail.at(-1) !== assignment.why) visit.trail.push(assignment.why);
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

  /** While others wait, a group is held to its part of the slots. */
  #overShare(group: number): boolean {
    const others = this.#backlog.count - this.#backlog.countOf(group);
    if (others === 0) return false;
    return (this.#groupInFlight[group] ?? 0) >= Math.max(1, Math.ceil(this.#slotsHere() * this.#shareOf(group)));
  }

  #need(visit: Visit): { pool: string; model: string; adapter: string; prefix: number } {
    return {
      pool: visit.pool,
      model: visit.repeatable ? '' : this.#models.name(visit.model),
      adapter: visit.repeatable ? '' : this.#adapters.name(visit.adapter),
      prefix: visit.prefix,
    };
  }

  #send(visit: Visit, worker: RosterView): void {
    const { clock, sender } = this.#gear;
    const nowMs = clock.nowMs();
    visit.sends += 1;
    visit.worker = worker.name;
    if (visit.sends === 1) this.#budget.first(nowMs);
    this.#assigner.begun(worker.name, visit.prefix);
    this.#backlog.charge(visit.group, this.#gear.weight(this.#groups.name(visit.group)));
    this.#groupInFlight[visit.group] = (this.#groupInFlight[visit.group] ?? 0) + 1;
    this.#count('sends');
    const send = new Send(visit, worker, {
      nowMs: () => clock.nowMs(),
      mayStart: () => this.#mayStart(visit, worker),
      over: (end) => {
        this.#flights.delete(send);
        this.#sendOver(visit, worker, end);
      },
    });
    this.#flights.add(send);
    const stallMs = visit.repeatable ? LOOKUP_SEND_MS : STALL_MS;
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
  #mayStart(visit: Visit, worker: RosterView): boolean {
    if (visit.left || !this.#gear.granted() || this.#gear.clock.nowMs() > visit.deadlineMs) return false;
    const now = this.#gear.workers().find((known) => known.name === worker.name);
    return now !== undefined && now.address === worker.address && !now.leaving && !now.emptied;
  }

  #sendOver(visit: Visit, worker: RosterView, end: SendEnd): void {
    const nowMs = this.#gear.clock.nowMs();
    this.#groupInFlight[visit.group] = Math.max(0, (this.#groupInFlight[visit.group] ?? 0) - 1);
    this.#assigner.ended(worker.name, end.well, nowMs);
    if (end.done === undefined && end.tried && !visit.left) this.#assigner.failed(worker.name, nowMs);
    if (!end.well) this.#faults.set(worker.name, (this.#faults.get(worker.name) ?? 0) + 1);
    visit.cancel = undefined;
    if (visit.left) return this.#ended(visit, 'visitor-left');
    if (end.done === undefined && this.#again(visit, end, nowMs)) this.#wait(visit);
    else if (end.done === undefined) this.#refuse(visit, end.fault);
    else {
      if (end.done === 'served') this.#measureServed(visit, nowMs);
      this.#ended(visit, end.done);
    }
    this.beat();
  }

  /** Whether a failed send may be followed by another. */
  #again(visit: Visit, end: SendEnd, nowMs: number): boolean {
    if (this.#draining || nowMs > visit.deadlineMs || visit.sends >= 4) return false;
    if (end.sent && !visit.repeatable) return false;
    const retries = this.#gear.spec()?.retries;
    if (retries === undefined) return false;
    if (!end.sent && !end.tried) {
      visit.sends -= 1;
      return true;
    }
    const allowance = Math.floor(retries.allowance / Math.max(1, this.#gear.edges().length));
    if (!this.#budget.take(retries.ratio, allowance, nowMs)) {
      this.#count('retries-refused');
      return false;
    }
    this.#count('retries');
    return true;
  }

  #visitorLeft(visit: Visit): void {
    if (visit.left) return;
    visit.left = true;
    const cancel = visit.cancel;
    const waiting = visit.sends === 0;
    visit.cancel = undefined;
    cancel?.();
    if (cancel !== undefined && waiting) this.#ended(visit, 'visitor-left');
  }

  // Counting.

  #refuse(visit: Visit, why: Fault): void {
    visit.port.refuse(why);
    this.#measure(visit).refused += 1;
    visit.trail.push(`${why.kind}: ${why.detail}`);
    this.#ended(visit, why.kind);
  }

  #ended(visit: Visit, outcome: EndRecord['outcome']): void {
    this.#count(outcome);
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
      firstPieceMs: visit.firstPieceMs,
      endedMs: this.#gear.clock.nowMs(),
      sends: visit.sends,
      trail: visit.trail,
    });
  }

  #count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  #measure(visit: Visit): Measure {
    const group = this.#groups.name(visit.group);
    const kind = this.#kinds.name(visit.kind);
    const key = `${group}/${kind}`;
    let measure = this.#measures.get(key);
    if (measure === undefined) {
      measure = { group, kind, served: 0, refused: 0, prompt: 0, waitSumMs: 0 };
      this.#measures.set(key, measure);
    }
    return measure;
  }

  #measureServed(visit: Visit, nowMs: number): void {
    const waitMs = (visit.firstPieceMs ?? nowMs) - visit.arrivedMs;
    const measure = this.#measure(visit);
    measure.served += 1;
    measure.waitSumMs += waitMs;
    if (waitMs <= visit.targetMs) measure.prompt += 1;
  }

  #demandKey(visit: Visit): string {
    return `${visit.model}/${visit.adapter}`;
  }

  #noteArrival(visit: Visit, nowMs: number): void {
    this.#groupSeenMs[visit.group] = nowMs;
    if (visit.repeatable) return;
    const key = this.#demandKey(visit);
    const known = this.#arrivals.get(key);
    if (known !== undefined) known.arrivals += 1;
    else {
      const model = this.#models.name(visit.model);
      const adapter = this.#adapters.name(visit.adapter);
      this.#arrivals.set(key, { model, adapter, arrivals: 1 });
    }
  }
}

function routeMatches(route: Spec['routes'][number], path: string): boolean {
  const bare = path.split('?')[0] ?? path;
  if (route.serve === 'chat') return route.path === bare;
  return bare === route.path || bare.startsWith(`${route.path}/`);
}

/** How a send ended; `done` is set when the visitor has had an answer. */
interface SendEnd {
  readonly done: 'served' | 'cut' | undefined;
  readonly well: boolean;
  /** Whether any byte may have left. */
  readonly sent: boolean;
  /** Whether a connection was tried at all. */
  readonly tried: boolean;
  readonly fault: Fault;
}

interface SendDesk {
  nowMs(): number;
  mayStart(): boolean;
  over(end: SendEnd): void;
}

const NO_FAULT = fault('outcome-unknown', '');

/** One send: takes the worker's reply apart and passes it on to the visitor. */
class Send {
  #visit: Visit;
  #worker: RosterView;
  #desk: SendDesk;
  #sending: { abort(): void; pause(): void; resume(): void } | undefined;
  #status = 0;
  #contentType = '';
  #watch: StreamWatch | undefined;
  #whole: Buffer[] = [];
  #wholeBytes = 0;
  #opened = false;
  #withheld = false;
  #over = false;

  constructor(visit: Visit, worker: RosterView, desk: SendDesk) {
    this.#visit = visit;
    this.#worker = worker;
    this.#desk = desk;
  }

  attach(sending: { abort(): void; pause(): void; resume(): void }): void {
    this.#sending = sending;
    if (this.#over) sending.abort();
  }

  get deadlineMs(): number {
    return this.#visit.deadlineMs;
  }

  /** The deadline has passed while the worker was at it. */
  expire(): void {
    if (this.#opened) this.#cut();
    else this.#fail(true, fault('deadline-exceeded', 'the deadline passed after it was sent'));
    this.#sending?.abort();
  }

  /** The visitor has left: the worker's connection is closed. */
  leave(): void {
    this.#finish({ done: undefined, well: true, sent: true, tried: true, fault: NO_FAULT });
    this.#sending?.abort();
  }

  mayStart(): boolean {
    if (this.#over) return false;
    this.#withheld = !this.#desk.mayStart();
    return !this.#withheld;
  }

  start(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
    const streaming = status === 200 && contentType.startsWith('text/event-stream');
    if (status === 200 && streaming !== this.#visit.streamed) return this.#nonsense(`${contentType} instead of what was asked`);
    if (streaming) this.#watch = new StreamWatch();
  }

  chunk(bytes: Buffer): void {
    if (this.#over) return;
    if (this.#watch === undefined) {
      this.#wholeBytes += bytes.length;
      if (this.#wholeBytes > WHOLE_MAX_BYTES) return this.#nonsense('an answer without end');
      this.#whole.push(bytes);
      return;
    }
    const step = this.#watch.take(bytes);
    if ('nonsense' in step) return this.#nonsense(step.nonsense);
    if (step.events.length > 0) this.#pass(step.events);
  }

  end(): void {
    if (this.#over) return;
    if (this.#watch !== undefined) return this.#endStream(this.#watch);
    const body = Buffer.concat(this.#whole);
    if (this.#status === 429 || this.#status === 503) {
      return this.#fail(true, fault('no-worker', `${this.#worker.name} took no more`), !this.#visit.repeatable);
    }
    if (this.#status >= 500 || this.#status < 200) return this.#fail(true, fault('worker-nonsense', `${this.#worker.name} answered ${this.#status}`));
    if (!isJson(body)) return this.#fail(true, fault('worker-nonsense', `${this.#worker.name} did not answer in JSON`));
    this.#visit.firstPieceMs ??= this.#desk.nowMs();
    this.#visit.port.answer(this.#status, this.#contentType, body);
    this.#finish({ done: 'served', well: true, sent: true, tried: true, fault: NO_FAULT });
  }

  failed(sent: boolean, why: string): void {
    if (this.#over) return;
    if (!sent) {
      const tried = !this.#withheld;
      this.#finish({ done: undefined, well: !tried, sent: false, tried, fault: fault('no-worker', why) });
      return;
    }
    if (this.#opened) return this.#cut();
    const late = this.#desk.nowMs() >= this.#visit.deadlineMs;
    this.#fail(true, late ? fault('deadline-exceeded', 'the deadline passed after it was sent') : fault('outcome-unknown', `${this.#worker.name}: ${why}`));
  }

  #pass(events: Buffer): void {
    const { port } = this.#visit;
    if (!this.#opened) {
      this.#opened = true;
      this.#visit.firstPieceMs ??= this.#desk.nowMs();
      port.open(this.#contentType);
    }
    if (!port.piece(events, () => this.#sending?.resume())) this.#sending?.pause();
  }

  #endStream(watch: StreamWatch): void {
    if (!watch.finished) {
      if (this.#opened) return this.#cut();
      return this.#fail(true, fault('outcome-unknown', `${this.#worker.name} ended early`));
    }
    this.#pass(watch.closing);
    this.#visit.port.close();
    this.#finish({ done: 'served', well: true, sent: true, tried: true, fault: NO_FAULT });
  }

  #nonsense(why: string): void {
    if (this.#opened) this.#cut();
    else this.#fail(true, fault('worker-nonsense', `${this.#worker.name}: ${why}`));
    this.#sending?.abort();
  }

  #cut(): void {
    this.#visit.port.cut();
    this.#finish({ done: 'cut', well: false, sent: true, tried: true, fault: NO_FAULT });
  }

  #fail(sent: boolean, why: Fault, well = false): void {
    this.#finish({ done: undefined, well, sent, tried: true, fault: why });
  }

  #finish(end: SendEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.#desk.over(end);
  }
}

function isJson(body: Buffer): boolean {
  try {
    JSON.parse(body.toString('utf8'));
    return true;
  } catch {
    return false;
  }
}
