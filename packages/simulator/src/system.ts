import { create } from '@bufbuild/protobuf';
import { pack, SPEAKS, unpack, WantSchema, type Frame, type Want } from '@rainrun/messages';
import { Acceptor, GROUP_TIMES, readRecords, type GroupTimes } from '@rainrun/process-group';
import { Follower, CoreReplica } from '@rainrun/cluster-node';
import type { Deployment } from '@rainrun/configuration';
import { Dice, randomId } from '@rainrun/common';
import type { WorkerRecord, StockOrder, StockReply } from '@rainrun/placement';
import { ENGINE, LIST_LAG_MS, SERVICE, sizeOf, Yard } from './stalls.js';
import type { TimelineEvent } from './timeline.js';
import { SimDisk, VirtualTime, type Cut } from './world.js';

/** Times of the cores as the program sets them. */
const TIMES: GroupTimes = { ...GROUP_TIMES, replaceMs: 1500, suspectMs: 900, grantMs: 600 };
const CORE_TICK_MS = 20;
const EDGE_TICK_MS = 25;
const LIST_MS = 500;
const ORDER_WAIT_MS = 900;
const ANSWER_WAIT_MS = 900;
const PROBE_MS = 50;
/** The bounds that the rules set. */
export const BOUNDS = { contactMs: 3000, applyMs: 2000, ackMs: 4000, drainMs: 3000 } as const;

/** A rule that did not hold. */
export interface SystemBreach {
  readonly atMs: number;
  readonly rule: string;
  readonly detail: string;
}

/** Size of a simulated system. */
export interface SystemSize {
  readonly cores: number;
  readonly lossesBorne: number;
  readonly edges: number;
  readonly workers: number;
  readonly models: number;
  readonly zones: readonly string[];
  /** How often processes heartbeat; as the programs do without it. */
  readonly heartbeatMs?: number;
}

/** A small system: three cores that bear the loss of one. */
export const SMALL_SYSTEM: SystemSize = {
  cores: 3,
  lossesBorne: 1,
  edges: 3,
  workers: 5,
  models: 12,
  zones: ['north', 'east', 'west'],
};

interface Process {
  readonly skewMs: number;
  readonly replica: CoreReplica | undefined;
  readonly follower: Follower | undefined;
  frozen: boolean;
  waiting: (() => void)[];
  leading: boolean;
  listedMs: number;
  edition: number;
  /** Since when it runs undisturbed, with a way to and from every core that reaches most of them. */
  touchMs: number;
}

/** A machine of the simulated system, with or without a process on it. */
export class Station {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly disk: SimDisk | undefined;
  running: Process | undefined;
  /** Taken out for good. */
  removed = false;

  constructor(name: string, zone: string, address: string, disk: SimDisk | undefined) {
    this.name = name;
    this.zone = zone;
    this.address = address;
    this.disk = disk;
  }
}

/** How an operator's call ended. */
export interface CallEnd {
  readonly kind: string;
  readonly atMs: number;
}

interface Call {
  readonly kind: string;
  readonly payload: unknown;
  readonly bornMs: number;
  /** The operator goes on with it until this moment. */
  readonly endMs: number;
  end: CallEnd | undefined;
}

interface Acked {
  readonly revision: number;
  readonly document: string | undefined;
  readonly atMs: number;
}

/** What edges ask for now. */
export interface Need {
  readonly model: string;
  readonly adapter: string;
  readonly count: number;
}

/** A configuration in our terms, for the simulated workers; `mark` tells two of them apart. */
export function sampleDocument(revision: number, models: number, mark: string): Record<string, unknown> {
  return {
    revision,
    routes: [
      {
        name: 'ask',
        host: 'a.example',
        prefix: '/ask/',
        service: SERVICE,
        kind: 'streaming',
        timeoutMs: 5000,
        note: mark,
      },
    ],
    services: [
      {
        name: SERVICE,
        engine: {
          slots: ENGINE.slots,
          roomMb: ENGINE.roomMb,
          adapterPlaces: ENGINE.adapterPlaces,
          loadsPerS: ENGINE.loadsPerS,
          models: Array.from({ length: models }, (_, place) => ({
            name: `m${place}`,
            sizeMb: sizeOf(`m${place}`),
            loadS: ENGINE.loadMs / 1000,
            adapters: 4,
            adapterMb: ENGINE.adapterMb,
          })),
        },
      },
    ],
  };
}

