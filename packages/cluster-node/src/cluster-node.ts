import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  GossipTable,
  ObservationSchema,
  OperationSchema,
  ForwardedQuerySchema,
  ForwardedReplySchema,
  WorkerListSchema,
  WorkerStateSchema,
  type Answer,
  type Entry,
  type Frame,
  type GossipItem,
  type Observation,
  type ForwardedQuery,
  type ForwardedReply,
  type Member,
  type WorkerList,
} from '@rainrun/messages';
import {
  Group,
  type GroupDependencies,
  type GroupState,
  type Outcome,
  type StateMachine,
} from '@rainrun/process-group';
import {
  applyToSpecState,
  decodeSpecState,
  EMPTY_SPEC_STATE,
  encodeSpecState,
  specStateWithoutExtension,
  type SpecState,
} from '@rainrun/configuration';
import { fault, randomId, type Fault } from '@rainrun/common';
import {
  SpecOrderSender,
  SpecPlacer,
  SPEC_PLACER_SETTINGS,
  type SpecWorkerState,
  type SpecModelDemand,
  type SpecOrder,
  type SpecOrderReply,
  type SpecPlacerSettings,
} from '@rainrun/placement';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { DemandTable, type GroupStatus } from './demand-table.js';
import { WorkerDirectory, type DirectoryWorker } from './worker-directory.js';

const SPEC_STATE_MACHINE: StateMachine<SpecState> = {
  empty: () => EMPTY_SPEC_STATE,
  encode: encodeSpecState,
  decode: decodeSpecState,
  withoutExtension: specStateWithoutExtension,
  apply(state, operation, level): { state: SpecState; outcome: Outcome } {
    const { id, kind } = operation;
    return applyToSpecState(state, { id, kind, payload: new TextDecoder().decode(operation.payload) }, level);
  },
};

const NEWS_TICK_MS = 200;
const PLACE_TICK_MS = 1000;
/** How long a new holder of the duty waits to hear what every worker holds. */
const HEARING_MS = 4000;
/** So long a question waits for its answer, and so often it is sent again. */
const ASK_MS = 1500;
const ASK_AGAIN_MS = 300;
/** Another copy comes after the first ones of everything, asked for or not. */
const ANOTHER = 1e6;
const NEWS_LIST = 'list';
const NEWS_WORKER = 'worker/';

/** What a node of the system is given by its program, or by the simulator. */
export interface ClusterNodeDependencies extends Omit<
  GroupDependencies<SpecState>,
  'stateMachine' | 'listener'
