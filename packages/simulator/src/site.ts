import { create } from '@bufbuild/protobuf';
import {
  PROTOCOL_LEVELS,
  WorkerListSchema,
  type Answer,
  type Entry,
  type Frame,
  type ProtocolLevels,
  type WorkerList,
} from '@rainrun/messages';
import { Acceptor, GROUP_TIMES, readRecords, type GroupState } from '@rainrun/process-group';
import type { GatewayRequestInit } from '@rainrun/gateway';
import { SpecEdge, ClusterNode } from '@rainrun/cluster-node';
import type { Spec, SpecState } from '@rainrun/configuration';
import { SeededRandom, randomId, type Fault } from '@rainrun/common';
import type { PiControllerSettings, SpecOrder, SpecOrderReply, SpecPlacerSettings } from '@rainrun/placement';
import type { Result } from 'true-myth';
import {
  SimWorker,
  type SimulationContext,
  type RequestCost,
  type RequestPlan,
} from './simulation-context.js';
import { SimSender } from './connections.js';
import { Oracle } from './oracle.js';
import { SimClient, type OnRequestEnd } from './visitor.js';
import { SimNetwork, SimDisk, VirtualTime } from './world.js';

const HEARTBEAT_MS = 50;
const ORDER_DELAY_MAX_MS = 3;
const HEARTBEATS_PER_LIST_READ = 10;
const MODEL_SLOTS = 4;
const LOOKUP_SLOTS = 64;
/** Fraction of the clients that disconnect within 400 ms, answered or not. */
const DISCONNECT_RATIO = 0.02;
/** First byte of a note; no other cast payload begins with it. */
const NOTE_PREFIX = Buffer.from([0xff]);

interface RunningProcess {
  readonly clusterNode: ClusterNode;
  readonly address: string;
  readonly skewMs: number;
  frozen: boolean;
  stopped: boolean;
  /** Actions that arrived while the process was frozen; they run when it resumes. */
  deferred: (() => void)[];
  edge: SpecEdge | undefined;
  heartbeats: number;
  wasCoordinator: boolean;
}

/** A machine of the simulated site, with or without a process on it. */
export interface Machine {
  readonly name: string;
  readonly zone: string;
  readonly disk: SimDisk | undefined;
  address: string;
  running: RunningProcess | undefined;
  bootCount: number;
  /** Protocol levels that its program supports from the next boot on. */
  protocolLevels: ProtocolLevels;
}

/** Size of a simulated site. */
export interface SiteSize {
  readonly cores: number;
  readonly edges: number;
  readonly workers: number;
  readonly zones: readonly string[];
  /** Concurrent requests of a model worker. */
  readonly slots?: number;
  /** The pool of the lookup workers. */
  readonly pool?: string;
}

/** Settings that override those of the control loops, for comparisons. */
export interface LoopOverrides {
  readonly weights?: PiControllerSettings;
  readonly placement?: SpecPlacerSettings;
}

/** A client request as recorded in a day's workload. */
export interface SimRequest extends Pick<
  GatewayRequestInit,
  'path' | 'group' | 'kind' | 'model' | 'adapter' | 'prefix' | 'streamed'
> {
  readonly work?: RequestCost;
}

/** A simulated deployment that runs the production code in one thread and in virtual time. */
export class Site {
  readonly time = new VirtualTime();
  readonly oracle = new Oracle();
  readonly machines: Machine[] = [];
  readonly net: SimNetwork;
  readonly timeline: { atMs: number; node: string; text: string }[] = [];
  readonly workers: SimWorker[] = [];
  /**
   * Whether nodes cast notes for the oracle; notes grow with the group and would distort cost
   * measurements.
   */
  notesEnabled = true;
  /** Whether random client requests arrive at the edges. */
  trafficEnabled = false;
  /** Called when an operator has received the answer to an operation. */
  onOperationAnswered: (() => void) | undefined;
  /** Loads and unloads that workers have started. */
  readonly orders: { readonly atMs: number; readonly action: string }[] = [];
  #loopOverrides: LoopOverrides;
  #pool: string;
  #requestPlans = new Map<string, RequestPlan>();
  #context: SimulationContext;
  #random: SeededRandom;
  #workerList: WorkerList;
  #listGeneration = 1;
  #noteSequences = new Map<string, number>();
  #zones: readonly string[];
  /** Machines whose addresses a booting node is given as seeds. */
  seeds: readonly Machine[];
  #founders: string[];