/**
 * Cores, edges that follow them, workers, the platform's list and operators, in
 * one thread and in virtual time on the production code; an oracle looks at
 * all of them after each step.
 * @example
 * const system = new System(7, SMALL_SYSTEM);
 * system.start();
 * system.time.runUntil(5000);
 * system.breaches; // []
 */
export class System {
  readonly time = new VirtualTime();
  readonly dice: Dice;
  readonly size: SystemSize;
  readonly yard: Yard;
  readonly cores: Station[] = [];
  readonly edges: Station[] = [];
  readonly breaches: SystemBreach[] = [];
  readonly timeline: TimelineEvent[] = [];
  /** What edges ask for now. */
  needs: readonly Need[] = [];
  /** Newest change of the configuration that was acknowledged. */
  acked: Acked = { revision: 0, document: undefined, atMs: 0 };
  readonly zones = new Map<string, { readonly evacuated: boolean; readonly atMs: number }>();
  /** Called when an operator is answered. */
  atAnswer: ((kind: string) => void) | undefined;
  /** Loss of frames, by chance. */
  lossRatio = 0.002;
  #cuts = new Set<Cut>();
  #arrivals = new Map<string, number>();
  #calls = new Set<Call>();
  #born = 0;
  /** When the core was last disturbed. */
  #troubleMs = 0;
  #founders: readonly string[] = [];
  #told = new Set<string>();
  #texts = new WeakMap<Deployment, string>();

  constructor(seed: number, size: SystemSize) {
    this.dice = new Dice(seed);
    this.size = size;
    this.yard = new Yard(
      this.time,
      this.dice,
      (rule, detail) => this.breach(rule, detail),
      size.workers,
      size.zones,
    );
    this.yard.counted = () => this.settled();
    for (let place = 0; place < size.cores; place += 1) this.addCore();
    for (let place = 0; place < size.edges; place += 1) {
      const zone = size.zones[place % size.zones.length] ?? '';
      this.edges.push(new Station(`edge-${place}`, zone, `edge-${place}`, undefined));
    }
    for (const [place, stall] of this.yard.stalls.entries()) {
      for (let more = 0; more < 2; more += 1) {
        const model = place * 2 + more;
        if (model < size.models) stall.stock(`m${model}`);
      }
    }
  }

  get stations(): Station[] {
    return [...this.cores, ...this.edges];
  }

  /** A further core, empty, at an address of its own. */
  addCore(): Station {
    const zone = this.size.zones[this.cores.length % this.size.zones.length] ?? '';
    const name = `core-${this.#born}`;
    this.#born += 1;
    const core = new Station(name, zone, `${name}:1`, new SimDisk(this.time, this.dice));
    this.cores.push(core);
    return core;
  }

