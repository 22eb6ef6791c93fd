/** Directory of the known nodes and of the addresses at which nodes may be found. */
import type { Member } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';

/**
 * The nodes that this node has heard of, by incarnation, and every address at which a node may be found.
 * An incarnation can be removed; its address is kept.
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

  /** All known addresses, in the order in which they were learned. */
  get addresses(): ReadonlySet<string> {
    return this.#addresses;
  }

  /** A node by its incarnation, if it is known. */
  member(incarnation: string): Member | undefined {
    return this.#members.get(incarnation);
  }

  /** The known incarnations; entries may be removed during the iteration. */
  incarnations(): IterableIterator<string> {
    return this.#members.keys();
  }

  /** Records a node and its address. */
  learn(member: Member): void {
    this.#members.set(member.incarnation, member);
    if (member.address !== this.#ownAddress) this.#addresses.add(member.address);
  }

  /** Records a node as a destination, without adding its address to those that discovery contacts. */
  learnMember(member: Member): void {
    this.#members.set(member.incarnation, member);
  }

  /** Records an address at which a node may be found. */
  learnAddress(address: string): void {
    this.#addresses.add(address);
  }

  /** Records the addresses of a view's members, so that this node can find them from outside the view. */
  learnAddresses(members: readonly Member[]): void {
    for (const member of members) this.#addresses.add(member.address);
    this.#addresses.delete(this.#ownAddress);
  }

  /** Drops an incarnation; its address is kept. */
  remove(incarnation: string): void {
    this.#members.delete(incarnation);
  }
}