  constructor(seed: number, size: SiteSize, lossRatio: number, loops: LoopOverrides = {}) {
    this.#loopOverrides = loops;
    this.#pool = size.pool ?? 'desks';
    this.#random = new SeededRandom(seed);
    this.net = new SimNetwork(this.time, this.#random, lossRatio);
    this.#context = {
      time: this.time,
      oracle: this.oracle,
      random: this.#random,
      spec: () => this.#newestSpec(),
      isCut: (from, to) => this.net.isCut(from, to),
      orderStarted: (action) => this.orders.push({ atMs: this.time.nowMs(), action }),
      requestPlan: (id) => this.#requestPlans.get(id) ?? { model: '', streamed: false },
    };
    this.#zones = size.zones;
    for (let place = 0; place < size.cores + size.edges; place += 1) {
      const core = place < size.cores;
      const name = core ? `core-${place}` : `edge-${place - size.cores}`;
      const disk = core ? new SimDisk(this.time, this.#random) : undefined;
      const zone = size.zones[place % size.zones.length] ?? '';
      this.machines.push({
        name,
        zone,
        disk,
        address: `${name}:0`,
        running: undefined,
        bootCount: 0,
        protocolLevels: PROTOCOL_LEVELS,
      });
    }
    this.seeds = this.machines.slice(0, 3);
    this.#founders = this.machines.slice(0, size.cores).map((machine) => machine.name);
    for (let place = 0; place < size.workers; place += 1) {
      const zone = size.zones[place % size.zones.length] ?? '';
      this.workers.push(
        new SimWorker(this.#context, `worker-${place}`, zone, 'model', size.slots ?? MODEL_SLOTS),
      );
    }
    for (let place = 0; place < 3; place += 1) {
      const zone = size.zones[place % size.zones.length] ?? '';
      this.workers.push(new SimWorker(this.#context, `lookup-${place}`, zone, 'lookup', LOOKUP_SLOTS));
    }
    this.#workerList = this.#buildWorkerList(new Set());
  }

  get random(): SeededRandom {
    return this.#random;
  }

  get zones(): readonly string[] {
    return this.#zones;
  }

  recordEvent(node: string, text: string): void {
    this.timeline.push({ atMs: this.time.nowMs(), node, text });
  }

  /** Marks exactly these workers as draining in the platform's worker list. */
  markDraining(names: ReadonlySet<string>): void {
    this.#listGeneration += 1;
    this.#workerList = this.#buildWorkerList(names);
  }

  boot(machine: Machine): void {
    if (machine.running !== undefined) return;
    machine.bootCount += 1;
    const opening =
      machine.disk === undefined ? undefined : readRecords(machine.disk.records, randomId(this.#random));
    if (opening?.isErr === true) {
      this.oracle.reportBreach(
        'disk reads back',
        `${machine.name}: ${opening.error.detail}`,
        this.time.nowMs(),
      );
      return;
    }
    const fresh = machine.disk !== undefined && machine.disk.records.disk === undefined;
    const acceptor =
      opening === undefined || machine.disk === undefined
        ? undefined
        : new Acceptor(opening.value, machine.disk, 'park', (failed) => this.#diskFailed(machine, failed));
    const skewMs = this.#random.next() * 1e6;
    const running: RunningProcess = {
      clusterNode: this.#createClusterNode(machine, acceptor, skewMs),
      address: machine.address,
      skewMs,
      frozen: false,
      stopped: false,
      deferred: [],
      edge: undefined,
      heartbeats: 0,
      wasCoordinator: false,
    };
    machine.running = running;
    this.recordEvent(machine.name, 'boots');
    if (machine.disk === undefined) running.edge = this.#createEdge(machine, running);
    this.net.open(machine.address, machine.name, (frame) => this.#receiveFrame(machine, running, frame));
    if (fresh) acceptor?.writeDiskRecord();
    this.time.after(this.#random.next() * HEARTBEAT_MS, () => this.#tick(machine, running));
  }

  kill(machine: Machine): void {
    const running = machine.running;
    if (running === undefined) return;
    running.stopped = true;
    machine.running = undefined;
    machine.disk?.losePower();
    this.net.close(running.address);
    this.recordEvent(machine.name, 'killed');
  }

  freeze(machine: Machine, waitMs: number): void {
    const running = machine.running;
    if (running === undefined || running.frozen) return;
    running.frozen = true;
    this.recordEvent(machine.name, `frozen ${waitMs.toFixed(0)}`);
    this.time.after(waitMs, () => this.#unfreeze(machine, running));
  }

  /** Submits an operation at a node and reports the answer to the oracle; returns its id, '' if not sent. */
  submit(
    machine: Machine,
    kind: string,
    payload: unknown,
    told: (answer: Answer) => void = () => undefined,
  ): string {
    const id = randomId(this.#random);
    const sent = machine.running?.clusterNode.submit(id, kind, JSON.stringify(payload), (answer: Answer) => {
      this.oracle.operationAnswered(id, answer.kind, answer.number, this.time.nowMs());
      this.recordEvent(machine.name, `${kind} ${answer.kind}@${answer.number}`);
      told(answer);
      this.onOperationAnswered?.();
      const zone = (payload as { zone?: string }).zone;
      if (kind === 'zone.empty' && answer.kind === 'agreed' && zone !== undefined)
        this.oracle.zoneEvacuated(zone, answer.number, this.time.nowMs());
    });
    return sent?.isOk === true ? id : '';
  }

  /** Number of voters that are members of the view, according to the newest version held by any node. */
  votersInView(): number {
    const helds = this.machines.flatMap((machine) => machine.running?.clusterNode.group.state ?? []);
    const held = helds.sort((one, other) => other.number - one.number)[0];
    return (held?.voters ?? []).filter((voter) =>
      held?.view.members.some((member) => member.disk === voter.disk),
    ).length;
  }

  /** Returns why the site has not converged, or undefined if all machines run in one view and may admit. */
  notConvergedReason(): string | undefined {
    const views = new Set<number>();
    for (const machine of this.machines) {
      const group = machine.running?.clusterNode.group;
      if (group === undefined) return `${machine.name} does not run`;
      if (group.view === undefined) return `${machine.name} is in no view`;
      if (!group.holdsLease()) return `${machine.name} may not admit`;
      views.add(group.view.number);
      if (group.view.members.length !== this.machines.length)
        return `${machine.name} sees ${group.view.members.length} members`;
    }
    return views.size === 1 ? undefined : 'views differ';
  }

  #createClusterNode(machine: Machine, acceptor: Acceptor | undefined, skewMs: number): ClusterNode {
    const { name, address, zone } = machine;
    const clusterNode: ClusterNode = new ClusterNode({
      name,
      address,
      zone,
      deployment: 'park',
      seeds: this.seeds.map((seed) => seed.address),
      founders: machine.disk === undefined ? [] : this.#founders,
      clock: { nowMs: () => this.time.nowMs() + skewMs },
      chance: this.#random,
      times: GROUP_TIMES,
      acceptor,
      send: (to, frame) => {
        if (machine.running?.clusterNode === clusterNode) this.net.send(name, to, frame);
      },
      order: (to, order, done) => this.#sendOrder(machine, clusterNode, to, order, done),
      onStateChange: (held, entry) => this.#stateChanged(machine, clusterNode, held, entry),
      protocolLevels: machine.protocolLevels,
      ...(this.#loopOverrides.placement === undefined ? {} : { placing: this.#loopOverrides.placement }),
      answerQuery: (kind, text) => ({ status: 200, body: { kind, text, by: name } }),
      onJoinRejected: (why) => this.recordEvent(name, `refused: ${why}`),
      onNewIncarnation: () => this.recordEvent(name, 'dropped, rejoins'),
      onCast: (sender, payload) => this.#receiveNote(clusterNode, sender, payload),
    });
    return clusterNode;
  }

  #stateChanged(
    machine: Machine,
    clusterNode: ClusterNode,
    held: GroupState<SpecState>,
    entry: Entry | undefined,
  ): void {
    const { incarnation } = clusterNode.group.self;
    this.oracle.versionDelivered(incarnation, held, entry === undefined, this.time.nowMs());
    this.oracle.viewEntered(incarnation, held.view.number);
    if (entry === undefined || entry.view !== undefined) {
      this.recordEvent(
        machine.name,
        `view ${held.view.number} of ${held.view.members.length} @${held.number}`,
      );
    } else if (entry.voters.length > 0) this.recordEvent(machine.name, `voters @${held.number}`);
  }

  #receiveFrame(machine: Machine, running: RunningProcess, frame: Frame): void {
    if (machine.running !== running) return;
    if (running.deferred.length < 5000)
      this.#runAtNode(machine, running, () => running.clusterNode.receive(frame));
  }

  #unfreeze(machine: Machine, running: RunningProcess): void {
    if (machine.running !== running) return;
    running.frozen = false;
    this.recordEvent(machine.name, 'wakes');
    const { deferred: waiting } = running;
    running.deferred = [];
    this.#checkInvariants(machine, running);
    for (const act of waiting) this.#runAtNode(machine, running, act);
  }

  #tick(machine: Machine, running: RunningProcess): void {
    if (machine.running !== running) return;
    this.time.after(HEARTBEAT_MS * (0.9 + this.#random.next() * 0.2), () => this.#tick(machine, running));
    if (running.frozen) return;
    running.clusterNode.tick();
    const { isCoordinator: leading, epoch } = running.clusterNode.group;
    if (leading !== running.wasCoordinator)
      this.recordEvent(machine.name, leading ? `leads epoch ${epoch}` : 'resigns');
    running.wasCoordinator = leading;
    this.#checkInvariants(machine, running);
    running.heartbeats += 1;
    if (running.heartbeats % HEARTBEATS_PER_LIST_READ === 0) this.#readWorkerList(running);
    if (this.notesEnabled && this.#random.next() < 0.1) this.#castNote(running);
    if (running.edge === undefined) return;
    running.edge.gateway.tick();
    if (running.heartbeats % HEARTBEATS_PER_LIST_READ === 0) running.edge.castMeasures();
    if (!this.trafficEnabled || this.#random.next() >= 0.4) return;
    const lookup = this.#random.next() < 0.4;
    this.sendRandomRequest(
      running.edge,
      lookup,
      lookup ? '' : `model-${Math.floor(8 * this.#random.next() ** 2)}`,
    );
  }

  #readWorkerList(running: RunningProcess): void {
    running.clusterNode.publishWorkerList(this.#workerList);
    const leaving = this.#workerList.workers.filter((worker) => worker.draining).map((worker) => worker.name);
    this.oracle.workersDraining(new Set(leaving), this.time.nowMs());
  }

  /** Casts a note for the oracle; its prefix keeps nodes from decoding it as an observation. */
  #castNote(running: RunningProcess): void {
    const { group } = running.clusterNode;
    if (group.view === undefined || group.isViewChanging) return;
    const { incarnation } = group.self;
    const view = group.view.number;
    const sequence = (this.#noteSequences.get(`${incarnation}@${view}`) ?? 0) + 1;
    this.#noteSequences.set(`${incarnation}@${view}`, sequence);
    const note = JSON.stringify({ view, sequence, context: this.oracle.deliveredCounts(incarnation) });
    group.cast(Buffer.concat([NOTE_PREFIX, Buffer.from(note)]));
  }

  #receiveNote(clusterNode: ClusterNode, sender: string, payload: Uint8Array): void {
    if (payload[0] !== NOTE_PREFIX[0]) return;
    const note = JSON.parse(Buffer.from(payload.subarray(1)).toString()) as {
      view: number;
      sequence: number;
      context: Record<string, number>;
    };
    this.oracle.castDelivered(
      clusterNode.group.self.incarnation,
      note.view,
      sender,
      note.sequence,
      note.context,
      this.time.nowMs(),
    );
  }

  #createEdge(machine: Machine, running: RunningProcess): SpecEdge {
    const clock = { nowMs: () => this.time.nowMs() + running.skewMs };
    const sender = new SimSender(
      this.#context,
      machine.name,
      this.workers,
      (act) => this.#runAtNode(machine, running, act),
      () => machine.running === running,
    );
    return new SpecEdge(
      running.clusterNode,
      machine.name,
      machine.zone,
      clock,
      this.#random,
      sender,
      this.#loopOverrides.weights,
    );
  }

  /** Sends a client request to an edge: a lookup, or a chat completion that is streamed or not. */
  sendRandomRequest(edge: SpecEdge, lookup: boolean, model: string): void {
    const streamed = !lookup && this.#random.next() < 0.6;
    const path = lookup ? '/lookup/1' : '/v1/chat/completions';
    const prefix = Math.floor(this.#random.next() * 8);
    const leave = this.sendRequest(edge, {
      path,
      group: 'technicians',
      kind: 'question',
      model,
      adapter: '',
      prefix,
      streamed,
    });
    if (this.#random.next() < DISCONNECT_RATIO) this.time.after(this.#random.next() * 400, leave);
  }

  /** Sends a client request to an edge; the returned function disconnects the client. */
  sendRequest(edge: SpecEdge, call: SimRequest, ended?: OnRequestEnd): () => void {
    const id = randomId(this.#random);
    const { path, group, kind, model, adapter, prefix, streamed, work } = call;
    const lookup = model === '';
    this.#requestPlans.set(id, { model, streamed, ...(work === undefined ? {} : { cost: work }) });
    this.oracle.requestSent(id, lookup);
    const ask = {
      id,
      path,
      group,
      kind,
      model,
      adapter,
      prefix,
      streamed,
      body: undefined,
      deadlineMs: undefined,
    };
    return edge.gateway.admit(
      { ...ask, method: lookup ? 'GET' : 'POST' },
      new SimClient(this.oracle, id, () => this.time.nowMs(), ended),
    );
  }

  #checkInvariants(machine: Machine, running: RunningProcess): void {
    const { group } = running.clusterNode;
    if (group.holdsLease())
      this.oracle.checkAdmission(
        `${machine.name}/${group.self.incarnation}`,
        group.state?.number ?? 0,
        this.time.nowMs(),
      );
    const holders = this.machines.filter(
      (other) =>
        other.running !== undefined &&
        !other.running.frozen &&
        other.running.clusterNode.group.singletonEpoch() !== undefined,
    );
    this.oracle.checkSingletonLease(
      holders.map((other) => other.name),
      this.time.nowMs(),
    );
  }

  #diskFailed(machine: Machine, failed: Fault): void {
    this.recordEvent(machine.name, `disk: ${failed.detail}`);
    this.kill(machine);
  }

  #newestSpec(): Spec | undefined {
    const records = this.machines.flatMap((machine) => machine.running?.clusterNode.state.spec ?? []);
    return records.sort((one, other) => other.version - one.version)[0]?.spec;
  }

  #buildWorkerList(leaving: ReadonlySet<string>): WorkerList {
    return create(WorkerListSchema, {
      generation: this.#listGeneration,
      workers: this.workers.map((worker) => ({
        $typeName: 'rainrun.v1.WorkerEntry' as const,
        name: worker.name,
        address: worker.name,
        zone: worker.zone,
        kind: worker.kind,
        pool: worker.kind === 'lookup' ? this.#pool : 'models',
        draining: leaving.has(worker.name),
      })),
    });
  }

  #sendOrder(
    machine: Machine,
    clusterNode: ClusterNode,
    to: string,
    order: SpecOrder,
    done: (reply: Result<SpecOrderReply, Fault>) => void,
  ): void {
    const worker = this.workers.find((known) => known.name === to);
    const running = machine.running;
    if (worker === undefined || running?.clusterNode !== clusterNode) return;
    this.time.after(this.#random.next() * ORDER_DELAY_MAX_MS, () =>
      worker.receiveOrder(machine.name, order, (reply) =>
        this.#runAtNode(machine, running, () => done(reply)),
      ),
    );
  }

  /** Runs an action in a process: at once, after it resumes if it is frozen, or never if it was killed. */
  #runAtNode(machine: Machine, running: RunningProcess, act: () => void): void {
    if (machine.running !== running) return;
    if (running.frozen) running.deferred.push(act);
    else act();
  }
}