  /** Every machine starts for the first time, within 0.3 s of each other. */
  start(): void {
    this.yard.open();
    this.#founders = this.cores.slice(0, 3).map((core) => core.address);
    for (const station of this.stations)
      this.time.after(this.dice.next() * 300, () => this.boot(station, true));
    this.time.after(PROBE_MS, () => this.#probe());
  }

  note(node: string, text: string): void {
    this.timeline.push({ atMs: this.time.nowMs(), node, text });
  }

  breach(rule: string, detail: string): void {
    if (this.#told.has(`${rule} ${detail}`)) return;
    this.#told.add(`${rule} ${detail}`);
    this.breaches.push({ atMs: this.time.nowMs(), rule, detail });
    this.note('', `BREACH ${rule}: ${detail}`);
  }

  // Troubles.

  boot(station: Station, founding = false): void {
    if (station.running !== undefined || station.removed) return;
    const skewMs = this.dice.next() * 1e6;
    const { disk } = station;
    if (disk === undefined) this.#run(station, skewMs, undefined, this.#follower(station, skewMs));
    else {
      const { records } = disk;
      const opening = readRecords(records, randomId(this.dice));
      if (opening.isErr) return this.breach('disk reads back', `${station.name}: ${opening.error.detail}`);
      const acceptor = new Acceptor(opening.value, disk, 'system', (failed) => {
        this.note(station.name, `disk: ${failed.detail}`);
        this.kill(station);
      });
      if (records.disk === undefined) acceptor.mark();
      this.#run(station, skewMs, this.#replica(station, skewMs, acceptor, founding), undefined);
    }
    this.disturbed(station);
    this.note(station.name, 'boots');
  }

  /** The process ends at once; what its disk has not synced may be gone. */
  kill(station: Station): void {
    if (station.running === undefined) return;
    station.running = undefined;
    station.disk?.losePower();
    this.disturbed(station);
    this.note(station.name, 'killed');
  }

  /** The process is asked to end, and does so in order. */
  stop(station: Station): void {
    const running = station.running;
    if (running === undefined) return;
    this.disturbed(station);
    this.note(station.name, 'stops');
    this.#atStation(station, running, () => {
      running.replica?.group.leave();
      running.follower?.leave();
    });
    this.time.after(150, () => {
      if (station.running === running) this.kill(station);
    });
  }

  freeze(station: Station, waitMs: number): void {
    const running = station.running;
    if (running === undefined || running.frozen) return;
    running.frozen = true;
    this.disturbed(station);
    this.note(station.name, `frozen ${waitMs.toFixed(0)}`);
    this.time.after(waitMs, () => {
      if (station.running !== running) return;
      running.frozen = false;
      this.disturbed(station);
      this.note(station.name, 'wakes');
      const { waiting } = running;
      running.waiting = [];
      for (const act of waiting) this.#atStation(station, running, act);
    });
  }

  /** Cuts ways between stations, by name; the returned function heals them. */
  cut(what: string, cut: Cut): () => void {
    this.#cuts.add(cut);
    this.note('', `cut ${what}`);
    this.#disturbedBy(cut);
    return () => {
      if (!this.#cuts.delete(cut)) return;
      this.note('', `heals ${what}`);
      this.#disturbedBy(cut);
    };
  }

  /** A machine of the core is taken out for good. */
  remove(core: Station): void {
    this.kill(core);
    core.removed = true;
    this.note(core.name, 'removed');
  }

  /** Something happened to a station: the bounds count anew for it, and for all if it is a core. */
  disturbed(station: Station): void {
    const nowMs = this.time.nowMs();
    if (station.running !== undefined) station.running.touchMs = nowMs;
    if (station.disk !== undefined) this.#troubleMs = nowMs;
  }

  // What is seen from outside.

  /** Whether the core has been undisturbed, and more than half of it connected, for long enough. */
  settled(): boolean {
    return (
      this.time.nowMs() - this.#troubleMs > BOUNDS.contactMs && this.#reaching().length > this.size.cores / 2
    );
  }

  /** The core that coordinates, if one says so. */
  leader(): Station | undefined {
    return this.cores.find(
      (core) =>
        core.running?.replica?.group.leading === true && core.running.replica.group.dutyEpoch() !== undefined,
    );
  }

  voters(): number {
    return Math.max(0, ...this.cores.map((core) => core.running?.replica?.group.held?.voters.length ?? 0));
  }

  /** An operator's call, sent again to other cores until it has a clear answer. */
  call(kind: string, payload: unknown, done: (end: CallEnd) => void = () => undefined, forMs = 60_000): void {
    const nowMs = this.time.nowMs();
    const call: Call = { kind, payload, bornMs: nowMs, endMs: nowMs + forMs, end: undefined };
    this.#calls.add(call);
    this.#try(call, Math.floor(this.dice.next() * this.cores.length), done);
  }

  /** Sends a configuration; what is acknowledged is expected to stay. */
  put(base: number, document: Record<string, unknown>, done: (end: CallEnd) => void = () => undefined): void {
    this.call('configuration.put', { base, document }, (end) => {
      const revision = Number(document['revision']);
      if (end.kind === 'agreed' && revision > this.acked.revision)
        this.acked = { revision, document: JSON.stringify(document), atMs: end.atMs };
      done(end);
    });
  }

  /** Evacuates a zone or takes it back. */
  zone(zone: string, evacuated: boolean, done: (end: CallEnd) => void = () => undefined): void {
    this.zones.delete(zone);
    if (!evacuated) this.yard.evacuate(zone, false);
    this.call(evacuated ? 'zone.evacuate' : 'zone.return', { zone }, (end) => {
      if (end.kind === 'agreed') {
        this.zones.set(zone, { evacuated, atMs: end.atMs });
        if (evacuated) this.yard.evacuate(zone, true);
      }
      done(end);
    });
  }

  /** What the acknowledged state lacks in a node's state, or undefined. */
  lacks(state: Deployment, ackedBeforeMs: number): string | undefined {
    if (this.acked.atMs <= ackedBeforeMs && state.revision < this.acked.revision)
      return `revision ${state.revision}, acknowledged was ${this.acked.revision}`;
    if (
      state.revision === this.acked.revision &&
      this.acked.document !== undefined &&
      this.#textOf(state) !== this.acked.document
    )
      return `another document under revision ${state.revision}`;
    for (const [zone, { evacuated, atMs }] of this.zones) {
      if (atMs <= ackedBeforeMs && state.evacuated.includes(zone) !== evacuated)
        return `${zone} ${evacuated ? 'not evacuated' : 'not taken back'}`;
    }
    return undefined;
  }

  #textOf(state: Deployment): string {
    let text = this.#texts.get(state);
    if (text === undefined) {
      text = JSON.stringify(state.document);
      this.#texts.set(state, text);
    }
    return text;
  }

