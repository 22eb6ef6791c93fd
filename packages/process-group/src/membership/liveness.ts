/** Failure detection: which members answer heartbeats, and which members they suspect. */
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
 * The health of the other members as this node sees it: whether they answer
 * its heartbeats and keep up with its ordered channel, which members they
 * suspect, and which have said goodbye.
 * @example
 * if (!liveness.isLive('incarnation-2', nowMs)) suspects.push('incarnation-2');
 */
export class Liveness<S> {
  #collaborators: LivenessCollaborators<S>;
  #detector: FailureDetector;
  /** Incarnations that each member suspects, from its last heartbeat. */
  #suspectsByMember = new Map<string, readonly string[]>();
  /** Members whose last heartbeat says that they cannot coordinate. */
  #resigning = new Set<string>();
  #saidGoodbye = new Set<string>();

  constructor(collaborators: LivenessCollaborators<S>) {
    this.#collaborators = collaborators;
    this.#detector = new FailureDetector(collaborators.dependencies.times);
  }

  /** Must be called at every tick; returns for how many milliseconds this process was suspended. */
  tick(nowMs: number): number {
    return this.#detector.tick(nowMs);
  }

  /** Whether a member answers heartbeats and acknowledges ordered messages within `maxLagMs`. */
  isLive(incarnation: string, nowMs: number): boolean {
    const lagMs = this.#collaborators.transport.lagMs(incarnation, nowMs);
    return (
      lagMs <= this.#collaborators.dependencies.times.maxLagMs && this.#detector.live(incarnation, nowMs)
    );
  }

  /** Whether a majority of the view suspects this incarnation. */
  isReported(incarnation: string): boolean {
    const view = this.#collaborators.local.view;
    if (view === undefined) return false;
    const reports = view.members.filter((member) =>
      this.#suspectsByMember.get(member.incarnation)?.includes(incarnation),
    );
    return reports.length >= majority(view.members.length);
  }

  /** Whether a member's last heartbeat says that it cannot coordinate. */
  isResigning(incarnation: string): boolean {
    return this.#resigning.has(incarnation);
  }

  /** Whether an incarnation has left the group with a goodbye. */
  hasSaidGoodbye(incarnation: string): boolean {
    return this.#saidGoodbye.has(incarnation);
  }

  /** Starts to expect answers from an incarnation. */
  watch(incarnation: string, nowMs: number): void {
    this.#detector.watch(incarnation, nowMs);
  }

  /** Records that an incarnation has answered. */
  recordAnswer(incarnation: string, nowMs: number): void {
    this.#detector.answered(incarnation, nowMs);
  }

  /** Marks an incarnation as failed permanently. */
  markFailed(incarnation: string): void {
    this.#detector.report(incarnation);
  }

  /** Handles a goodbye: the incarnation counts as failed from now on. */
  onGoodbye(incarnation: string): void {
    this.#saidGoodbye.add(incarnation);
    this.#detector.report(incarnation);
  }

  /** Records which members a member suspects and whether it can coordinate. */
  onHeartbeat(from: string, heartbeat: Heartbeat): void {
    this.#suspectsByMember.set(from, heartbeat.suspects);
    if (heartbeat.resigning) this.#resigning.add(from);
    else this.#resigning.delete(from);
  }

  /** Stops watching an incarnation. */
  remove(incarnation: string): void {
    this.#detector.remove(incarnation);
  }

  /** Discards the suspicions reported in the previous view. */
  clearSuspects(): void {
    this.#suspectsByMember.clear();
  }

  clear(): void {
    this.#detector.clear();
    this.#suspectsByMember.clear();
  }
}
