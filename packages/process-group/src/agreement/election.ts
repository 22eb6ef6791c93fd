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
 * Least time that a voter waits for the voters that precede it, as a fraction of `suspectMs`.
 * A random fraction from 0 to 1 is added, so that two voters rarely try at the same time.
 */
const TURN_WAIT_FRACTION = 1 / 2;

/** What an election needs from the other parts of the group. */
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
 * Decides when a voter that does not coordinate becomes a candidate for the next epoch: when it
 * hears no coordinator and can reach no voter that precedes it. It waits only a bounded time for
 * the voters that precede it, since a reachable voter may still be unable to win: its disk may be
 * slow, its links to others may be down, or it may not know that it is a voter. The pre-vote keeps
 * a candidate that does not wait its turn from deposing a working coordinator.
 * @example
 * election.tick(nowMs); // while this node does not coordinate
 */
export class Election<S> {
  #collaborators: ElectionCollaborators<S>;
  #candidacy: Candidacy | undefined;
  /** When this voter stops waiting for the voters that precede it; undefined while a coordinator is heard. */
  #turnDeadlineMs: number | undefined;

  constructor(collaborators: ElectionCollaborators<S>) {
    this.#collaborators = collaborators;
    const { acceptor } = collaborators.dependencies;
    this.#candidacy = acceptor === undefined ? undefined : new Candidacy(this.#candidacyContext(acceptor));
  }

  /** This node's candidacies and its answers to other candidates; undefined on a node without a disk. */
  get candidacy(): Candidacy | undefined {
    return this.#candidacy;
  }

  /** Founds the group, drives the candidacy in progress, or begins one if it is this node's turn. */
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

  /** The disk of the voter that this node waits for; undefined if there is none or this node is next. */
  firstInOrder(): string | undefined {
    const { dependencies, local, voters } = this.#collaborators;
    const disks = voters.list().map((voter) => voter.disk);
    const ownDisk = dependencies.acceptor?.disk ?? '';
    const first = local.inView
      ? this.#firstMemberInOrder(disks, local.nowMs())?.disk
      : this.#firstContactInOrder(disks, ownDisk);
    return first === ownDisk ? undefined : first;
  }

  /** Called after the process was suspended: restarts the wait for the voters that precede this one. */
  onResume(nowMs: number): void {
    this.#turnDeadlineMs = undefined;
    this.#candidacy?.onResume(nowMs);
  }

  /** Whether this voter is next in order, or has waited long enough for the voters that precede it. */
  #isTurn(candidacy: Candidacy, disk: string, nowMs: number): boolean {
    const { coordinatorWatch, dependencies, voters } = this.#collaborators;
    if (coordinatorWatch.live() !== undefined || !voters.list().some((voter) => voter.disk === disk))
      return false;
    const { suspectMs } = dependencies.times;
    this.#turnDeadlineMs ??= nowMs + suspectMs * (TURN_WAIT_FRACTION + candidacy.jitter);
    return nowMs >= this.#turnDeadlineMs || this.#isNext(disk, nowMs);
  }

  /**
   * Whether every voter is reachable and none is in a view, as after a power failure of all cores. The
   * initial wait is unnecessary then. After a failed attempt the back-off applies, so that candidates do
   * not keep deposing one another.
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
   * Whether no voter that precedes this one can be reached. Members of the view come first, in the view's
   * order; a voter that has restarted under a new incarnation comes after them. A voter outside a view does
   * not wait for one with an older version, which may know an outdated voter set and be unable to win.
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
