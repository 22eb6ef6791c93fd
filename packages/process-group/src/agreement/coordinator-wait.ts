/** Why this node knows no coordinator that commits: what it waits for at this moment, for logs and operators. */
import type { Acceptor } from './acceptor.js';
import type { Coordinator } from './coordinator.js';
import type { CoordinatorWatch } from './coordinator-watch.js';
import type { Election } from './election.js';
import type { Founding } from './founding.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Discovery } from '../membership/discovery.js';
import type { DiskWatch } from '../membership/disk-watch.js';
import type { Leases } from '../leases/leases.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Voters } from './voters.js';

/** What a node without a coordinator waits for. */
export enum WaitPhase {
  /** A write to its own disk. */
  Disk = 'disk',
  /** The other founders. */
  Founding = 'founding',
  /** A group: this node's disk does not vote, so that only others can be elected. */
  Discovery = 'discovery',
  /** The time after a term that ended in vain, in which others go first. */
  Ineligible = 'ineligible',
  /** The voters before it in order, or its own back-off. */
  Turn = 'turn',
  /** Supporters in the pre-vote. */
  PreVote = 'pre-vote',
  /** Promises. */
  Prepare = 'prepare',
  /** As coordinator: voters that accept the version proposed. */
  Proposal = 'proposal',
  /** As coordinator: members that apply the version chosen. */
  Commit = 'commit',
  /** As coordinator: members that flush for the next view. */
  Flush = 'flush',
  /** As coordinator: a majority of the view that renews its lease. */
  Lease = 'lease',
}

/** A voter as this node sees it now. */
export interface VoterContact {
  readonly name: string;
  readonly disk: string;
  /** How long ago it was in touch outside a view, in milliseconds; null where it is not, or is this node. */
  readonly contactMsAgo: number | null;
  /** Whether it counts as live in this node's view. */
  readonly live: boolean;
}

/** What a node that knows no coordinator waits for. */
export interface CoordinatorWait {
  readonly phase: WaitPhase;
  /** For how long no coordinator that commits has been known, in milliseconds. */
  readonly waitedMs: number;
  /** Whose answer is missing: names, or ids of disks whose names are not known. */
  readonly missing: readonly string[];
  /** For how long this node's disk has synced nothing though writes wait, in milliseconds. */
  readonly diskMs: number;
  readonly epoch: number;
  readonly newestVersion: number;
  readonly inView: boolean;
  readonly voters: readonly VoterContact[];
}

/** What the report reads; it changes nothing. */
interface WaitCollaborators<S> {
  readonly coordinatorWatch: Pick<CoordinatorWatch<S>, 'live'>;
  readonly coordination: {
    readonly coordinator: Pick<Coordinator<S>, 'pendingStep' | 'ready'> | undefined;
    isIneligible(nowMs: number): boolean;
  };
  readonly dependencies: GroupDependencies<S>;
  readonly discovery: Pick<Discovery<S>, 'freshContacts'>;
  readonly diskWatch: Pick<DiskWatch, 'waitMs'>;
  readonly election: Pick<Election<S>, 'candidacy' | 'firstInOrder'>;
  readonly founding: Pick<Founding<S>, 'mayFound'>;
  readonly leases: Pick<Leases<S>, 'isHeld'>;
  readonly liveness: Pick<Liveness<S>, 'isLive'>;
  readonly local: LocalMember<S>;
  readonly voters: Pick<Voters<S>, 'list'>;
}

/** A phase, and who is missing in it: disks, unless they are names already. */
interface CurrentWait {
  readonly phase: WaitPhase;
  readonly missing: readonly string[];
}

/**
 * Notes since when no coordinator is known, and says what this node waits for.
 * @example
 * coordinatorWait.tick(nowMs);
 * coordinatorWait.report(nowMs)?.phase; // 'pre-vote'
 */
export class CoordinatorWaitReport<S> {
  #collaborators: WaitCollaborators<S>;
  #sinceMs: number | undefined;

