/** Reports to logs and operators what a node that knows no committing coordinator is waiting for. */
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

/** What a node that knows no committing coordinator is waiting for. */
export enum WaitPhase {
  /** The sync of a write to its own disk. */
  Disk = 'disk',
  /** The other founders, to found the group. */
  Founding = 'founding',
  /** Contact with the group: this node's disk does not vote, so only other nodes can be elected. */
  Discovery = 'discovery',
  /** The end of its time after a resignation, during which elections are left to other voters. */
  Ineligible = 'ineligible',
  /** The voters that precede it in order, or its own back-off. */
  Turn = 'turn',
  /** Support of more voters in the pre-vote. */
  PreVote = 'pre-vote',
  /** Promises of more voters in the prepare phase. */
  Prepare = 'prepare',
  /** As coordinator: acceptance of the proposed version by a quorum of voters. */
  Proposal = 'proposal',
  /** As coordinator: application of the chosen version by a majority of the view. */
  Commit = 'commit',
  /** As coordinator: the flush replies of members for the next view. */
  Flush = 'flush',
  /** As coordinator: renewal of its lease by a majority of the view. */
  Lease = 'lease',
}

/** What this node knows of a voter's reachability. */
export interface VoterContact {
  readonly name: string;
  readonly disk: string;
  /** Age of the last contact outside a view, in milliseconds; null if there is no fresh one. */
  readonly contactMsAgo: number | null;
  /** Whether it is a live member of this node's view. */
  readonly live: boolean;
}

/** The report of a node that knows no committing coordinator. */
export interface CoordinatorWait {
  readonly phase: WaitPhase;
  /** How long no committing coordinator has been known, in milliseconds. */
  readonly waitedMs: number;
  /** The nodes whose answer is missing, by name, or by disk id where the name is unknown. */
  readonly missing: readonly string[];
  /** How long this node's disk has synced nothing although writes wait, in milliseconds. */
  readonly diskMs: number;
  readonly epoch: number;
  readonly newestVersion: number;
  readonly inView: boolean;
  readonly voters: readonly VoterContact[];
}

/** The parts of the group that the report reads. */
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

/** A phase and the nodes whose answer is missing in it, by name or disk id. */
interface CurrentWait {
  readonly phase: WaitPhase;
  readonly missing: readonly string[];
}

/**
 * Measures how long no committing coordinator has been known, and reports what this node is waiting for.
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

  /** Called at every tick; records since when no committing coordinator has been known. */
  tick(nowMs: number): void {
    if (this.#isCoordinated()) this.#sinceMs = undefined;
    else this.#sinceMs ??= nowMs;
  }

  /** What this node is waiting for; undefined while it follows a coordinator or is one that commits. */
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
