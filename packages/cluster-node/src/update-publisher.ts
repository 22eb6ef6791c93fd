/**
 * Builds state updates for the edges that subscribe to a core, and sends each when it is due. Platform
 * family.
 */
import { create } from '@bufbuild/protobuf';
import {
  newFrame,
  StateUpdateSchema,
  WorkerRowSchema,
  type Frame,
  type Member,
  type StateUpdate,
  type Subscribe,
  type WorkerRow,
} from '@rainrun/messages';
import type { Deployment } from '@rainrun/configuration';
import type { WorkerRecord, WorkerTable } from '@rainrun/placement';
import { encodeStateUpdate, type EncodedDeployment } from './state-update.js';
import { Subscribers, type AvailableState, type Subscriber } from './subscribers.js';

/** The part of the process group that updates report on. */
export interface PublishedGroup {
  readonly isCoordinator: boolean;
  readonly self: { readonly incarnation: string };
  readonly view:
    { readonly epoch: number; readonly number: number; readonly members: readonly Member[] } | undefined;
  readonly coordinatorIncarnation: string | undefined;
  holdsLease(): boolean;
}

/** The sources that the publisher reads, and its sender. */
export interface UpdatePublisherDependencies {
  readonly deployment: string;
  readonly group: PublishedGroup;
  state(): Deployment;
  /** The worker table of the current epoch, and its id. */
  placement(): { readonly workerTable: WorkerTable; readonly tableId: string };
  send(address: string, frame: Frame): void;
}

/**
 * Publishes the state, the view and the worker table of one core to its subscribed edges.
 * @example
 * publisher.onSubscribe(subscribe, member, nowMs);
 * publisher.sendDueUpdates(nowMs);
 */
export class UpdatePublisher {
  #dependencies: UpdatePublisherDependencies;
  #subscribers = new Subscribers();
  #encodedState: { readonly state: Deployment; readonly bytes: EncodedDeployment } | undefined;

  constructor(dependencies: UpdatePublisherDependencies) {
    this.#dependencies = dependencies;
  }

  get subscriberCount(): number {
    return this.#subscribers.size;
  }

  /** Removes expired subscriptions. */
  expire(nowMs: number): void {
    this.#subscribers.expire(nowMs);
  }

  /** Ends the subscription of an edge that is leaving. */
  unsubscribe(incarnation: string): void {
    this.#subscribers.remove(incarnation);
  }

  /** Records a subscription or its renewal. */
  onSubscribe(subscribe: Subscribe, member: Member, nowMs: number): Subscriber {
    return this.#subscribers.onSubscribe(subscribe, member, nowMs);
  }

  /** Answers an edge that has just subscribed or renewed, if an answer is due. */
  answer(subscriber: Subscriber, nowMs: number): void {
    if (this.#subscribers.isAnswerDue(subscriber, this.#availableState(), nowMs))
      this.#sendUpdate(subscriber, nowMs);
  }

  /** Sends the updates that are due without a request of the edge. */
  sendDueUpdates(nowMs: number): void {
    const { workerTable } = this.#dependencies.placement();
    const due = this.#subscribers.dueSubscribers(this.#availableState(), workerTable.takeChanges(), nowMs);
    for (const subscriber of due) this.#sendUpdate(subscriber, nowMs);
  }

  /** The newest versions that this core can send; only the coordinator has a worker table. */
  #availableState(): AvailableState {
    const { isCoordinator } = this.#dependencies.group;
    const { workerTable, tableId } = this.#dependencies.placement();
    return {
      edition: this.#dependencies.state().edition,
      tableId: isCoordinator && workerTable.number > 0 ? tableId : '',
      tableRow: workerTable.number,
      isCoordinator,
    };
  }

  /**
   * Sends an update. Its contents count as received until the edge reports otherwise, so they are sent only
   * once.
   */
  #sendUpdate(subscriber: Subscriber, nowMs: number): void {
    const available = this.#availableState();
    const { deployment, group, state, send } = this.#dependencies;
    const update = create(StateUpdateSchema, {
      edition: state().edition,
      hasLease: group.holdsLease(),
      edgeCount: this.#subscribers.size,
    });
    this.#addView(update, subscriber, nowMs);
    if (this.#subscribers.isStateDue(subscriber, available, nowMs)) {
      this.#addState(update, subscriber);
      this.#subscribers.recordStateSent(subscriber, available, nowMs);
    }
    if (available.tableId !== '') this.#addRows(update, subscriber, available, nowMs);
    subscriber.lastUpdateMs = nowMs;
    const route = { deployment, from: group.self.incarnation, to: subscriber.member.incarnation };
    send(subscriber.member.address, newFrame(route, { case: 'stateUpdate', value: update }));
  }

  #addView(update: StateUpdate, subscriber: Subscriber, nowMs: number): void {
    const { view, coordinatorIncarnation } = this.#dependencies.group;
    const coordinator = view?.members.find((member) => member.incarnation === coordinatorIncarnation);
    if (coordinator !== undefined) update.coordinator = coordinator;
    if (view === undefined || !this.#subscribers.isViewDue(subscriber, view.number, nowMs)) return;
    update.cores = [...view.members];
    update.viewEpoch = view.epoch;
    update.viewNumber = view.number;
    this.#subscribers.recordViewSent(subscriber, view.number, nowMs);
  }

  #addRows(update: StateUpdate, subscriber: Subscriber, available: AvailableState, nowMs: number): void {
    const isSnapshot = subscriber.tableId !== available.tableId;
    const { workerTable } = this.#dependencies.placement();
    update.tableId = available.tableId;
    update.snapshot = isSnapshot;
    update.tableRow = available.tableRow;
    update.baseRow = isSnapshot ? 0 : subscriber.tableRow;
    update.rows = workerTable.since(update.baseRow).map((row) => toWorkerRow(row, nowMs));
    this.#subscribers.recordRowsSent(subscriber, available, update.rows.length, nowMs);
  }

  #addState(update: StateUpdate, { acceptsDeflate }: Subscriber): void {
    const state = this.#dependencies.state();
    if (this.#encodedState?.state !== state) this.#encodedState = { state, bytes: encodeStateUpdate(state) };
    if (acceptsDeflate) update.deflatedState = this.#encodedState.bytes.deflated;
    else update.state = this.#encodedState.bytes.plain;
  }
}

function toWorkerRow(worker: WorkerRecord, nowMs: number): WorkerRow {
  const { number, id, service, address, zone, draining, removed, slots, warmUpUntilMs, models, limits } =
    worker;
  return create(WorkerRowSchema, {
    number,
    id,
    service,
    address,
    zone,
    draining,
    removed,
    slots,
    warmUpMs: Math.max(0, Math.round(warmUpUntilMs - nowMs)),
    loadedModels: [...models].map(([model, adapters]) => ({
      $typeName: 'rainrun.v1.LoadedModel' as const,
      model,
      adapters: [...adapters],
      loadNumber: 0,
    })),
    callerLimits: [...limits].map(([callerZone, percent]) => ({
      $typeName: 'rainrun.v1.CallerLimit' as const,
      zone: callerZone,
      percent,
    })),
  });
}
