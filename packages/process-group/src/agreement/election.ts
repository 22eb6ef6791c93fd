/** Decides when this node becomes a candidate for the next epoch. */
import type { Acceptor } from './acceptor.js';
import { Candidacy, type CandidacyContext } from './candidacy.js';
import type { GroupParts } from '../group-parts.js';

type ElectionParts<S> = Pick<
  GroupParts<S>,
  | 'coordination'
  | 'coordinatorWatch'
  | 'dependencies'
  | 'directory'
  | 'discovery'
  | 'founding'
  | 'liveness'
  | 'local'
  | 'transport'
  | 'voters'
>;

/**
 * Decides when a voter that does not coordinate becomes a candidate for the next epoch: when
 * no coordinator is heard and no voter that comes before it can be reached.
 * @example
 * election.tick(nowMs); // while this node does not coordinate
 */
export class Election<S> {
  #parts: ElectionParts<S>;
  #candidacy: Candidacy | undefined;

  constructor(parts: ElectionParts<S>) {
    this.#parts = parts;
    const { acceptor } = parts.dependencies;
    this.#candidacy = acceptor === undefined ? undefined : new Candidacy(this.#candidacyContext(acceptor));
  }

  /** This node's candidacy and its answers to other candidates; only on a node with a disk. */
  get candidacy(): Candidacy | undefined {
    return this.#candidacy;
  }

  tick(nowMs: number): void {
    const { coordination, dependencies, founding } = this.#parts;
    const { acceptor } = dependencies;
    const candidacy = this.#candidacy;
    if (acceptor === undefined || candidacy === undefined) return;
    if (founding.mayFound()) return founding.tick();
    if (candidacy.isUnderWay) return candidacy.tick(nowMs);
    if (!candidacy.isDue(nowMs) && !this.#isEveryVoterOutside(acceptor)) return;
    if (coordination.isIneligible(nowMs) || acceptor.busy) return;
    if (!candidacy.isCoordinated(undefined, nowMs) && this.#isNext(acceptor.disk, nowMs))
      candidacy.begin(nowMs);
  }

  /** Whether every voter is there and none is in a view, as after a loss of power everywhere: nobody need be waited for. */
  #isEveryVoterOutside(acceptor: Acceptor): boolean {
    const { discovery, local, voters } = this.#parts;
    const known = voters.list();
    if (local.inView || known.length === 0) return false;
    const outside = discovery.freshContacts().filter((contact) => !contact.inView);
    return known.every(
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
    const { local, voters } = this.#parts;
    const disks = voters.list().map((voter) => voter.disk);
    if (!disks.includes(disk)) return false;
    return local.inView ? this.#isFirstMember(disks, nowMs) : this.#isFirstOutside(disks, disk);
  }

  #isFirstMember(disks: readonly string[], nowMs: number): boolean {
    const { liveness, local } = this.#parts;
    const first = local.view?.members.find(
      ({ disk, incarnation }) =>
        incarnation === local.incarnation ||
        (disks.includes(disk) && liveness.isLive(incarnation, nowMs) && !liveness.isResigning(incarnation)),
    );
    return first?.incarnation === local.incarnation;
  }

  #isFirstOutside(disks: readonly string[], ownDisk: string): boolean {
    const { discovery, local } = this.#parts;
    const contacts = discovery.freshContacts();
    if (contacts.some((contact) => contact.inView && disks.includes(contact.member.disk))) return false;
    const number = Math.max(1, local.newestVersion);
    const first = disks.find(
      (disk) =>
        disk === ownDisk ||
        contacts.some((contact) => contact.newestVersion >= number && contact.member.disk === disk),
    );
    return first === ownDisk;
  }

  #candidacyContext(acceptor: Acceptor): CandidacyContext {
    const { coordination, coordinatorWatch, dependencies, directory, local, transport, voters } = this.#parts;
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
