/** Failure detection: which members answer, and what they say of one another. */
import { FailureDetector } from '@rainrun/failure-detector';
import type { Heartbeat } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { LocalMember } from './local-member.js';
import type { Transport } from '../transport/transport.js';
import { majority } from '../agreement/quorum.js';

/** What failure detection needs. */
interface LivenessCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
}

/**
 * What this node knows of the health of the others: whether they answer its
 * heartbeats and keep up with its channel, whom they suspect themselves, and
 * who has said goodbye.
 * @example
 * if (!liveness.isLive('incarnation-2', nowMs)) suspects.push('incarnation-2');
 */
export class Liveness<S> {
  #collaborators: LivenessCollaborators<S>;
  #detector: FailureDetector;
  /** Whom each member suspects, as its last heartbeat said. */
  #suspectsByMember = new Map<string, readonly string[]>();
  /** Members that cannot coordinate now, as their last heartbeat said. */
  #resigning = new Set<string>();
  #saidGoodbye = new Set<string>();

  constructor(collaborators: LivenessCollaborators<S>) {
    this.#collaborators = collaborators;
    this.#detector = new FailureDetector(collaborators.dependencies.times);
  }

  /** To be called at every tick; returns for how many milliseconds this process itself was suspended. */
  tick(nowMs: number): number {
    return this.#detector.tick(nowMs);
  }

  /** Live: answers our heartbeats and does not lag behind our ordered messages beyond the bound. */
  isLive(incarnation: string, nowMs: number): boolean {
    const lagMs = this.#collaborators.transport.lagMs(incarnation, nowMs);
    return (
      lagMs <= this.#collaborators.dependencies.times.maxLagMs && this.#detector.live(incarnation, nowMs)
    );
  }

  /** Whether most members say that they cannot reach this incarnation. */
  isReported(incarnation: string): boolean {
    const view = this.#collaborators.local.view;
    if (view === undefined) return false;
    const reports = view.members.filter((member) =>
      this.#suspectsByMember.get(member.incarnation)?.includes(incarnation),
    );
    return reports.length >= majority(view.members.length);
  }

  /** Whether a member says that it cannot coordinate now. */
  isResigning(incarnation: string): boolean {
    return this.#resigning.has(incarnation);
  }

  /** Whether an incarnation has left in order. */
  hasSaidGoodbye(incarnation: string): boolean {
    return this.#saidGoodbye.has(incarnation);
  }

  /** Begins to expect answers of an incarnation. */
  watch(incarnation: string, nowMs: number): void {
    this.#detector.watch(incarnation, nowMs);
  }

  /** Notes that an incarnation has answered. */
  recordAnswer(incarnation: string, nowMs: number): void {
    this.#detector.answered(incarnation, nowMs);
  }

  /** Holds an incarnation for failed, for good. */
  markFailed(incarnation: string): void {
    this.#detector.report(incarnation);
  }

  /** Takes a goodbye: the incarnation counts as failed from now on. */
  onGoodbye(incarnation: string): void {
    this.#saidGoodbye.add(incarnation);
    this.#detector.report(incarnation);
  }

  /** Takes what a member says of itself and the others. */
  onHeartbeat(from: string, heartbeat: Heartbeat): void {
    this.#suspectsByMember.set(from, heartbeat.suspects);
    if (heartbeat.resigning) this.#resigning.add(from);
    else this.#resigning.delete(from);
  }

  /** Ceases to watch an incarnation. */
  remove(incarnation: string): void {
    this.#detector.remove(incarnation);
  }

  /** A new view: what was said of members of the old one does not count. */
  clearSuspects(): void {
    this.#suspectsByMember.clear();
  }

  clear(): void {
    this.#detector.clear();
    this.#suspectsByMember.clear();
  }
}
