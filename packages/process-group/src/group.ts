/** The façade of the process group: what a node calls, and the order of work in a tick. */
import { create } from '@bufbuild/protobuf';
import {
  GoodbyeSchema,
  type Answer,
  type Frame,
  type Operation,
  type Member,
  type View,
} from '@rainrun/messages';
import type { CoordinatorWait } from './agreement/coordinator-wait.js';
import type { GroupDependencies } from './group-dependencies.js';
import { GroupWiring } from './group-wiring.js';
import type { GroupState } from './agreement/group-state.js';

/**
 * A node's place in the process group: membership, views, causal and total
 * order, leases. Driven from outside by `receive` and `tick`; it owns no
 * socket, no timer and no file.
 * @example
 * const group = new Group(dependencies);
 * group.tick(); // every 50 ms
 * group.receive(frame); // for each frame that comes
 */
export class Group<S> {
  #wiring: GroupWiring<S>;

  constructor(dependencies: GroupDependencies<S>) {
    this.#wiring = new GroupWiring(dependencies);
  }

  /** This node as a member, under its present incarnation. */
  get self(): Member {
    return this.#wiring.local.self;
  }

  /** The newest version that came into force here. */
  get state(): GroupState<S> | undefined {
    return this.#wiring.local.state;
  }

  /** The view this node is a member of, or undefined while it is in none. */
  get view(): View | undefined {
    return this.#wiring.local.view;
  }

  /** True while the view is being changed: casts wait. */
  get isViewChanging(): boolean {
    return this.#wiring.casts.stopped;
  }

  /** Whether this node is the coordinator. */
  get isCoordinator(): boolean {
    return this.#wiring.coordination.coordinator !== undefined;
  }

  /** Incarnation of the coordinator that this node follows, if one was heard lately. */
  get coordinatorIncarnation(): string | undefined {
    return this.#wiring.coordinatorWatch.live()?.incarnation;
  }

  /** Newest epoch that this node knows of. */
  get epoch(): number {
    return this.#wiring.local.epoch;
  }

  /** What this node waits for while it knows no coordinator that commits; undefined while it knows one. */
  coordinatorWait(): CoordinatorWait | undefined {
    const { coordinatorWait, local } = this.#wiring;
    return coordinatorWait.report(local.nowMs());
  }

  /** For how long this node's disk has synced nothing though writes wait, in milliseconds. */
  get diskWaitMs(): number {
    const { diskWatch, local } = this.#wiring;
    return diskWatch.waitMs(local.nowMs());
  }

  /** Casts kept until all members are known to have them. */
  get unstableCount(): number {
    return this.#wiring.casts.unstableCount;
  }

  /** Bytes of causal context sent in this view. */
  get contextBytes(): number {
    return this.#wiring.casts.contextBytes;
  }

  /** Newest version that this node knows to be committed. */
  get committedVersion(): number {
    return this.#wiring.local.committedVersion;
  }

  /** When this node's lease to admit ends, in milliseconds of its clock; compare with the clock just before each act. */
  leaseEndMs(): number {
    return this.#wiring.leases.leaseEndMs();
  }

  /** This node has applied all that was committed before this moment. */
  currentAsOfMs(): number {
    return this.leaseEndMs() - this.#wiring.dependencies.times.leaseMs;
  }

  /** The version in force at another member when it last answered a heartbeat. */
  versionAt(incarnation: string): number | undefined {
    return this.#wiring.leases.versionAt(incarnation);
  }

  /** Whether this node may admit work now. */
  holdsLease(): boolean {
    return this.#wiring.leases.isHeld();
  }

  /** The epoch in which this node may act alone for all, or undefined. Ends before the lease does. */
  singletonEpoch(): number | undefined {
    return this.#wiring.leases.singletonEpoch();
  }

  /** Multicasts a payload causally to the view; held back while the view is changing. */
  cast(payload: Uint8Array): void {
    this.#wiring.casts.cast(payload);
  }

  /** Submits an operation under its id; the answer comes through the listener, once it is committed. False: nothing was sent. */
  submit(operation: Operation): boolean {
    return this.#wiring.submissions.submit(operation);
  }

  /** Nobody waits for an operation any more: it is not sent again, so that it cannot come to pass long after its caller has asked elsewhere. */
  withdraw(id: string): void {
    this.#wiring.submissions.withdraw(id);
  }

  /** What is known of an operation by its id. */
  operationResult(id: string): Answer | undefined {
    return this.#wiring.submissions.result(id);
  }

  /** Whether no further answer to an operator can be retained now. */
  get isFull(): boolean {
    return this.#wiring.submissions.isRetentionFull;
  }

  /** An operator's statement that a name will not come back. Only the coordinator can use it. */
  excludeNode(name: string): boolean {
    const { coordinator } = this.#wiring.coordination;
    coordinator?.exclude(name);
    return coordinator !== undefined;
  }

  /** Says goodbye, so that the view need not wait to suspect this node. */
  leave(): void {
    const { local, transport } = this.#wiring;
    local.startLeaving();
    for (const member of local.others())
      transport.send(member, { case: 'goodbye', value: create(GoodbyeSchema) });
  }

  /** Does what is due now. The order counts: each step sees what the ones before it changed. */
  tick(): void {
    const { coordinatorWait, discovery, diskWatch, heartbeats, leases, local } = this.#wiring;
    const { submissions, transport, versions, viewChange } = this.#wiring;
    const nowMs = local.nowMs();
    this.#noteSuspension(nowMs);
    const isDiskStalled = diskWatch.isStalled(nowMs, local.inView);
    if (isDiskStalled && local.inView) viewChange.rejoin();
    heartbeats.tick(nowMs);
    if (!isDiskStalled) discovery.tick(nowMs);
    if (!isDiskStalled && !local.leaving) this.#driveCoordination(nowMs);
    leases.tick(nowMs);
    submissions.sendDue();
    transport.tick(nowMs);
    versions.tick(nowMs);
    coordinatorWait.tick(nowMs);
  }

  /** Takes a frame that came from another node. */
  receive(frame: Frame): void {
    this.#wiring.receiver.receive(frame);
  }

  /** Sends a frame to a member, if it is known. */
  sendTo(incarnation: string, body: Frame['body']): void {
    this.#wiring.transport.sendTo(incarnation, body);
  }

  /** A process that was suspended does not count its own silence against the others. */
  #noteSuspension(nowMs: number): void {
    const { diskWatch, election, liveness, transport } = this.#wiring;
    const suspendedMs = liveness.tick(nowMs);
    if (suspendedMs <= 0) return;
    election.onResume(nowMs);
    transport.onSleep(suspendedMs);
    diskWatch.onSleep(suspendedMs);
  }

  #driveCoordination(nowMs: number): void {
    const { coordination, election } = this.#wiring;
    if (coordination.coordinator !== undefined) coordination.tick(nowMs);
    else election.tick(nowMs);
  }
}
