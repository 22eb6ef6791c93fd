import { create } from '@bufbuild/protobuf';
import {
  FrameSchema,
  OperationSchema,
  TellSchema,
  WIRE,
  WorkerRowSchema,
  type Answer,
  type Entry,
  type Follow,
  type Frame,
  type Seat,
  type WorkerRow,
} from '@rainrun/messages';
import { Group, type GroupDependencies, type Held, type Outcome, type Play } from '@rainrun/process-group';
import {
  applyToDeployment,
  checkConfiguration,
  decodeDeployment,
  EMPTY_DEPLOYMENT,
  encodeDeployment,
  encodeForFollowers,
  type Configuration,
  type Deployment,
} from '@rainrun/configuration';
import { fault, randomId, type Fault } from '@rainrun/common';
import {
  PlacementPlanner,
  WorkerTable,
  type WorkerRecord,
  type ListedWorker,
  type StockEngine,
  type StockOrder,
  type StockReply,
} from '@rainrun/placement';
import { Result } from 'true-myth';

const DEPLOYMENT_PLAY: Play<Deployment> = {
  empty: () => EMPTY_DEPLOYMENT,
  encode: (state) => ({ play: encodeDeployment(state), extra: new Uint8Array() }),
  decode: (encoded) => decodeDeployment(encoded.play),
  plain: (state) => state,
  apply(state, operation): { state: Deployment; outcome: Outcome } {
    return applyToDeployment(state, {
      kind: operation.kind,
      payload: new TextDecoder().decode(operation.payload),
    });
  },
};

/** A follower that was not heard for so long is forgotten. */
const FOLLOWER_MS = 2500;
/** Changes of the table are gathered the longer, the more are to be told. */
const GATHER_MS_EACH = 0.1;
/** A worker's report is so old at most. */
const REPORT_LAG_MS = 300;
/** An order is done after so long, also where many load at once. */
const ORDERS_MS = 2500;

/** What a core is given by its program, or by the simulator. */
export interface CoreReplicaDependencies extends Omit<GroupDependencies<Deployment>, 'play' | 'audience'> {
  /** Sends one order to a worker. */
  order(row: WorkerRecord, order: StockOrder, done: (reply: StockReply) => void): void;
  /** Asks a worker what it holds; nothing comes while it is at an order, or if it does not answer. */
  report(
    row: WorkerRecord,
    done: (models: ReadonlyMap<string, ReadonlySet<string>> | undefined) => void,
  ): void;
  /** How far the platform's list lags. */
  readonly listLagMs: number;
  /** Called when another edition came into force here. */
  changed(state: Deployment): void;
  reborn(incarnation: string): void;
  refused(why: string): void;
  /** Called for each decision on placement, for the logs. */
  decided(text: string): void;
}

interface Follower {
  seat: Seat;
  atMs: number;
  edition: number;
  table: string;
  row: number;
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
  #table = '';
  #tableEpoch = -1;
  #followers = new Map<string, Follower>();
  #waiting = new Map<string, (answer: Answer) => void>();
  #dirtyMs: number | undefined;
  /** Since when this node may order, in this epoch. */
  #dutySinceMs: number | undefined;
  /** When a worker was last asked what it holds. */
  #askedMs = new Map<string, number>();
  #read: { readonly state: Deployment; readonly engines: ReadonlyMap<string, StockEngine> } | undefined;
  #encoded: { readonly state: Deployment; readonly bytes: Uint8Array } | undefined;