> {
  /** Sends one order to a worker. */
  order(address: string, order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void;
  /** Called when a version has come into force here. */
  onStateChange(held: GroupState<SpecState>, entry: Entry | undefined): void;
  /** Called for each cast delivered here. */
  onCast(sender: string, payload: Uint8Array): void;
  /** Called at each change of standing, for the logs. */
  onNewIncarnation(incarnation: string): void;
  /** Called when the group says that this node cannot join it. */
  onJoinRejected(why: string): void;
  /** Set points of placement, where they are not the usual ones. */
  readonly placing?: SpecPlacerSettings;
  /** Answers a question that an operator asked at another node. */
  answerQuery(kind: string, text: string): QueryResult;
}

/** A node's answer to a question from another: an HTTP status and a JSON value. */
export interface QueryResult {
  readonly status: number;
  readonly body: unknown;
}

interface PendingQuery {
  readonly to: string;
  readonly question: ForwardedQuery;
  readonly endMs: number;
  sentMs: number;
  readonly done: (told: QueryResult | undefined) => void;
}

/**
 * One node: its place in the group, the agreed stage, news, and, where it
 * holds the duty, placement and orders. No socket, timer or file of its own.
 * @example
 * const clusterNode = new ClusterNode(dependencies);
 * clusterNode.tick(); // every 50 ms
 * clusterNode.receive(frame);
 */
export class ClusterNode {
  #dependencies: ClusterNodeDependencies;
  #group: Group<SpecState>;
  #news: GossipTable;
  #roster = new WorkerDirectory();
  #demand = new DemandTable();
  #placer: SpecPlacer;
  #orderer: SpecOrderSender;
  #waiting = new Map<string, (answer: Answer) => void>();
  #newsHeartbeatMs = -Infinity;
  #placeHeartbeatMs = -Infinity;
  #placing: string | undefined;
  #dutySince: { epoch: number; atMs: number } | undefined;
  #tellings = 0;
  #asked = new Map<string, PendingQuery>();
  #counter = 0;

  constructor(dependencies: ClusterNodeDependencies) {
    this.#dependencies = dependencies;
    this.#placer = new SpecPlacer(dependencies.placing ?? SPEC_PLACER_SETTINGS);
    this.#news = new GossipTable(dependencies.chance, (item) => this.#hear(item));
    this.#orderer = new SpecOrderSender({
      singletonEpoch: () => this.#group.singletonEpoch(),
      order: (order, done) => this.#order(order, done),
      onWorkerState: (worker, known) => this.#learned(worker, known),
    });
    this.#group = new Group<SpecState>({
      ...dependencies,
      stateMachine: SPEC_STATE_MACHINE,
      listener: {
        onVersion: (held, entry) => this.#onVersion(held, entry),
        onCast: (sender, payload) => this.#onCast(sender, payload),
        onAnswer: (answer) => this.#onAnswer(answer),
        onNewIncarnation: (incarnation) => dependencies.onNewIncarnation(incarnation),
        onJoinRejected: (why) => dependencies.onJoinRejected(why),
        onFrame: (from, body) => this.#onFrame(from, body),
      },
      send: (address, frame) => dependencies.send(address, frame),
    });
  }

  get group(): Group<SpecState> {
    return this.#group;
  }

  get state(): SpecState {
    return this.#group.state?.application ?? EMPTY_SPEC_STATE;
  }

  get groups(): GroupStatus[] {
    return this.#demand.groups();
  }

  /** Names of the edges in the view. */
  get edges(): string[] {
    return (this.#group.view?.members ?? [])
      .filter((member) => member.disk === '')
      .map((member) => member.name);
  }

  workers(): DirectoryWorker[] {
    return this.#roster.workers(this.state, this.#group.self.incarnation, this.#now());
  }

  /** Why a model stands where it does, if this node decided it. */
  reason(model: string): string | undefined {
    return this.#placer.reason(model);
  }

  /** Takes the platform's list; an older generation than the known one is left aside. */
  learnList(list: WorkerList): void {
    this.#news.publish(NEWS_LIST, list.generation, 0, toBinary(WorkerListSchema, list));
  }

  /** Casts what this edge saw. */
  observe(observation: Observation): void {
    this.#group.cast(toBinary(ObservationSchema, observation));
  }

  /**
   * Submits an operation. `done` is called once with the agreed answer; a
   * caller that cannot wait asks later by the id.
   */
  submit(id: string, kind: string, payload: string, done: (answer: Answer) => void): Result<string, Fault> {
    const operation = create(OperationSchema, {
      id,
      kind,
      payload: new TextEncoder().encode(payload),
      transient: kind === 'place',
    });
    this.#waiting.set(id, done);
    if (this.#group.submit(operation)) return Result.ok(id);
    this.#waiting.delete(id);
    return Result.err(fault('unreached', 'no coordinator can be reached; nothing was sent'));
  }

  /**
   * Asks another member. `done` is called once: with its answer, or with
   * nothing when none came in time.
   */
  query(to: string, kind: string, text: string, done: (told: QueryResult | undefined) => void): void {
    const question = create(ForwardedQuerySchema, { id: randomId(this.#dependencies.chance), kind, text });
    this.#asked.set(question.id, { to, question, endMs: this.#now() + ASK_MS, sentMs: -Infinity, done });
    this.#askAgain();
  }

  #askAgain(): void {
    const nowMs = this.#now();
    for (const [id, asked] of this.#asked) {
      if (nowMs > asked.endMs) {
        this.#asked.delete(id);
        asked.done(undefined);
      } else if (nowMs - asked.sentMs >= ASK_AGAIN_MS) {
        asked.sentMs = nowMs;
        this.#group.sendTo(asked.to, { case: 'forwardedQuery', value: asked.question });
      }
    }
  }

  #answer(from: string, question: ForwardedQuery): void {
    const { status, body } = this.#dependencies.answerQuery(question.kind, question.text);
    const value = create(ForwardedReplySchema, { id: question.id, status, body: JSON.stringify(body) });
    this.#group.sendTo(from, { case: 'forwardedReply', value });
  }

  #told(reply: ForwardedReply): void {
    const asked = this.#asked.get(reply.id);
    this.#asked.delete(reply.id);
    const body = tryOrElse(
      () => undefined,
      () => JSON.parse(reply.body) as unknown,
    );
    asked?.done(body.isOk ? { status: reply.status, body: body.value } : undefined);
  }

  receive(frame: Frame): void {
    this.#group.receive(frame);
  }

  tick(): void {
    const nowMs = this.#now();
    this.#group.tick();
    if (nowMs - this.#newsHeartbeatMs >= NEWS_TICK_MS) {
      this.#newsHeartbeatMs = nowMs;
      const self = this.#group.self.incarnation;
      const incarnations = (this.#group.view?.members ?? [])
        .map((member) => member.incarnation)
        .filter((incarnation) => incarnation !== self);
      for (const { to, body } of this.#news.tick(incarnations)) this.#group.sendTo(to, body);
    }
    this.#askAgain();
    this.#place(nowMs);
  }

  #now(): number {
    return this.#dependencies.clock.nowMs();
  }

  #place(nowMs: number): void {
    const epoch = this.#group.singletonEpoch();
    const spec = this.state.spec?.spec;
    if (epoch === undefined || spec === undefined) return;
    const workers = this.workers().filter((worker) => worker.kind === 'model');
    const staying = workers.filter((worker) => !worker.draining);
    const demands = this.#demand.models(nowMs);
    const held = this.#heldParts(staying);
    this.#orderer.tick(spec, this.state.placement, staying, nowMs, (model, adapter) =>
      urgencyOf(demands, held, model, adapter),
    );
    if (this.#dutySince?.epoch !== epoch) this.#dutySince = { epoch, atMs: nowMs };
    const heardAll = staying.every((worker) => this.#orderer.workerState(worker.name) !== undefined);
    if (!heardAll && nowMs - this.#dutySince.atMs < HEARING_MS) return;
    if (nowMs - this.#placeHeartbeatMs < PLACE_TICK_MS || this.#placing !== undefined) return;
    this.#placeHeartbeatMs = nowMs;
    const seen = workers.map((worker) => ({
      ...worker,
      usable:
        !worker.draining && !worker.evacuated && (this.#orderer.workerState(worker.name)?.reachable ?? false),
      holdings: this.state.placement[worker.name] ?? [],
    }));
    const changes: Record<string, unknown> = this.#placer.step(spec, seen, demands, nowMs);
    const listed = new Set(workers.map((worker) => worker.name));
    for (const name of Object.keys(this.state.placement)) if (!listed.has(name)) changes[name] = [];
    if (Object.keys(changes).length === 0) return;
    this.#counter += 1;
    const id = `place-${epoch}-${this.#group.self.incarnation}-${this.#counter}`;
    this.#placing = id;
    const sent = this.submit(id, 'place', JSON.stringify({ epoch, workers: changes }), () => {
      this.#placing = undefined;
    });
    if (sent.isErr) this.#placing = undefined;
  }

  /** Models and adapters that some reachable worker holds, as it said itself. */
  #heldParts(workers: readonly DirectoryWorker[]): ReadonlySet<string> {
    const parts = new Set<string>();
    for (const { name } of workers) {
      const known = this.#orderer.workerState(name);
      if (known?.reachable !== true) continue;
      for (const { model, adapters } of known.holdings) {
        parts.add(`${model}/`);
        for (const adapter of adapters) parts.add(`${model}/${adapter}`);
      }
    }
    return parts;
  }

  #order(order: SpecOrder, done: (reply: Result<SpecOrderReply, Fault>) => void): void {
    const entry = this.workers().find((worker) => worker.name === order.worker);
    if (entry === undefined) return done(Result.err(fault('not-found', `worker ${order.worker}`)));
    this.#dependencies.order(entry.address, order, done);
  }

  #learned(worker: string, known: SpecWorkerState): void {
    this.#tellings += 1;
    const state = create(WorkerStateSchema, {
      worker,
      reachable: known.reachable,
      holdings: known.holdings.map(({ model, adapters }) => ({
        $typeName: 'rainrun.v1.LoadedModel' as const,
        model,
        adapters: [...adapters],
        loadNumber: known.loads.get(model) ?? 0,
      })),
    });
    const epoch = this.#group.epoch;
    const item = this.#news.get(NEWS_WORKER + worker);
    const bytes = toBinary(WorkerStateSchema, state);
    if (item !== undefined && item.major === epoch && Buffer.compare(item.value, bytes) === 0) return;
    this.#news.publish(NEWS_WORKER + worker, epoch, this.#tellings, bytes);
  }

  #hear(item: GossipItem): void {
    const nowMs = this.#now();
    if (item.key === NEWS_LIST) {
      const list = tryOrElse(
        () => undefined,
        () => fromBinary(WorkerListSchema, item.value),
      );
      if (list.isOk) this.#roster.takeList(list.value);
    } else if (item.key.startsWith(NEWS_WORKER)) {
      const state = tryOrElse(
        () => undefined,
        () => fromBinary(WorkerStateSchema, item.value),
      );
      if (state.isOk) this.#roster.takeState(state.value, nowMs);
    }
  }

  #onVersion(held: GroupState<SpecState>, entry: Entry | undefined): void {
    const incarnations = new Set(held.view.members.map((member) => member.incarnation));
    this.#roster.keepOnly(incarnations);
    this.#demand.keepOnly(incarnations);
    this.#dependencies.onStateChange(held, entry);
  }

  #onCast(sender: Member, payload: Uint8Array): void {
    this.#dependencies.onCast(sender.incarnation, payload);
    const read = tryOrElse(
      () => undefined,
      () => fromBinary(ObservationSchema, payload),
    );
    if (read.isErr) return;
    this.#roster.takeObservation(sender.incarnation, read.value, this.#now());
    this.#demand.take(sender.incarnation, read.value, this.#now());
  }

  #onAnswer(answer: Answer): void {
    const done = this.#waiting.get(answer.id);
    this.#waiting.delete(answer.id);
    done?.(answer);
  }

  #onFrame(from: string, body: Frame['body']): void {
    if (body.case === 'forwardedQuery') this.#answer(from, body.value);
    else if (body.case === 'forwardedReply') this.#told(body.value);
    else if (body.case === 'gossipUpdate') this.#news.onUpdate(body.value);
    else if (body.case === 'gossipDigest') {
      const mend = this.#news.onDigest(body.value);
      if (mend !== undefined) this.#group.sendTo(from, { case: 'gossipRepair', value: mend });
    } else if (body.case === 'gossipRepair') {
      const mend = this.#news.onRepair(body.value);
      if (mend !== undefined) this.#group.sendTo(from, { case: 'gossipRepair', value: mend });
    }
  }
}

/** How urgent a load is; another copy is loaded after every first one. */
function urgencyOf(
  demands: ReadonlyMap<string, SpecModelDemand>,
  held: ReadonlySet<string>,
  model: string,
  adapter: string,
): number {
  const demand = demands.get(model);
  if (demand === undefined) return 0;
  const asked = adapter === '' ? demand.arrivalsPerS + demand.backlog : (demand.adapters.get(adapter) ?? 0);
  return held.has(`${model}/${adapter}`) ? asked - ANOTHER : asked;
}
