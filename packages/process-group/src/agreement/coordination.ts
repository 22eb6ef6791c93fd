/** This node's term as coordinator: its start, its end, and the context passed to the coordinator. */
import { create } from '@bufbuild/protobuf';
import {
  EntrySchema,
  ProposeSchema,
  type Accepted,
  type Propose,
  type Submit,
  type Version,
} from '@rainrun/messages';
import { backoffMs } from '@rainrun/common';
import { Coordinator } from './coordinator.js';
import type { CoordinatorContext } from './coordinator-context.js';
import type { CoordinatorWatch } from './coordinator-watch.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { Discovery } from '../membership/discovery.js';
import type { Leases } from '../leases/leases.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Transport } from '../transport/transport.js';
import type { Versions } from './versions.js';
import type { ViewChange } from '../membership/view-change.js';
import type { Voters } from './voters.js';
import { fromVersion } from './group-state.js';

/** Multiplies the stall limit in a view: members have a coordinator, and slow disks are the usual cause. */
const STALL_FACTOR_IN_VIEW = 2;

/** What a coordinator's term needs from the other parts of the group. */
interface CoordinationCollaborators<S> {
  readonly coordinatorWatch: CoordinatorWatch<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly discovery: Discovery<S>;
  readonly leases: Leases<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
  readonly versions: Versions<S>;
  readonly viewChange: ViewChange<S>;
  readonly voters: Voters<S>;
  /** Informed of proposals that arrive and of the end of this node's term. */
  readonly election: {
    readonly candidacy: { noteProposal(): void; onResigned(): void } | undefined;
  };
}

/**
 * Holds the coordinator object while this node coordinates. Ends the term when a newer epoch
 * is heard of, when no majority renews the lease for too long, or when the term makes no progress.
 * @example
 * coordination.start(3, version); // a majority promised epoch 3
 * coordination.coordinator?.epoch; // 3
 */
export class Coordination<S> {
  #collaborators: CoordinationCollaborators<S>;
  #coordinator: Coordinator<S> | undefined;
  #ineligibleUntilMs = -Infinity;
  #leaseLostMs: number | undefined;
  /** The last progress of the term and when it was made, while the term waits for a version. */
  #lastProgress: { readonly progress: number; readonly sinceMs: number } | undefined;
  /** Number of consecutive terms that ended without progress. */
  #stalledTerms = 0;

  constructor(collaborators: CoordinationCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** The coordinator object; undefined while this node does not coordinate. */
  get coordinator(): Coordinator<S> | undefined {
    return this.#coordinator;
  }

  /** Whether this node has resigned and still leaves elections to others. */
  isIneligible(nowMs: number): boolean {
    return nowMs < this.#ineligibleUntilMs;
  }

  /**
   * Whether this coordinator has had no lease for more than `suspectMs`. Its heartbeats then say so, and
   * members that still hear it stop following it and support another candidate.
   */
  isUnsupported(nowMs: number): boolean {
    const { suspectMs } = this.#collaborators.dependencies.times;
    return this.#leaseLostMs !== undefined && nowMs - this.#leaseLostMs > suspectMs;
  }

  /**
   * Drives the coordinator. It resigns when a majority of its view has not renewed its lease for
   * `resignMs`, when its term makes no progress, and when a voter's rejection blocks its proposal.
   */
  tick(nowMs: number): void {
    const { dependencies, leases, local } = this.#collaborators;
    const { resignMs } = dependencies.times;
    if (!local.inView || leases.isHeld()) this.#leaseLostMs = undefined;
    else this.#leaseLostMs ??= nowMs;
    if (this.#leaseLostMs !== undefined && nowMs - this.#leaseLostMs > resignMs)
      return this.#resignFor(2 * resignMs, nowMs);
    if (this.#isStalled(nowMs)) return this.#resignStalled(nowMs);
    if (this.#coordinator?.isOpposed(nowMs) === true) return this.#resign();
    this.#coordinator?.tick(nowMs);
  }

  /**
   * Whether this term has chosen and committed no version for too long although it is in no view or has a
   * proposal open. The lease does not show this: the members that renew it need not be the voters whose
   * answers are missing.
   */
  #isStalled(nowMs: number): boolean {
    const { local } = this.#collaborators;
    const coordinator = this.#coordinator;
    if (coordinator === undefined || (local.inView && !coordinator.isProposing)) {
      this.#lastProgress = undefined;
      if (coordinator !== undefined) this.#stalledTerms = 0;
      return false;
    }
    const { progress } = coordinator;
    if (this.#lastProgress?.progress !== progress) this.#lastProgress = { progress, sinceMs: nowMs };
    const factor = local.inView ? STALL_FACTOR_IN_VIEW : 1;
    return nowMs - this.#lastProgress.sinceMs > factor * this.#stallMaxMs();
  }

  /** The stall limit. It grows with each consecutive stalled term: disks and links may be slow everywhere. */
  #stallMaxMs(): number {
    const { resignMs, suspectMs } = this.#collaborators.dependencies.times;
    return backoffMs({ firstMs: suspectMs, maxMs: 2 * resignMs }, this.#stalledTerms);
  }

  #resignStalled(nowMs: number): void {
    this.#resignFor(this.#stallMaxMs(), nowMs);
    this.#stalledTerms += 1;
  }

  /** Resigns, and stands for no election for `ineligibleMs`. */
  #resignFor(ineligibleMs: number, nowMs: number): void {
    this.#ineligibleUntilMs = nowMs + ineligibleMs;
    this.#resign();
  }

  /** Starts a term after a quorum has promised the epoch; this node coordinates from `version` on. */
  start(epoch: number, version: Version): void {
    const { coordinatorWatch, dependencies, leases, local } = this.#collaborators;
    const base = fromVersion(dependencies.stateMachine, version);
    if (base.isErr) return;
    this.#leaveIfBehind(base.value.number);
    local.learnEpoch(epoch);
    this.#leaseLostMs = undefined;
    leases.restartSingleton();
    this.#coordinator = new Coordinator(
      this.#context(),
      epoch,
      base.value,
      version.entry ?? create(EntrySchema),
      local.nowMs(),
      (number) => local.learnCommitted(number),
    );
    coordinatorWatch.follow(local.incarnation, epoch, false);
    this.#coordinator.tick(local.nowMs());
  }

  /**
   * Leaves the view if this node lacks more than the base version itself. It could not deliver what it
   * is about to propose, and no other member could send it the missing versions. It continues outside
   * the view and installs a snapshot with the next view.
   */
  #leaveIfBehind(baseNumber: number): void {
    const { local, viewChange } = this.#collaborators;
    if (local.inView && (local.state?.number ?? 0) < baseNumber - 1) viewChange.rejoin();
  }