  /** Checks what must hold once all is calm: cores and edges hold what was acknowledged, and every model in demand stands somewhere. */
  checkEnd(): void {
    for (const station of this.stations) {
      const { running } = station;
      if (running === undefined) {
        if (!station.removed) this.breach('end', `${station.name} does not run`);
        continue;
      }
      const state = running.replica?.state ?? running.follower?.state;
      const lack = state === undefined ? undefined : this.lacks(state, Infinity);
      if (lack !== undefined) this.breach('acknowledged stays', `${station.name}: ${lack}`);
      if (running.replica !== undefined && !running.replica.group.granted())
        this.breach('recovers', `${station.name} is not in a group with a majority`);
      if (running.follower !== undefined && !running.follower.ready)
        this.breach('recovers', `${station.name} is not ready`);
      if (running.follower?.informed === false)
        this.breach('recovers', `${station.name} hears no core with a majority`);
    }
    if (this.leader() === undefined) this.breach('recovers', 'no core has the duty');
    const wanted = Math.min(2 * this.size.lossesBorne + 1, this.cores.filter((core) => !core.removed).length);
    if (this.voters() < wanted) this.breach('recovers', `${this.voters()} voters, wanted ${wanted}`);
    for (const call of this.#calls)
      if (call.end === undefined) this.breach('late answer', `${call.kind} is not answered`);
    for (const { model, adapter } of this.needs) {
      for (const edge of this.edges)
        if (!this.#finds(edge, model, adapter))
          this.breach(
            'placed',
            `${edge.name} knows no worker with ${model}${adapter === '' ? '' : `/${adapter}`}`,
          );
    }
  }

  // Processes.

  #run(
    station: Station,
    skewMs: number,
    replica: CoreReplica | undefined,
    follower: Follower | undefined,
  ): void {
    const running: Process = {
      skewMs,
      replica,
      follower,
      frozen: false,
      waiting: [],
      leading: false,
      listedMs: -Infinity,
      edition: 0,
      touchMs: this.time.nowMs(),
    };
    station.running = running;
    this.time.after(this.dice.next() * CORE_TICK_MS, () => this.#tick(station, running));
  }

  #seeds(): string[] {
    return this.cores
      .filter((core) => !core.removed)
      .slice(0, 3)
      .map((core) => core.address);
  }

  #replica(station: Station, skewMs: number, acceptor: Acceptor, founding: boolean): CoreReplica {
    const { name, zone, address } = station;
    const replica: CoreReplica = new CoreReplica({
      name,
      address,
      zone,
      deployment: 'system',
      seeds: founding ? this.#founders : this.#seeds(),
      founders: founding ? this.#founders : [],
      votersWanted: 2 * this.size.lossesBorne + 1,
      clock: { nowMs: () => this.time.nowMs() + skewMs },
      chance: this.dice,
      times: TIMES,
      acceptor,
      speaks: SPEAKS,
      post: (to, frame) => this.#post(station, to, frame),
      order: (row, order, done) => this.#order(station, replica, row, order, done),
      report: (row, done) => this.#report(station, row, done),
      listLagMs: LIST_LAG_MS,
      changed: () => undefined,
      reborn: () => this.note(name, 'dropped, rejoins'),
      refused: (why) => this.note(name, `refused: ${why}`),
      decided: (text) => this.note(name, text),
    });
    return replica;
  }

