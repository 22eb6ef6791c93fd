/** Decides when this node becomes a candidate for the next epoch. */
import type { Acceptor } from './acceptor.js';
import { Candidacy, type CandidacyContext } from './candidacy.js';
import type { Coordination } from './coordination.js';
import type { CoordinatorWatch } from './coordinator-watch.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { Discovery } from '../membership/discovery.js';
import type { Founding } from './founding.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Transport } from '../transport/transport.js';
import type { Member } from '@rainrun/messages';
import type { Voters } from './voters.js';

/**
 * How long a voter that could be a candidate waits for the voters before it, as a part of
 * `suspectMs`: half of it, and a random part of it beyond, so that two rarely try at once.
 */
const TURN_WAIT_FRACTION = 1 / 2;

/** What elections need. */
interface ElectionCollaborators<S> {
  readonly coordination: Coordination<S>;
  readonly coordinatorWatch: CoordinatorWatch<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly discovery: Discovery<S>;
  readonly founding: Founding<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
  readonly voters: Voters<S>;
}

/**
 * Decides when a voter that does not coordinate becomes a candidate for the next epoch: when
 * no coordinator is heard and no voter that comes before it can be reached. It waits for those
 * before it for a bounded time only: one that is in touch may still be unable to be elected,
 * for its disk, for links to others, or because it does not know itself for a voter. The
 * pre-vote keeps a voter that goes out of turn from deposing a coordinator at work.
 * @example
 * election.tick(nowMs); // while this node does not coordinate
 */
export class Election<S> {
  #collaborators: ElectionCollaborators<S>;
  #candidacy: Candidacy | undefined;
  /** When this voter goes without regard to the voters before it, while no coordinator is heard. */
  #turnDeadlineMs: number | undefined;

  constructor(collaborators: ElectionCollaborators<S>) {
    this.#collaborators = collaborators;
    const { acceptor } = collaborators.dependencies;
    this.#candidacy = acceptor === undefined ? undefined : new Candidacy(this.#candidacyContext(acceptor));
  }

  /** This node's candidacy and its answers to other candidates; only on a node with a disk. */
  get candidacy(): Candidacy | undefined {
    return this.#candidacy;
  }

  /** Founds the group, drives the candidacy under way, or begins one if this node is the next in order. */
  tick(nowMs: number): void {
    const { coordination, coordinatorWatch, dependencies, founding } = this.#collaborators;
    const { acceptor } = dependencies;
    const candidacy = this.#candidacy;
    if (acceptor === undefined || candidacy === undefined) return;
    if (founding.mayFound()) return founding.tick();
    if (candidacy.isUnderWay) return candidacy.tick(nowMs);
    if (coordinatorWatch.live() !== undefined) this.#turnDeadlineMs = undefined;
    if (!candidacy.isDue(nowMs) && !this.#mayStartEarly(candidacy, acceptor)) return;
    if (coordination.isIneligible(nowMs) || acceptor.busy) return;
    if (!this.#isTurn(candidacy, acceptor.disk, nowMs)) return;
    if (candidacy.isCoordinated(undefined, nowMs) || candidacy.isHoldingPromise(undefined, nowMs)) return;
    candidacy.begin(nowMs);
  }

  /** The disk of the voter that this node lets go first; undefined if it is itself the next. */
  firstInOrder(): string | undefined {
    const { dependencies, local, voters } = this.#collaborators;
    const disks = voters.list().map((voter) => voter.disk);
    const ownDisk = dependencies.acceptor?.disk ?? '';
    const first = local.inView
      ? this.#firstMemberInOrder(disks, local.nowMs())?.disk
      : this.#firstContactInOrder(disks, ownDisk);
    return first === ownDisk ? undefined : first;
  }

  /** The process was suspended: the voters before this one get their time anew. */
  onResume(nowMs: number): void {
    this.#turnDeadlineMs = undefined;
    this.#candidacy?.onResume(nowMs);
  }

  /** Whether this node is the next in order, or has waited long enough for those before it. */
  #isTurn(candidacy: Candidacy, disk: string, nowMs: number): boolean {
    const { coordinatorWatch, dependencies, voters } = this.#collaborators;
    if (coordinatorWatch.live() !== undefined || !voters.list().some((voter) => voter.disk === disk))
      return false;
    const { suspectMs } = dependencies.times;
    this.#turnDeadlineMs ??= nowMs + suspectMs * (TURN_WAIT_FRACTION + candidacy.jitter);
    return nowMs >= this.#turnDeadlineMs || this.#isNext(disk, nowMs);
  }

  /**
   * Whether every voter is there and none is in a view, as after a loss of power everywhere: nobody need be waited
   * for. After a first attempt the back-off counts, lest candidates go on to depose one another.
   */
  #mayStartEarly(candidacy: Candidacy, acceptor: Acceptor): boolean {
    const { discovery, local, voters } = this.#collaborators;
    const knownVoters = voters.list();
    if (candidacy.hasFailed || local.inView || knownVoters.length === 0) return false;
    const outside = discovery.freshContacts().filter((contact) => !contact.inView);
    return knownVoters.every(
      ({ disk }) => disk === acceptor.disk || outside.some((contact) => contact.member.disk === disk),
    );
  }

  /**
   * Whether no voter of lower rank can be reached. Members come first, in the
   * view's order; a voter that is back under a new incarnation comes after them.
   * Outside a view nobody waits for a voter with an older version: that one may
   * know too little of the voters to be elected.
   */
  #isNext(disk: string, nowMs: number): boolean {
    const { local, voters } = this.#collaborators;
    const disks = voters.list().map((voter) => voter.disk);
    if (!local.inView) return this.#firstContactInOrder(disks, disk) === disk;
    return this.#firstMemberInOrder(disks, nowMs)?.incarnation === local.incarnation;
  }

  #firstMemberInOrder(disks: readonly string[], nowMs: number): Member | undefined {
    const { liveness, local } = this.#collaborators;
    return local.view?.members.find(
      ({ disk, incarnation }) =>
        incarnation === local.incarnation ||
        (disks.includes(disk) && liveness.isLive(incarnation, nowMs) && !liveness.isResigning(incarnation)),
    );
  }

  #firstContactInOrder(disks: readonly string[], ownDisk: string): string | undefined {
    const { discovery, local } = this.#collaborators;
    const contacts = discovery.freshContacts();
    const member = contacts.find((contact) => contact.inView && disks.includes(contact.member.disk));
    if (member !== undefined) return member.member.disk;
    const minVersion = Math.max(1, local.newestVersion);
    return disks.find(
      (disk) =>
        disk === ownDisk ||
        contacts.some((contact) => contact.newestVersion >= minVersion && contact.member.disk === disk),
    );
  }

  #candidacyContext(acceptor: Acceptor): CandidacyContext {
    const { coordination, coordinatorWatch, dependencies, directory, local, transport, voters } =
      this.#collaborators;
    const { times, chance: random } = dependencies;
    return {
      acceptor,
      times,
      random,
      nowMs: () => local.nowMs(),
      voters: () => voters.sets(),
      memberOfVoter: (disk) => voters.memberOf(disk),
      member: (incarnation) => directory.member(incarnation),
      send: (member, body) => transport.send(member, body),
      followedCoordinator: () => coordinatorWatch.live()?.incarnation,
      epoch: () => local.epoch,
      learnEpoch: (epoch) => local.learnEpoch(epoch),
      becomeCoordinator: (epoch, version) => coordination.start(epoch, version),
    };
  }
}
