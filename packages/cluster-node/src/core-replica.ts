import { create } from '@bufbuild/protobuf';
import {
  FrameSchema,
  OperationSchema,
  StateUpdateSchema,
  WIRE_VERSION,
  WorkerRowSchema,
  type Answer,
  type Entry,
  type Subscribe,
  type Frame,
  type StateUpdate,
  type WorkerRow,
} from '@rainrun/messages';
import {
  Group,
  type GroupDependencies,
  type GroupState,
  type Outcome,
  type StateMachine,
} from '@rainrun/process-group';
import {
  applyToDeployment,
  checkConfiguration,
  decodeDeployment,
  EMPTY_DEPLOYMENT,
  encodeDeployment,
  type Configuration,
  type Deployment,
} from '@rainrun/configuration';
import { fault, randomId, type Fault } from '@rainrun/common';
import {
  PlacementPlanner,
  WorkerTable,
  type WorkerRecord,
  type ListedWorker,
  type ReportReply,
  type Engine,
  type WorkerOrder,
  type WorkerOrderReply,
} from '@rainrun/placement';
import { Result } from 'true-myth';
import { PlanPacer } from './plan-pacer.js';
import { encodeStateUpdate, type EncodedDeployment } from './state-update.js';
import { Subscribers, type Offer, type Subscriber } from './subscribers.js';
import { WorkerHealth } from './worker-health.js';

const DEPLOYMENT_STATE_MACHINE: StateMachine<Deployment> = {
  empty: () => EMPTY_DEPLOYMENT,
  encode: (state) => ({ application: encodeDeployment(state), applicationExtension: new Uint8Array() }),
  decode: (encoded) => decodeDeployment(encoded.application),
  withoutExtension: (state) => state,
  apply(state, operation): { state: Deployment; outcome: Outcome } {
    return applyToDeployment(state, {
      kind: operation.kind,
      payload: new TextDecoder().decode(operation.payload),
    });
  },
};

/** What a core is given by its program, or by the simulator. */
export interface CoreReplicaDependencies extends Omit<
  GroupDependencies<Deployment>,
  'stateMachine' | 'listener'
