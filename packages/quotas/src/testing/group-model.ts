/**
 * A model of the process group with its guarantees: views are chosen by majorities, each after a flush, and a
 * view is committed once majorities of its members and of the previous view's members have installed it. The
 * model chooses the coordinator with global knowledge; everything that members learn is sent over the
 * simulated network.
 */
import type { Member } from '@rainrun/messages';
import type { QuotaView } from '../allocator.js';
import type { CoreNode } from './core-node.js';
import type { EventQueue } from './event-queue.js';
import type { Network } from './machine.js';

const STEP_MS = 50;
const SUSPECT_TIMEOUT_MS = 900;
const RESEND_MS = 100;
const FLUSH_TIMEOUT_MS = 1500;

/** A view change whose flushes are being collected. */
interface ViewChange {
  /** Cores that stay, by their members in the old view. */
  readonly staying: ReadonlyMap<Member, CoreNode>;
  readonly joiners: readonly Member[];
  readonly flushed: Set<string>;
  readonly startedMs: number;
  sentMs: number;
}

/** The sequence of views, advanced by a coordinator that is connected to a majority. */
export class GroupModel {
  /** Called for each chosen view, with the previous view. */
  onViewChosen: ((before: QuotaView, view: QuotaView) => void) | undefined;
  /** Called once, with the coordinator, when the next view is chosen and before it is sent to any core. */
  onNextViewChosen: ((coordinator: CoreNode) => void) | undefined;
  #cores: CoreNode[];
  #events: EventQueue;
  #network: Network;
  #view: QuotaView;
  #previousView: QuotaView | undefined;
  #installedBy = new Set<string>();
  #isCommitted = true;
  #coordinator: CoreNode | undefined;
  #coordinatorLastSeenMs = 0;
  #epoch = 1;
  #change: ViewChange | undefined;
  #lastReachableMs = new Map<string, number>();
  #lastBroadcastMs = -Infinity;