  /** Resigns if `epoch` is newer than the epoch of this node's term. */
  resignIfBefore(epoch: number): void {
    if (this.#coordinator !== undefined && epoch > this.#coordinator.epoch) this.#resign();
  }

  /** Ends this node's term without informing the election; the node rejoins under a new incarnation. */
  drop(): void {
    this.#endTerm();
  }

  /** Handles an operation submitted by a member or by this node itself. */
  onSubmit(from: string, submit: Submit): void {
    const { local } = this.#collaborators;
    const member =
      from === local.incarnation
        ? local.self
        : local.view?.members.find((known) => known.incarnation === from);
    if (submit.operation !== undefined && member !== undefined)
      this.#coordinator?.submit(submit.operation, member);
  }

  /** Passes a coordinator's proposal to this node's acceptor, if it votes or has voted. */
  onPropose(from: string, propose: Propose): void {
    const { dependencies, directory, election, local, transport } = this.#collaborators;
    const { acceptor } = dependencies;
    const member = directory.member(from);
    const { version } = propose;
    if (acceptor === undefined || member === undefined || version === undefined) return;
    const isVoter = version.state?.voters.some((voter) => voter.disk === acceptor.disk) ?? false;
    if (!isVoter && acceptor.accepted === undefined) return;
    this.resignIfBefore(version.epoch);
    if (version.epoch >= local.epoch) election.candidacy?.noteProposal();
    acceptor.accept(propose, (accepted) => transport.send(member, { case: 'accepted', value: accepted }));
  }

  /** Handles a voter's reply to this coordinator's proposal. */
  onAccepted(accepted: Accepted): void {
    if (this.#coordinator !== undefined && accepted.seenEpoch > this.#coordinator.epoch) {
      this.#collaborators.local.learnEpoch(accepted.seenEpoch);
      return this.#resign();
    }
    this.#coordinator?.onAccepted(accepted);
  }

  #endTerm(): void {
    this.#coordinator = undefined;
    this.#leaseLostMs = undefined;
    this.#lastProgress = undefined;
  }

  #resign(): void {
    this.#endTerm();
    this.#collaborators.election.candidacy?.onResigned();
    this.#collaborators.coordinatorWatch.unfollowSelf();
  }

  #context(): CoordinatorContext<S> {
    const { dependencies, discovery, liveness, local, transport, versions, viewChange, voters } =
      this.#collaborators;
    const { stateMachine, times, acceptor } = dependencies;
    return {
      stateMachine,
      times,
      disk: acceptor?.disk ?? '',
      desiredVoterCount: dependencies.desiredVoterCount ?? 0,
      self: () => local.self,
      appliedVersion: () => local.appliedVersion,
      hasLeft: (incarnation) => liveness.hasSaidGoodbye(incarnation),
      isLive: (incarnation) => liveness.isLive(incarnation, local.nowMs()),
      isReported: (incarnation) => liveness.isReported(incarnation),
      joiners: () => discovery.joiners(),
      memberOfVoter: (disk) => voters.memberOf(disk),
      send: (member, body) => transport.send(member, body),
      sendOrdered: (member, body) => transport.sendOrdered(member, body),
      vote: (version) => {
        const value = create(ProposeSchema, { disk: acceptor?.disk ?? '', version });
        acceptor?.accept(value, (accepted) => this.onAccepted(accepted));
      },
      flushSelf: (change, staying) => viewChange.flush(local.epoch, change, staying).unstableCasts,
      deliverSelf: (version) => versions.receive(local.incarnation, version),
    };
  }
}