  constructor(collaborators: WaitCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** To be called at every tick. */
  tick(nowMs: number): void {
    if (this.#isCoordinated()) this.#sinceMs = undefined;
    else this.#sinceMs ??= nowMs;
  }

  /** What this node waits for; undefined while it follows, or is, a coordinator that commits. */
  report(nowMs: number): CoordinatorWait | undefined {
    if (this.#sinceMs === undefined) return undefined;
    const { diskWatch, local } = this.#collaborators;
    const { phase, missing } = this.#currentWait(nowMs);
    return {
      phase,
      waitedMs: Math.round(nowMs - this.#sinceMs),
      missing: missing.map((nameOrDisk) => this.#nameOf(nameOrDisk)),
      diskMs: Math.round(diskWatch.waitMs(nowMs)),
      epoch: local.epoch,
      newestVersion: local.newestVersion,
      inView: local.inView,
      voters: this.#voterContacts(nowMs),
    };
  }

  #isCoordinated(): boolean {
    const { coordination, coordinatorWatch, leases, local } = this.#collaborators;
    const { coordinator } = coordination;
    if (coordinator !== undefined) return coordinator.ready && local.inView && leases.isHeld();
    return coordinatorWatch.live() !== undefined;
  }

  #currentWait(nowMs: number): CurrentWait {
    const { coordination, dependencies, election, founding } = this.#collaborators;
    const { coordinator } = coordination;
    if (coordinator !== undefined) return this.#waitAsCoordinator(coordinator, nowMs);
    const { acceptor } = dependencies;
    if (acceptor === undefined) return { phase: WaitPhase.Discovery, missing: [] };
    const attempt = election.candidacy?.missing();
    if (attempt !== undefined)
      return { phase: attempt.isPreVote ? WaitPhase.PreVote : WaitPhase.Prepare, missing: attempt.disks };
    if (acceptor.busy) return { phase: WaitPhase.Disk, missing: [acceptor.disk] };
    if (founding.mayFound()) return { phase: WaitPhase.Founding, missing: this.#missingFounders() };
    return this.#waitForElection(acceptor, nowMs);
  }

  #waitAsCoordinator(coordinator: Pick<Coordinator<S>, 'pendingStep'>, nowMs: number): CurrentWait {
    const step = coordinator.pendingStep();
    if (step !== undefined) return { phase: STEP_PHASES[step.step], missing: step.missing };
    const { liveness, local } = this.#collaborators;
    const notLive = local.others().filter((member) => !liveness.isLive(member.incarnation, nowMs));
    return { phase: WaitPhase.Lease, missing: notLive.map((member) => member.name) };
  }

  #waitForElection(acceptor: Acceptor, nowMs: number): CurrentWait {
    const { coordination, election, voters } = this.#collaborators;
    if (!voters.list().some((voter) => voter.disk === acceptor.disk))
      return { phase: WaitPhase.Discovery, missing: voters.list().map((voter) => voter.disk) };
    if (coordination.isIneligible(nowMs)) return { phase: WaitPhase.Ineligible, missing: [] };
    const first = election.firstInOrder();
    return { phase: WaitPhase.Turn, missing: first === undefined ? [] : [first] };
  }

  #missingFounders(): readonly string[] {
    const { dependencies, discovery } = this.#collaborators;
    const present = discovery
      .freshContacts()
      .filter((contact) => contact.founding)
      .flatMap(({ member }) => [member.name, member.address]);
    const ownNames = [dependencies.name, dependencies.address];
    return dependencies.founders.filter(
      (founder) => !ownNames.includes(founder) && !present.includes(founder),
    );
  }

  #nameOf(nameOrDisk: string): string {
    return this.#collaborators.voters.list().find((voter) => voter.disk === nameOrDisk)?.name ?? nameOrDisk;
  }

  #voterContacts(nowMs: number): VoterContact[] {
    const { discovery, liveness, local, voters } = this.#collaborators;
    const contacts = discovery.freshContacts();
    return voters.list().map(({ disk, name }) => {
      const contact = contacts.find(({ member }) => member.disk === disk);
      const member = local.others().find((known) => known.disk === disk);
      return {
        name,
        disk,
        contactMsAgo: contact === undefined ? null : Math.round(nowMs - contact.atMs),
        live: member !== undefined && liveness.isLive(member.incarnation, nowMs),
      };
    });
  }
}

const STEP_PHASES = {
  proposal: WaitPhase.Proposal,
  commit: WaitPhase.Commit,
  flush: WaitPhase.Flush,
} as const;
