/** The façade of the process group: the interface for its node, and the order of work in a tick. */
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
 * A node's participation in the process group: membership, views, causal and total order, and leases.
 * It is driven from outside by `receive` and `tick` and owns no socket, timer or file.
 * @example
 * const group = new Group(dependencies);
 * group.tick(); // every 50 ms
 * group.receive(frame); // for each frame that arrives
 */
export class Group<S> {
  #wiring: GroupWiring<S>;

  constructor(dependencies: GroupDependencies<S>) {
    this.#wiring = new GroupWiring(dependencies);
  }

  /** This node as a member, under its current incarnation. */
  get self(): Member {
    return this.#wiring.local.self;
  }

  /** The state of the newest version applied here; undefined before the first. */
  get state(): GroupState<S> | undefined {
    return this.#wiring.local.state;
  }

  /** The view that this node is a member of, or undefined while it is in none. */
  get view(): View | undefined {
    return this.#wiring.local.view;
  }

  /** Whether a view change is in progress, during which casts are held back. */
  get isViewChanging(): boolean {
    return this.#wiring.casts.stopped;
  }

  /** Whether this node is the coordinator. */
  get isCoordinator(): boolean {
    return this.#wiring.coordination.coordinator !== undefined;
  }

  /** Incarnation of the live coordinator that this node follows, if any. */
  get coordinatorIncarnation(): string | undefined {
    return this.#wiring.coordinatorWatch.live()?.incarnation;
  }

  /** Newest epoch that this node knows of. */
  get epoch(): number {
    return this.#wiring.local.epoch;
  }

  /** What this node waits for while it knows no committing coordinator; undefined while it knows one. */
  coordinatorWait(): CoordinatorWait | undefined {
    const { coordinatorWait, local } = this.#wiring;
    return coordinatorWait.report(local.nowMs());
  }

  /** How long this node's disk has synced nothing although writes wait, in milliseconds. */
  get diskWaitMs(): number {
    const { diskWatch, local } = this.#wiring;
    return diskWatch.waitMs(local.nowMs());
  }

  /** Number of casts kept because not all members are known to have them yet. */
  get unstableCount(): number {
    return this.#wiring.casts.unstableCount;
  }

  /** Bytes of causal context sent in this view. */
  get contextBytes(): number {
    return this.#wiring.casts.contextBytes;
  }

  /** The newest version that this node knows to be committed. */
  get committedVersion(): number {
    return this.#wiring.local.committedVersion;
  }

  /** When this node's lease to admit work ends, by its clock; compare with the clock just before each use. */
  leaseEndMs(): number {
    return this.#wiring.leases.leaseEndMs();
  }

  /** The time, by this node's clock, before which everything committed is known to have been applied here. */
  currentAsOfMs(): number {
    return this.leaseEndMs() - this.#wiring.dependencies.times.leaseMs;
  }

  /** The version that another member had applied when it last acknowledged a heartbeat. */
  versionAt(incarnation: string): number | undefined {
    return this.#wiring.leases.versionAt(incarnation);
  }

  /** Whether this node may admit work now. */
  holdsLease(): boolean {
    return this.#wiring.leases.isHeld();
  }

  /** The epoch in which this node holds the singleton lease, if any; it ends before the lease to admit. */
  singletonEpoch(): number | undefined {
    return this.#wiring.leases.singletonEpoch();
  }

  /** Multicasts a payload causally to the view; held back while the view is changing. */
  cast(payload: Uint8Array): void {
    this.#wiring.casts.cast(payload);
  }

  /** Submits an operation; the listener gets the answer once committed. Returns false if nothing was sent. */
  submit(operation: Operation): boolean {
    return this.#wiring.submissions.submit(operation);
  }

  /**
   * Stops resending an operation that nobody waits for any longer, so that it cannot take effect long after
   * its caller has turned to another node.
   */
  withdraw(id: string): void {
    this.#wiring.submissions.withdraw(id);
  }

  /** The committed answer to an operation, if it is retained. */
  operationResult(id: string): Answer | undefined {
    return this.#wiring.submissions.result(id);
  }

  /** Whether the group retains as many answers to operators as it can, so that no further one fits. */
  get isFull(): boolean {
    return this.#wiring.submissions.isRetentionFull;
  }

  /** Records an operator's statement that a node will not come back; false if this node is no coordinator. */
  excludeNode(name: string): boolean {
    const { coordinator } = this.#wiring.coordination;
    coordinator?.exclude(name);
    return coordinator !== undefined;
  }

  /** Announces this node's departure, so that the others need not wait until they suspect it. */
  leave(): void {
    const { local, transport } = this.#wiring;
    local.startLeaving();
    for (const member of local.others())
      transport.send(member, { case: 'goodbye', value: create(GoodbyeSchema) });
  }

  /** Does the work that is due. The order matters: each step sees the changes of the steps before it. */
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

  /** Handles a frame that arrived from another node. */
  receive(frame: Frame): void {
    this.#wiring.receiver.receive(frame);
  }

  /** Sends a frame to a member, if it is known. */
  sendTo(incarnation: string, body: Frame['body']): void {
    this.#wiring.transport.sendTo(incarnation, body);
  }

  /** Detects that this process was suspended, and excludes that time from the timeouts of its parts. */
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