> {
  /** Sends one order to a worker. */
  order(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void;
  /** Asks a worker what it holds. */
  report(row: WorkerRecord, done: (reply: ReportReply) => void): void;
  /** Called when another edition came into force here. */
  onStateChange(state: Deployment): void;
  onNewIncarnation(incarnation: string): void;
  onJoinRejected(why: string): void;
  /** Called for each decision on placement, for the logs. */
  onPlacementDecision(text: string): void;
}

/**
 * A core: a member of the process group that holds the deployment's state and
 * the placement, and tells the nodes that follow it. The coordinator keeps the
 * table of workers and orders them. No socket, timer or file of its own.
 * @example
 * const replica = new CoreReplica(dependencies);
 * replica.tick(); // every 20 ms
 */
export class CoreReplica {
  #dependencies: CoreReplicaDependencies;
  #group: Group<Deployment>;
  #book = new WorkerTable();
  #planner: PlacementPlanner;
  #health = new WorkerHealth();
  #table = '';
  #tableEpoch = -1;
  #subscribers = new Subscribers();
  #pacer = new PlanPacer();
  #waiting = new Map<string, (answer: Answer) => void>();
  #read: { readonly state: Deployment; readonly engines: ReadonlyMap<string, Engine> } | undefined;
  #told: { readonly state: Deployment; readonly bytes: EncodedDeployment } | undefined;

  constructor(dependencies: CoreReplicaDependencies) {
    this.#dependencies = dependencies;
    this.#planner = this.#newPlanner();
    this.#group = new Group<Deployment>({
      ...dependencies,
      stateMachine: DEPLOYMENT_STATE_MACHINE,
      listener: {
        onVersion: (held, entry) => this.#onVersion(held, entry),
        onCast: () => undefined,
        onAnswer: (answer) => this.#onAnswer(answer),
        onNewIncarnation: (incarnation) => dependencies.onNewIncarnation(incarnation),
        onJoinRejected: (why) => dependencies.onJoinRejected(why),
        onFrame: (_from, body) => this.#onFrame(body),
      },
      send: (address, frame) => dependencies.send(address, frame),
    });
  }

  get group(): Group<Deployment> {
    return this.#group;
  }

  get state(): Deployment {
    return this.#group.state?.application ?? EMPTY_DEPLOYMENT;
  }

  get workerTable(): WorkerTable {
    return this.#book;
  }

  get planner(): PlacementPlanner {
    return this.#planner;
  }

  get subscriberCount(): number {
    return this.#subscribers.size;
  }

  receive(frame: Frame): void {
    this.#group.receive(frame);
  }

  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#group.tick();
    this.#subscribers.expire(nowMs);
    this.#openTable();
    if (this.#group.isCoordinator) {
      this.#health.judge(this.#book, nowMs);
      this.#placeModels(nowMs);
    }
    this.#tellChanges(nowMs);
  }

  /** Takes the platform's whole list. */
  learnList(list: readonly ListedWorker[]): void {
    if (!this.#group.isCoordinator) return;
    this.#openTable();
    const nowMs = this.#dependencies.clock.nowMs();
    this.#book.learn(list, nowMs);
    this.#placeModels(nowMs);
    this.#tellChanges(nowMs);
  }

  /** Submits an operation; `done` is called once, with the agreed answer. */
  submit(kind: string, payload: unknown, done: (answer: Answer) => void): Result<string, Fault> {
    const id = randomId(this.#dependencies.chance);
    const operation = create(OperationSchema, {
      id,
      kind,
      payload: new TextEncoder().encode(JSON.stringify(payload)),
      transient: true,
    });
    this.#waiting.set(id, done);
    if (this.#group.submit(operation)) return Result.ok(id);
    this.#waiting.delete(id);
    return Result.err(fault('unreached', 'no coordinator can be reached; nothing was sent'));
  }

  /** The caller waits for this answer no longer, and may have asked another node. */
  abandon(id: string): void {
    this.#waiting.delete(id);
    this.#group.withdraw(id);
  }

  #newPlanner(): PlacementPlanner {
    const dependencies = this.#dependencies;
    return new PlacementPlanner(this.#book, {
      fence: () => this.#group.singletonEpoch(),
      order: (row, order, done) => dependencies.order(row, order, done),
      report: (row, done) => dependencies.report(row, done),
      nowMs: () => dependencies.clock.nowMs(),
      onDecision: (text) => dependencies.onPlacementDecision(text),
    });
  }

  /** A coordinator's table begins anew with each epoch. */
  #openTable(): void {
    const epoch = this.#group.isCoordinator ? this.#group.epoch : -1;
    if (epoch === this.#tableEpoch) return;
    this.#tableEpoch = epoch;
    this.#table = epoch < 0 ? '' : `${epoch}-${this.#group.self.incarnation}`;
    this.#book = new WorkerTable();
    this.#planner = this.#newPlanner();
    this.#health = new WorkerHealth();
  }

  #engines(): ReadonlyMap<string, Engine> {
    const { state } = this;
    if (this.#read?.state !== state) {
      const checked = state.document === undefined ? undefined : checkConfiguration(state.document);
      const configuration = checked?.isOk === true ? checked.value : undefined;
      this.#read = { state, engines: enginesOf(configuration) };
    }
    return this.#read.engines;
  }

  /** Plans where the pacer allows it, and sends the orders that are due. */
  #placeModels(nowMs: number): void {
    const engines = this.#engines();
    if (this.#pacer.isDue(nowMs)) {
      this.#planner.plan(engines, this.state.evacuated, nowMs);
      this.#pacer.planned(nowMs, this.#dependencies.clock.nowMs());
    }
    this.#planner.sendDueOrders(engines, nowMs);
  }

  #onFrame(body: Frame['body']): void {
    if (body.case === 'subscribe') this.#onFollow(body.value);
  }

  #onFollow(follow: Subscribe): void {
    const { subscriber: seat, demands: wants, leaving, incremental: partial, outcomes } = follow;
    if (seat === undefined) return;
    if (leaving) return this.#subscribers.remove(seat.incarnation);
    const nowMs = this.#dependencies.clock.nowMs();
    const subscriber = this.#subscribers.heard(follow, seat, nowMs);
    if (this.#group.isCoordinator) {
      this.#planner.updateDemand(seat.incarnation, wants, nowMs, partial);
      this.#health.note(seat.zone, outcomes, nowMs);
      if (wants.some(({ waiting }) => waiting > 0)) this.#placeModels(nowMs);
    }
    if (this.#subscribers.isAnswerDue(subscriber, this.#offer(), nowMs)) this.#tell(subscriber, nowMs);
    this.#tellChanges(nowMs);
  }

  /** What this core can tell those who follow it; only the coordinator has a table of workers. */
  #offer(): Offer {
    const { isCoordinator: leading } = this.#group;
    const table = leading && this.#book.number > 0 ? this.#table : '';
    return { edition: this.state.edition, table, row: this.#book.number, leading };
  }

  #tellChanges(nowMs: number): void {
    const due = this.#subscribers.due(this.#offer(), this.#book.takeChanges(), nowMs);
    for (const subscriber of due) this.#tell(subscriber, nowMs);
  }

  /** What is told is taken for known until the follower says otherwise, so that it is told once. */
  #tell(subscriber: Subscriber, nowMs: number): void {
    const offer = this.#offer();
    const tell = create(StateUpdateSchema, {
      edition: this.state.edition,
      hasLease: this.#group.holdsLease(),
      edgeCount: this.#subscribers.size,
    });
    this.#addView(tell, subscriber, nowMs);
    if (this.#subscribers.isStateDue(subscriber, offer, nowMs)) {
      this.#addState(tell, subscriber);
      this.#subscribers.sentState(subscriber, offer, nowMs);
    }
    if (offer.table !== '') this.#addRows(tell, subscriber, offer, nowMs);
    subscriber.toldMs = nowMs;
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: this.#dependencies.deployment,
      from: this.#group.self.incarnation,
      to: subscriber.seat.incarnation,
    });
    frame.body = { case: 'stateUpdate', value: tell };
    this.#dependencies.send(subscriber.seat.address, frame);
  }

  #addView(tell: StateUpdate, subscriber: Subscriber, nowMs: number): void {
    const { view, coordinatorIncarnation } = this.#group;
    const leader = view?.members.find((member) => member.incarnation === coordinatorIncarnation);
    if (leader !== undefined) tell.coordinator = leader;
    if (view === undefined || !this.#subscribers.isViewDue(subscriber, view.number, nowMs)) return;
    tell.cores = view.members;
    this.#subscribers.sentView(subscriber, view.number, nowMs);
  }

  #addRows(tell: StateUpdate, subscriber: Subscriber, offer: Offer, nowMs: number): void {
    const whole = subscriber.table !== offer.table;
    tell.tableId = offer.table;
    tell.snapshot = whole;
    tell.tableRow = offer.row;
    tell.baseRow = whole ? 0 : subscriber.row;
    tell.rows = this.#book.since(tell.baseRow).map((row) => rowOf(row, nowMs));
    this.#subscribers.sentRows(subscriber, offer, tell.rows.length, nowMs);
  }

  #addState(tell: StateUpdate, { readsDeflated }: Subscriber): void {
    const { state } = this;
    if (this.#told?.state !== state) this.#told = { state, bytes: encodeStateUpdate(state) };
    if (readsDeflated) tell.deflatedState = this.#told.bytes.deflated;
    else tell.state = this.#told.bytes.plain;
  }

  #onVersion(held: GroupState<Deployment>, _entry: Entry | undefined): void {
    this.#dependencies.onStateChange(held.application);
    this.#tellChanges(this.#dependencies.clock.nowMs());
  }

  #onAnswer(answer: Answer): void {
    const done = this.#waiting.get(answer.id);
    this.#waiting.delete(answer.id);
    done?.(answer);
  }
}