  #follower(station: Station, skewMs: number): Follower {
    const { name, zone, address } = station;
    const follower: Follower = new Follower({
      name,
      zone,
      address,
      deployment: 'system',
      seeds: this.#seeds(),
      clock: { nowMs: () => this.time.nowMs() + skewMs },
      chance: this.dice,
      post: (to, frame) => this.#post(station, to, frame),
      wants: () => this.#wants(follower),
      changed: (what) => {
        if (what === 'state')
          this.note(name, `edition ${follower.state.edition}, revision ${follower.state.revision}`);
      },
    });
    return follower;
  }

  #tick(station: Station, running: Process): void {
    if (station.running !== running) return;
    const everyMs = this.size.heartbeatMs ?? (running.replica === undefined ? EDGE_TICK_MS : CORE_TICK_MS);
    this.time.after(everyMs * (0.9 + this.dice.next() * 0.2), () => this.#tick(station, running));
    if (running.frozen) return;
    const { replica, follower } = running;
    if (follower !== undefined) {
      if (this.needs.some(({ model, adapter }) => !this.#knows(follower, model, adapter))) follower.haste();
      return follower.tick();
    }
    if (replica === undefined) return;
    replica.tick();
    const nowMs = this.time.nowMs();
    const { leading, epoch } = replica.group;
    if (leading !== running.leading) {
      this.note(station.name, leading ? `leads epoch ${epoch}` : 'resigns');
      running.listedMs = -Infinity;
    }
    running.leading = leading;
    if (!leading || nowMs - running.listedMs < LIST_MS) return;
    running.listedMs = nowMs;
    this.time.after(2 + this.dice.next() * 8, () => {
      const list = this.yard.list();
      this.time.after(2 + this.dice.next() * 8, () =>
        this.#atStation(station, running, () => replica.learnList(list)),
      );
    });
  }

  /** Runs an act in a process: now, when it wakes, or never if it has died. */
  #atStation(station: Station, running: Process, act: () => void): void {
    if (station.running !== running) return;
    if (running.frozen) running.waiting.push(act);
    else act();
  }

  // The network: ways that keep their order, as those of TCP do.

  #post(station: Station, to: string, frame: Frame): void {
    const target = this.stations.find((known) => known.address === to);
    const nowMs = this.time.nowMs();
    if (station.running === undefined || target === undefined) return;
    const bytes = pack(frame);
    if (this.dice.next() < this.lossRatio) return;
    const way = `${station.name} ${to}`;
    const slowMs = this.dice.next() < 0.01 ? 60 : 0;
    const atMs = Math.max(this.#arrivals.get(way) ?? 0, nowMs + 0.5 + this.dice.next() * 2 + slowMs);
    this.#arrivals.set(way, atMs);
    this.time.after(atMs - nowMs, () => {
      const running = target.running;
      if (running === undefined || this.isCut(station.name, target.name)) return;
      const read = unpack(bytes, 'system');
      if (read.isErr || running.waiting.length > 5000) return;
      this.#atStation(target, running, () => (running.replica ?? running.follower)?.receive(read.value));
    });
  }

  isCut(from: string, to: string): boolean {
    for (const cut of this.#cuts) if (cut(from, to)) return true;
    return false;
  }

  #disturbedBy(cut: Cut): void {
    const { cores } = this;
    for (const station of this.stations) {
      const met = cores.some(
        (core) => core !== station && (cut(core.name, station.name) || cut(station.name, core.name)),
      );
      if (met) this.disturbed(station);
    }
  }

  // Orders.

  #order(
    station: Station,
    replica: CoreReplica,
    row: WorkerRecord,
    order: StockOrder,
    done: (reply: StockReply) => void,
  ): void {
    const running = station.running;
    if (running?.replica !== replica) return;
    let replied = false;
    const finish = (reply: StockReply, waitMs: number) => {
      this.time.after(waitMs, () =>
        this.#atStation(station, running, () => {
          if (replied) return;
          replied = true;
          done(reply);
          replica.tick();
        }),
      );
    };
    finish('no-answer', ORDER_WAIT_MS);
    this.time.after(0.2 + this.dice.next() * 2, () =>
      this.#atStation(station, running, () => {
        if (replied || replica.group.dutyEpoch() !== order.fence) return finish('no-answer', 0);
        const holder = replica.group.seat.incarnation;
        this.yard.sent(holder, order.fence);
        this.time.after(0.5 + this.dice.next() * 2, () => {
          const stall = this.yard.stallAt(row.address);
          if (stall === undefined || this.isCut(station.name, row.address)) return;
          const reply = stall.order(row.id, holder, order);
          if (reply === undefined || this.isCut(row.address, station.name)) return;
          if (this.dice.next() >= this.lossRatio) finish(reply, 0.5 + this.dice.next() * 2);
        });
      }),
    );
  }

  /** Asks a worker what it holds. */
  #report(
    station: Station,
    row: WorkerRecord,
    done: (models: ReadonlyMap<string, ReadonlySet<string>> | undefined) => void,
  ): void {
    const running = station.running;
    if (running === undefined) return;
    this.time.after(0.5 + this.dice.next() * 4, () => {
      const silent = this.isCut(station.name, row.address) || this.isCut(row.address, station.name);
      const models = silent ? undefined : this.yard.report(row.address, row.id);
      this.time.after(silent ? ORDER_WAIT_MS : 0.5 + this.dice.next() * 4, () =>
        this.#atStation(station, running, () => done(models)),
      );
    });
  }

  #knows(follower: Follower, model: string, adapter: string): boolean {
    for (const worker of follower.workers.values()) {
      const adapters = worker.models.get(model);
      if (worker.leaving || follower.state.evacuated.includes(worker.zone) || adapters === undefined)
        continue;
      if (adapter === '' || adapters.has(adapter)) return true;
    }
    return false;
  }

  /** Whether an edge knows a worker that holds a model, and it does. */
  #finds(edge: Station, model: string, adapter: string): boolean {
    const { follower } = edge.running ?? {};
    if (follower === undefined) return false;
    for (const worker of follower.workers.values()) {
      const stall = this.yard.stallAt(worker.address);
      const believed = worker.models.get(model);
      const there = stall?.id === worker.id ? stall.models.get(model) : undefined;
      if (worker.leaving || believed === undefined || there === undefined) continue;
      if (adapter === '' || (believed.has(adapter) && there.has(adapter))) return true;
    }
    return false;
  }

  #wants(follower: Follower): Want[] {
    return this.needs.map(({ model, adapter, count }) => {
      const known = this.#knows(follower, model, adapter);
      return create(WantSchema, {
        service: SERVICE,
        model,
        adapter,
        waiting: known ? 0 : count,
        inFlight: known ? count : 0,
        perS: count,
      });
    });
  }

  // Operators.

  #try(call: Call, place: number, done: (end: CallEnd) => void): void {
    if (call.end !== undefined) return;
    if (this.time.nowMs() > call.endMs) {
      call.end = { kind: 'given up', atMs: this.time.nowMs() };
      return done(call.end);
    }
    const again = (waitMs: number) => this.time.after(waitMs, () => this.#try(call, place + 1, done));
    const cores = this.cores.filter((core) => !core.removed);
    const core = cores[place % Math.max(1, cores.length)];
    const running = core?.running;
    if (core === undefined || running?.replica === undefined) return again(100);
    const { replica } = running;
    let open = true;
    let id = '';
    this.time.after(ANSWER_WAIT_MS + 100, () => {
      if (!open) return;
      open = false;
      this.#atStation(core, running, () => replica.forgetAnswer(id));
      again(20);
    });
    this.time.after(1 + this.dice.next() * 2, () =>
      this.#atStation(core, running, () => {
        if (!open) return;
        const sent = replica.submit(call.kind, call.payload, (answer) => {
          if (!open) return;
          this.time.after(1, () => {
            if (!open) return;
            open = false;
            call.end = { kind: answer.kind, atMs: this.time.nowMs() };
            this.note(core.name, `${call.kind} ${answer.kind}: ${answer.detail}`);
            done(call.end);
            this.atAnswer?.(answer.kind);
          });
        });
        if (sent.isOk) id = sent.value;
        else {
          open = false;
          again(150);
        }
      }),
    );
  }

  // The oracle.

  /** Running cores that reach, both ways, more than half of the core. */
  #reaching(): Station[] {
    const up = this.cores.filter((core) => core.running?.frozen === false);
    return up.filter(
      (core) =>
        up.filter(
          (other) =>
            other === core || !(this.isCut(core.name, other.name) || this.isCut(other.name, core.name)),
        ).length >
        this.size.cores / 2,
    );
  }

  #probe(): void {
    this.time.after(PROBE_MS, () => this.#probe());
    const nowMs = this.time.nowMs();
    const reaching = this.#reaching();
    const settled = this.settled();
    for (const core of this.cores) this.#neverBack(core);
    for (const edge of this.edges) {
      this.#neverBack(edge);
      const { running } = edge;
      if (running?.follower === undefined || running.frozen) continue;
      const reached =
        reaching.length > 0 &&
        reaching.every((core) => !this.isCut(core.name, edge.name) && !this.isCut(edge.name, core.name));
      if (!reached) running.touchMs = nowMs;
      if (!settled || nowMs - running.touchMs <= BOUNDS.contactMs) continue;
      this.#probeEdge(edge, running.follower, nowMs);
    }
    this.#probeShares(nowMs);
    const holders = this.cores.filter(
      (core) => core.running?.frozen === false && core.running.replica?.group.dutyEpoch() !== undefined,
    );
    if (holders.length > 1)
      this.breach('one holder', `${holders.map((core) => core.name).join(' and ')} both have the duty`);
    for (const call of this.#calls) {
      const sinceMs = Math.max(call.bornMs, this.#troubleMs + BOUNDS.contactMs);
      if (call.end === undefined && settled && nowMs - sinceMs > BOUNDS.ackMs)
        this.breach('late answer', `${call.kind} of ${call.bornMs.toFixed(0)}`);
    }
  }

  /** What all edges share, such as further sends, each divides by no fewer edges than there are. */
  #probeShares(nowMs: number): void {
    const steady = this.edges.filter(
      ({ running }) => running !== undefined && !running.frozen && nowMs - running.touchMs > BOUNDS.contactMs,
    );
    for (const { name, running } of steady) {
      const edges = running?.follower?.edges ?? 0;
      if (edges < steady.length)
        this.breach('share', `${name} divides by ${edges} where ${steady.length} edges are at work`);
    }
  }

  #probeEdge(edge: Station, follower: Follower, nowMs: number): void {
    const lack = this.lacks(follower.state, nowMs - BOUNDS.applyMs);
    if (lack !== undefined) this.breach('applied in time', `${edge.name}: ${lack}`);
    for (const worker of follower.workers.values()) {
      if (
        !worker.leaving &&
        nowMs - Math.max(this.yard.leavingSince(worker.id), this.#troubleMs + BOUNDS.contactMs) >
          BOUNDS.drainMs
      )
        this.breach('drain', `${edge.name} may still send to ${worker.id}`);
    }
  }

  #neverBack(station: Station): void {
    const { running } = station;
    if (running === undefined) return;
    const edition = (running.replica?.state ?? running.follower?.state)?.edition ?? 0;
    if (edition < running.edition)
      this.breach('never back', `${station.name} went from edition ${running.edition} to ${edition}`);
    running.edition = edition;
  }
}
