/** Which nodes are known, and where. */
import type { Member } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';

/**
 * The nodes that this one has heard of: by incarnation as long as they
 * matter, and every address at which a node may be found again.
 * @example
 * directory.learn(hello.sender);
 * directory.member('incarnation-2')?.address;
 */
export class Directory<S> {
  #ownAddress: string;
  #members = new Map<string, Member>();
  #addresses = new Set<string>();

  constructor(dependencies: GroupDependencies<S>) {
    this.#ownAddress = dependencies.address;
    const accepted = dependencies.acceptor?.accepted;
    for (const member of accepted?.state?.view?.members ?? []) this.#addresses.add(member.address);
  }

  /** Every address heard of, in the order in which they came. */
  get addresses(): ReadonlySet<string> {
    return this.#addresses;
  }

  /** A node by its incarnation, if it is known. */
  member(incarnation: string): Member | undefined {
    return this.#members.get(incarnation);
  }

  /** Incarnations known; entries may be removed while this is read. */
  incarnations(): IterableIterator<string> {
    return this.#members.keys();
  }

  /** Remembers a node and its address. */
  learn(member: Member): void {
    this.#members.set(member.incarnation, member);
    if (member.address !== this.#ownAddress) this.#addresses.add(member.address);
  }

  /** Remembers a node that is sent to, but no address to look for it later. */
  learnMember(member: Member): void {
    this.#members.set(member.incarnation, member);
  }

  /** Remembers an address at which a node may be found. */
  learnAddress(address: string): void {
    this.#addresses.add(address);
  }

  /** Remembers where the members of a view were, to find them again from outside. */
  learnAddresses(members: readonly Member[]): void {
    for (const member of members) this.#addresses.add(member.address);
    this.#addresses.delete(this.#ownAddress);
  }

  /** Drops an incarnation; its address is kept. */
  remove(incarnation: string): void {
    this.#members.delete(incarnation);
  }
}