  /** `cores` lists all cores that have ever started; more may be added to the list later. */
  constructor(cores: CoreNode[], events: EventQueue, network: Network) {
    this.#cores = cores;
    this.#events = events;
    this.#network = network;
    this.#view = { epoch: 1, number: 1, members: cores.map(({ member }) => member) };
    for (const core of cores) {
      core.install(this.#view);
      core.onCommitted(1);
    }
    this.#schedule();
  }

  /** The current coordinator, if there is one. */
  get coordinator(): CoreNode | undefined {
    return this.#coordinator;
  }

  /** The newest view. */
  get view(): QuotaView {
    return this.#view;
  }

  /** Returns the core whose current process has this incarnation. */
  coreOf(incarnation: string): CoreNode | undefined {
    return this.#cores.find(({ machine, member }) => machine.isAlive && member.incarnation === incarnation);
  }

  #schedule(): void {
    this.#events.after(STEP_MS, () => {
      this.#step();
      this.#schedule();
    });
  }

  #step(): void {
    const coordinator = this.#chooseCoordinator();
    if (coordinator === undefined) return;
    for (const core of this.#cores)
      if (this.#areConnected(coordinator, core))
        this.#lastReachableMs.set(core.member.incarnation, this.#events.nowMs);
    this.#broadcastView(coordinator);
    this.#tryCommit();
    if (!this.#isCommitted) return;
    if (this.#change === undefined) this.#startChange(coordinator);
    else this.#collectFlushes(coordinator, this.#change);
  }

  #chooseCoordinator(): CoreNode | undefined {
    const { nowMs } = this.#events;
    const current = this.#coordinator;
    if (current !== undefined && this.#canCoordinate(current)) this.#coordinatorLastSeenMs = nowMs;
    if (nowMs - this.#coordinatorLastSeenMs < SUSPECT_TIMEOUT_MS)
      return this.#coordinatorLastSeenMs === nowMs ? current : undefined;
    const next = this.#cores.find((core) => this.#canCoordinate(core));
    if (next === undefined) return undefined;
    this.#coordinator = next;
    this.#coordinatorLastSeenMs = nowMs;
    this.#change = undefined;
    this.#epoch += 1;
    return next;
  }

  #canCoordinate(core: CoreNode): boolean {
    if (!core.machine.isRunning) return false;
    return hasMajority(
      this.#view,
      (member) => this.#isDeparted(member) || this.#isMemberConnected(core, member),
    );
  }

  #isMemberConnected(core: CoreNode, { incarnation }: Member): boolean {
    const other = this.coreOf(incarnation);
    return other !== undefined && this.#areConnected(core, other);
  }

  #areConnected(one: CoreNode, other: CoreNode): boolean {
    if (one === other) return true;
    if (!other.machine.isRunning) return false;
    return (
      this.#network.canDeliver(one.machine, other.machine) &&
      this.#network.canDeliver(other.machine, one.machine)
    );
  }

  /** Whether the member's process is gone and another process runs with its disk. */
  #isDeparted({ incarnation, name }: Member): boolean {
    if (this.coreOf(incarnation) !== undefined) return false;
    return this.#cores.some(({ machine }) => machine.name === name && machine.isAlive);
  }

  /** Sends the newest view and the number of the committed one to all cores. */
  #broadcastView(coordinator: CoreNode): void {
    const { nowMs } = this.#events;
    if (nowMs - this.#lastBroadcastMs < RESEND_MS) return;
    this.#lastBroadcastMs = nowMs;
    const view = this.#view;
    const committed = this.#isCommitted ? view.number : view.number - 1;
    for (const core of this.#cores) {
      const { incarnation } = core.member;
      this.#send(coordinator, core, () => {
        if (core.member.incarnation !== incarnation) return;
        this.#notify(core, view, committed);
        if (core.view === view) this.#send(core, coordinator, () => this.#onInstalled(view, incarnation));
      });
    }
  }

  #notify(core: CoreNode, view: QuotaView, committed: number): void {
    const isMember = view.members.includes(core.member);
    if (isMember) core.install(view);
    else if (core.view !== undefined && core.view.number < view.number) core.renewIncarnation();
    core.onCommitted(committed);
  }

  #onInstalled(view: QuotaView, incarnation: string): void {
    if (view === this.#view) this.#installedBy.add(incarnation);
  }

  /** Commits a view once majorities of it and of the previous view have installed it or departed for good. */
  #tryCommit(): void {
    this.#isCommitted ||= [this.#view, this.#previousView].every(
      (one) =>
        one === undefined ||
        hasMajority(one, (member) => this.#installedBy.has(member.incarnation) || this.#isDeparted(member)),
    );
  }

  #startChange(coordinator: CoreNode): void {
    const { nowMs } = this.#events;
    const staying = new Map<Member, CoreNode>();
    for (const member of this.#view.members) {
      const core = this.coreOf(member.incarnation);
      const reachableMs = this.#lastReachableMs.get(member.incarnation) ?? 0;
      if (core !== undefined && nowMs - reachableMs < SUSPECT_TIMEOUT_MS) staying.set(member, core);
    }
    const stayingCores = new Set(staying.values());
    const joiners = this.#cores
      .filter((core) => this.#canJoin(coordinator, core) && !stayingCores.has(core))
      .map(({ member }) => member);
    if (staying.size === this.#view.members.length && joiners.length === 0) return;
    if (!hasMajority(this.#view, (member) => staying.has(member) || this.#isDeparted(member))) return;
    this.#change = { staying, joiners, flushed: new Set(), startedMs: nowMs, sentMs: -Infinity };
  }

  #canJoin(coordinator: CoreNode, core: CoreNode): boolean {
    const isOutside = core.view === undefined && !this.#view.members.includes(core.member);
    return isOutside && core.machine.isRunning && this.#areConnected(coordinator, core);
  }

  #collectFlushes(coordinator: CoreNode, change: ViewChange): void {
    const { nowMs } = this.#events;
    const missing = [...change.staying].filter(([{ incarnation }]) => !change.flushed.has(incarnation));
    if (missing.length === 0) {
      this.#chooseView(coordinator, change);
      return;
    }
    if (nowMs - change.startedMs > FLUSH_TIMEOUT_MS) {
      for (const [member] of missing) this.#lastReachableMs.set(member.incarnation, -Infinity);
      this.#change = undefined;
      return;
    }
    if (nowMs - change.sentMs < RESEND_MS) return;
    change.sentMs = nowMs;
    const stays = new Set([...change.staying.keys()].map(({ incarnation }) => incarnation));
    for (const [{ incarnation }, core] of missing) {
      this.#send(coordinator, core, () => {
        if (core.member.incarnation !== incarnation || core.view !== this.#view) return;
        core.flushedFor = stays;
        this.#send(core, coordinator, () => change.flushed.add(incarnation));
      });
    }
  }

  #chooseView(coordinator: CoreNode, change: ViewChange): void {
    this.#previousView = this.#view;
    this.#view = {
      epoch: this.#epoch,
      number: this.#previousView.number + 1,
      members: [...change.staying.keys(), ...change.joiners],
    };
    this.#change = undefined;
    this.#installedBy.clear();
    this.#isCommitted = false;
    this.#lastBroadcastMs = -Infinity;
    this.onViewChosen?.(this.#previousView, this.#view);
    const { onNextViewChosen } = this;
    this.onNextViewChosen = undefined;
    onNextViewChosen?.(coordinator);
  }

  #send(from: CoreNode, to: CoreNode, deliver: () => void): void {
    if (from === to) from.machine.run(deliver);
    else this.#network.send(from.machine, to.machine, deliver);
  }
}

function hasMajority(view: QuotaView, holds: (member: Member) => boolean): boolean {
  return view.members.filter(holds).length * 2 > view.members.length;
}