  constructor(dependencies: CoreReplicaDependencies) {
    this.#dependencies = dependencies;
    this.#planner = this.#newPlanner();
    this.#group = new Group<Deployment>({
      ...dependencies,
      play: DEPLOYMENT_PLAY,
      audience: {
        onVersion: (held, entry) => this.#onVersion(held, entry),
        onCast: () => undefined,
        onAnswer: (answer) => this.#onAnswer(answer),
        onReborn: (incarnation) => dependencies.reborn(incarnation),
        onRefused: (why) => dependencies.refused(why),
        onFrame: (_from, body) => this.#onFrame(body),
      },
      post: (address, frame) => dependencies.post(address, frame),
    });
  }

  get group(): Group<Deployment> {
    return this.#group;
  }

  get state(): Deployment {
    return this.#group.held?.play ?? EMPTY_DEPLOYMENT;
  }

  get book(): WorkerTable {
    return this.#book;
  }

  get planner(): PlacementPlanner {
    return this.#planner;
  }

  get followers(): number {
    return this.#followers.size;
  }

  receive(frame: Frame): void {
    this.#group.receive(frame);
  }

  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#group.tick();
    for (const [incarnation, follower] of this.#followers)
      if (nowMs - follower.atMs > FOLLOWER_MS) this.#followers.delete(incarnation);
    this.#openTable();
    if (this.#group.leading) this.#stock(nowMs);
    this.#tellChanges(nowMs);
  }

  /** Takes the platform's whole list. */
  learnList(list: readonly ListedWorker[]): void {
    if (!this.#group.leading) return;
    this.#openTable();
    const nowMs = this.#dependencies.clock.nowMs();
    this.#book.learn(list, nowMs);
    this.#stock(nowMs);
    this.#tellChanges(nowMs);
  }

  /** Submits an operation; `done` is called once, with the agreed answer. */
  submit(kind: string, payload: unknown, done: (answer: Answer) => void): Result<string, Fault> {
    const id = randomId(this.#dependencies.chance);
    const operation = create(OperationSchema, {
      id,
      kind,
      payload: new TextEncoder().encode(JSON.stringify(payload)),
      brief: true,
    });
    this.#waiting.set(id, done);
    if (this.#group.submit(operation)) return Result.ok(id);
    this.#waiting.delete(id);
    return Result.err(fault('unreached', 'no coordinator can be reached; nothing was sent'));
  }

  /** The caller waits for this answer no longer, and may have asked another node. */
  forgetAnswer(id: string): void {
    this.#waiting.delete(id);
    this.#group.withdraw(id);
  }

  #newPlanner(): PlacementPlanner {
    const dependencies = this.#dependencies;
    return new PlacementPlanner(this.#book, {
      fence: () => this.#group.dutyEpoch(),
      order: (row, order, done) => dependencies.order(row, order, done),
      nowMs: () => dependencies.clock.nowMs(),
      decided: (text) => dependencies.decided(text),
    });
  }

  /** A coordinator's table begins anew with each epoch. */
  #openTable(): void {
    const epoch = this.#group.leading ? this.#group.epoch : -1;
    if (epoch === this.#tableEpoch) return;
    this.#tableEpoch = epoch;
    this.#table = epoch < 0 ? '' : `${epoch}-${this.#group.seat.incarnation}`;
    this.#book = new WorkerTable();
    this.#planner = this.#newPlanner();
    this.#dutySinceMs = undefined;
    this.#askedMs.clear();
  }

  #engines(): ReadonlyMap<string, StockEngine> {
    const { state } = this;
    if (this.#read?.state !== state) {
      const checked = state.document === undefined ? undefined : checkConfiguration(state.document);
      const configuration = checked?.isOk === true ? checked.value : undefined;
      this.#read = { state, engines: enginesOf(configuration) };
    }
    return this.#read.engines;
  }

  /**
   * What an earlier holder of the duty ordered last may not show yet. Workers
   * that are waited for are asked; others are taken as listed once the list
   * cannot be older than the duty.
   */
  #confirm(nowMs: number): void {
    if (this.#group.dutyEpoch() === undefined) return;
    this.#dutySinceMs ??= nowMs;
    const heldMs = nowMs - this.#dutySinceMs;
    const pressed = this.#planner.pressed;
    for (const row of this.#book.rows) {
      if (row.sure || row.gone) continue;
      if (heldMs > this.#dependencies.listLagMs + ORDERS_MS) {
        this.#planner.settle(row, row.listed);
        continue;
      }
      if (
        !pressed ||
        heldMs < REPORT_LAG_MS ||
        nowMs - (this.#askedMs.get(row.id) ?? -Infinity) < REPORT_LAG_MS
      )
        continue;
      this.#askedMs.set(row.id, nowMs);
      const planner = this.#planner;
      this.#dependencies.report(row, (models) => {
        if (models !== undefined && planner === this.#planner && !row.sure) planner.settle(row, models);
      });
    }
  }

  #stock(nowMs: number): void {
    this.#confirm(nowMs);
    this.#planner.tick(this.#engines(), this.state.evacuated, nowMs);
  }

  #onFrame(body: Frame['body']): void {
    if (body.case === 'follow') this.#onFollow(body.value);
  }

  #onFollow(follow: Follow): void {
    const { seat, edition, table, row, wants, leaving } = follow;
    if (seat === undefined) return;
    const nowMs = this.#dependencies.clock.nowMs();
    if (leaving) {
      this.#followers.delete(seat.incarnation);
      return;
    }
    const follower: Follower = { seat, atMs: nowMs, edition, table, row };
    this.#followers.set(seat.incarnation, follower);
    if (this.#group.leading) {
      this.#planner.want(seat.incarnation, wants, nowMs);
      this.#stock(nowMs);
    }
    this.#tell(follower, nowMs);
    this.#tellChanges(nowMs);
  }

  #tellChanges(nowMs: number): void {
    let due = false;
    for (const follower of this.#followers.values()) due ||= this.#isBehind(follower);
    if (!due) {
      this.#dirtyMs = undefined;
      return;
    }
    this.#dirtyMs ??= nowMs;
    if (nowMs - this.#dirtyMs < Math.floor(this.#followers.size * GATHER_MS_EACH)) return;
    this.#dirtyMs = undefined;
    for (const follower of this.#followers.values())
      if (this.#isBehind(follower)) this.#tell(follower, nowMs);
  }

  #isBehind(follower: Follower): boolean {
    if (follower.edition < this.state.edition) return true;
    return this.#group.leading && (follower.table !== this.#table || follower.row < this.#book.number);
  }

  /** What is told is taken for known until the follower says otherwise, so that it is told once. */
  #tell(follower: Follower, nowMs: number): void {
    const { state } = this;
    const view = this.#group.view;
    const leaderIncarnation = this.#group.coordinatorIncarnation;
    const leader = view?.members.find((member) => member.incarnation === leaderIncarnation);
    const tell = create(TellSchema, {
      edition: state.edition,
      granted: this.#group.granted(),
      cores: view?.members ?? [],
      followers: this.#followers.size,
    });
    if (leader !== undefined) tell.leader = leader;
    if (follower.edition < state.edition) tell.state = this.#bytes(state);
    if (this.#group.leading && this.#book.number > 0) {
      const whole = follower.table !== this.#table;
      tell.table = this.#table;
      tell.whole = whole;
      tell.row = this.#book.number;
      tell.base = whole ? 0 : follower.row;
      tell.rows = this.#book.since(whole ? 0 : follower.row).map((row) => rowOf(row, nowMs));
    }
    follower.edition = Math.max(follower.edition, state.edition);
    if (tell.table !== '') {
      follower.table = tell.table;
      follower.row = tell.row;
    }
    const frame = create(FrameSchema, {
      wire: WIRE,
      deployment: this.#dependencies.deployment,
      from: this.#group.seat.incarnation,
      to: follower.seat.incarnation,
    });
    frame.body = { case: 'tell', value: tell };
    this.#dependencies.post(follower.seat.address, frame);
  }

  #bytes(state: Deployment): Uint8Array {
    if (this.#encoded?.state !== state) this.#encoded = { state, bytes: encodeForFollowers(state) };
    return this.#encoded.bytes;
  }

  #onVersion(held: Held<Deployment>, _entry: Entry | undefined): void {
    this.#dependencies.changed(held.play);
    this.#tellChanges(this.#dependencies.clock.nowMs());
  }

  #onAnswer(answer: Answer): void {
    const done = this.#waiting.get(answer.id);
    this.#waiting.delete(answer.id);
    done?.(answer);
  }
}

function rowOf(row: WorkerRecord, nowMs: number): WorkerRow {
  const { number, id, service, address, zone, leaving, gone, slots, coldUntilMs, models } = row;
  return create(WorkerRowSchema, {
    number,
    id,
    service,
    address,
    zone,
    leaving,
    gone,
    slots,
    coldMs: Math.max(0, Math.round(coldUntilMs - nowMs)),
    holdings: [...models].map(([model, adapters]) => ({
      $typeName: 'rainrun.v1.Holding' as const,
      model,
      adapters: [...adapters],
      load: 0,
    })),
  });
}

/**
 * The engines that a configuration describes, by service.
 * @example
 * enginesOf(undefined).size; // 0
 */
export function enginesOf(configuration: Configuration | undefined): ReadonlyMap<string, StockEngine> {
  const engines = new Map<string, StockEngine>();
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
