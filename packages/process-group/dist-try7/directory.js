/**
 * The nodes that this one has heard of: by incarnation as long as they
 * matter, and every address at which a node may be found again.
 * @example
 * directory.learn(hello.seat);
 * directory.seat('incarnation-2')?.address;
 */
export class Directory {
    #ownAddress;
    #seats = new Map();
    #addresses = new Set();
    constructor(dependencies) {
        this.#ownAddress = dependencies.address;
        const accepted = dependencies.acceptor?.accepted;
        for (const member of accepted?.state?.view?.members ?? [])
            this.#addresses.add(member.address);
    }
    /** Every address heard of, in the order in which they came. */
    get addresses() {
        return this.#addresses;
    }
    seat(incarnation) {
        return this.#seats.get(incarnation);
    }
    /** Incarnations known; entries may be forgotten while this is read. */
    incarnations() {
        return this.#seats.keys();
    }
    /** Remembers a node and its address. */
    learn(seat) {
        this.#seats.set(seat.incarnation, seat);
        if (seat.address !== this.#ownAddress)
            this.#addresses.add(seat.address);
    }
    /** Remembers a node that is sent to, but no address to look for it later. */
    remember(seat) {
        this.#seats.set(seat.incarnation, seat);
    }
    learnAddress(address) {
        this.#addresses.add(address);
    }
    /** Remembers where the members of a view were, to find them again from outside. */
    learnAddresses(members) {
        for (const member of members)
            this.#addresses.add(member.address);
        this.#addresses.delete(this.#ownAddress);
    }
    forget(incarnation) {
        this.#seats.delete(incarnation);
    }
}
//# sourceMappingURL=directory.js.map