function rowOf(row: WorkerRecord, nowMs: number): WorkerRow {
  const {
    number,
    id,
    service,
    address,
    zone,
    draining: leaving,
    removed: gone,
    slots,
    warmUpUntilMs: coldUntilMs,
    models,
    limits,
  } = row;
  return create(WorkerRowSchema, {
    number,
    id,
    service,
    address,
    zone,
    draining: leaving,
    removed: gone,
    slots,
    warmUpMs: Math.max(0, Math.round(coldUntilMs - nowMs)),
    loadedModels: [...models].map(([model, adapters]) => ({
      $typeName: 'rainrun.v1.LoadedModel' as const,
      model,
      adapters: [...adapters],
      loadNumber: 0,
    })),
    callerLimits: [...limits].map(([callers, percent]) => ({
      $typeName: 'rainrun.v1.CallerLimit' as const,
      zone: callers,
      percent,
    })),
  });
}

/**
 * The engines that a configuration describes, by service.
 * @example
 * enginesOf(undefined).size; // 0
 */
export function enginesOf(configuration: Configuration | undefined): ReadonlyMap<string, Engine> {
  const engines = new Map<string, Engine>();
  for (const { name, engine } of configuration?.services ?? []) {
    if (engine === undefined || engine === null || engine.models.length === 0) continue;
    engines.set(name, {
      service: name,
      slots: engine.slots,
      roomMb: engine.roomMb,
      adapterPlaces: engine.adapterPlaces,
      loadsPerS: engine.loadsPerS,
      models: new Map(
        engine.models.map((model) => [
          model.name,
          { name: model.name, sizeMb: model.sizeMb, loadMs: model.loadS * 1000, adapterMb: model.adapterMb },
        ]),
      ),
    });
  }
  return engines;
}
