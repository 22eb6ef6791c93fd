/**
 * A core of the platform family: wires the process group to placement, to subscribed edges and to operations.
 */
import { create } from '@bufbuild/protobuf';
import { OperationSchema, type Frame, type Subscribe } from '@rainrun/messages';
import { Group, type GroupDependencies, type GroupState } from '@rainrun/process-group';
import { EMPTY_DEPLOYMENT, type Deployment } from '@rainrun/configuration';
import { randomId, type Fault } from '@rainrun/common';
import type { ListedWorker, PlacementPlanner, WorkerTable } from '@rainrun/placement';
import type { AllocationStats, QuotaBounds } from '@rainrun/quotas';
import type { Result } from 'true-myth';
import { DEPLOYMENT_STATE_MACHINE } from './deployment-state-machine.js';
import { PendingOperations, type AnswerCallback } from './pending-operations.js';
import { PlacementLoop, type PlacementEffects } from './placement-loop.js';
import { QuotaAllocation } from './quota-allocation.js';
import { UpdatePublisher } from './update-publisher.js';

/** Collaborators and callbacks that the core program or the simulator supplies. */
export interface CoreReplicaDependencies
  extends Omit<GroupDependencies<Deployment>, 'stateMachine' | 'listener'>, PlacementEffects {
  /** Bounds within which a tenant's requests may exceed its limit. */
  readonly quota: QuotaBounds;
  /** Called each time this core applies a version of the replicated state. */
  onStateChange(state: Deployment): void;
  /** Called when this node was removed from the view and rejoins as a new incarnation. */
  onNewIncarnation(incarnation: string): void;
  /** Called when the group rejects this node, with the reason. */
  onJoinRejected(reason: string): void;
}

/**
 * A core: a member of the process group that replicates the deployment's state
 * and publishes it to the subscribed edges. On the coordinator, it also keeps
 * the worker table and sends orders to workers. It owns no socket, timer or file.
 * @example
 * const replica = new CoreReplica(dependencies);
 * replica.tick(); // every 20 ms
 */
export class CoreReplica {
  #dependencies: CoreReplicaDependencies;
  #group: Group<Deployment>;
  #placement: PlacementLoop;
  #publisher: UpdatePublisher;
  #quotas: QuotaAllocation;
  #operations = new PendingOperations();

  constructor(dependencies: CoreReplicaDependencies) {
    this.#dependencies = dependencies;
    this.#group = new Group<Deployment>({
      ...dependencies,
      stateMachine: DEPLOYMENT_STATE_MACHINE,
      listener: {
        onVersion: (state) => this.#onVersion(state),
        onCast: () => undefined,
        onAnswer: (answer) => this.#operations.onAnswer(answer),
        onNewIncarnation: (incarnation) => dependencies.onNewIncarnation(incarnation),
        onJoinRejected: (reason) => dependencies.onJoinRejected(reason),
        onFrame: (_from, body) => this.#onFrame(body),
      },
      send: (address, frame) => dependencies.send(address, frame),
    });
    this.#placement = new PlacementLoop(dependencies, this.#group, () => this.state);
    this.#quotas = new QuotaAllocation({
      deployment: dependencies.deployment,
      clock: dependencies.clock,
      bounds: dependencies.quota,
      leaseMs: dependencies.times.leaseMs,
      group: this.#group,
      send: (address, frame) => dependencies.send(address, frame),
    });
    this.#publisher = new UpdatePublisher({
      deployment: dependencies.deployment,
      group: this.#group,
      state: () => this.state,
      placement: () => this.#placement,
      send: (address, frame) => dependencies.send(address, frame),
    });
  }

  get group(): Group<Deployment> {
    return this.#group;
  }

  /** The newest state that this core has applied; the empty deployment before the first. */
  get state(): Deployment {
    return this.#group.state?.application ?? EMPTY_DEPLOYMENT;
  }

  get workerTable(): WorkerTable {
    return this.#placement.workerTable;
  }

  get planner(): PlacementPlanner {
    return this.#placement.planner;
  }

  get subscriberCount(): number {
    return this.#publisher.subscriberCount;
  }

  /** Statistics of the quota shards that this core currently allocates. */
  get quotaStats(): AllocationStats[] {
    return this.#quotas.stats();
  }

  receive(frame: Frame): void {
    this.#group.receive(frame);
  }

  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    this.#group.tick();
    this.#quotas.tick(nowMs);
    this.#publisher.expire(nowMs);
    this.#placement.ensureTableForEpoch();
    if (this.#group.isCoordinator) this.#placement.tick(nowMs);
    this.#publisher.sendDueUpdates(nowMs);
  }

  /**
   * Updates the worker table from the platform's complete list; ignored unless this core is the coordinator.
   */
  learnList(list: readonly ListedWorker[]): void {
    if (!this.#group.isCoordinator) return;
    this.#placement.ensureTableForEpoch();
    const nowMs = this.#dependencies.clock.nowMs();
    this.#placement.updateWorkerList(list, nowMs);
    this.#publisher.sendDueUpdates(nowMs);
  }

  /**
   * Submits an operation; `done` is called once, with the committed answer. Returns the operation's id, or
   * the fault `unreached` if no coordinator can be reached.
   */
  submit(kind: string, payload: unknown, done: AnswerCallback): Result<string, Fault> {
    const operation = create(OperationSchema, {
      id: randomId(this.#dependencies.chance),
      kind,
      payload: new TextEncoder().encode(JSON.stringify(payload)),
      transient: true,
    });
    return this.#operations.submit(this.#group, operation, done);
  }

  /**
   * Drops the callback of an operation whose caller stopped waiting, and stops sending the operation again.
   */
  abandon(id: string): void {
    this.#operations.abandon(this.#group, id);
  }

  #onFrame(body: Frame['body']): void {
    if (body.case === 'subscribe') this.#onSubscribe(body.value);
    else this.#quotas.onFrame(body);
  }

  #onSubscribe(subscribe: Subscribe): void {
    const { subscriber: member, demands, leaving, incremental, outcomes } = subscribe;
    if (member === undefined) return;
    const { incarnation, zone } = member;
    if (leaving) return this.#publisher.unsubscribe(incarnation);
    const nowMs = this.#dependencies.clock.nowMs();
    const subscriber = this.#publisher.onSubscribe(subscribe, member, nowMs);
    if (this.#group.isCoordinator)
      this.#placement.onEdgeReport({ incarnation, zone, demands, incremental, outcomes }, nowMs);
    this.#publisher.answer(subscriber, nowMs);
    this.#publisher.sendDueUpdates(nowMs);
  }

  #onVersion(state: GroupState<Deployment>): void {
    this.#quotas.onState(state);
    this.#dependencies.onStateChange(state.application);
    this.#publisher.sendDueUpdates(this.#dependencies.clock.nowMs());
  }
}
