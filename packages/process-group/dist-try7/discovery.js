/** How nodes find each other: greetings, contacts, and what is known of nodes outside the view. */
import { create } from '@bufbuild/protobuf';
import { randomId } from '@rainrun/common';
import { HelloAckSchema, HelloSchema } from '@rainrun/messages';
import { rankOf, unbridged } from './play.js';
/** A contact counts for so long. */
const CONTACT_MS = 1200;
/** Contacts older than so many times `CONTACT_MS` are dropped. */
const CONTACT_KEPT_FACTOR = 10;
/**
 * Greets the addresses known while this node is outside a view or has lost
 * its majority, and answers the greetings of others. A node counts as there
 * only after it has echoed a greeting of ours: so a path in one direction
 * alone makes no contact.
 * @example
 * discovery.tick(nowMs);
 * discovery.joiners(); // the coordinator lets these in
 */
export class Discovery {
    #parts;
    #contacts = new Map();
    /** What others gave us to echo, by incarnation. */
    #greetings = new Map();
    /** What we gave others to echo, by incarnation. */
    #greeted = new Map();
    #welcomedMs = new Map();
    #lastHelloMs = -Infinity;
    constructor(parts) {
        this.#parts = parts;
    }
    /** Greets every address known, when it is time and there is a reason to. */
    tick(nowMs) {
        const { dependencies, leases, local } = this.#parts;
        if (nowMs - this.#lastHelloMs < dependencies.times.helloMs)
            return;
        this.#lastHelloMs = nowMs;
        if (local.leaving || (local.inView && leases.isGranted()))
            return;
        this.#dropOldContacts(nowMs);
        this.#sendHellos();
    }
    /** The nodes that were in touch lately. */
    freshContacts() {
        const nowMs = this.#parts.local.nowMs();
        return [...this.#contacts.values()].filter((contact) => isFresh(contact, nowMs));
    }
    /** Live nodes that ask to join; this node too while it is in no view. */
    joiners() {
        const { local } = this.#parts;
        const joiners = this.freshContacts()
            .filter((contact) => !contact.inView)
            .map((contact) => contact.seat);
        const view = local.view;
        if (view === undefined)
            return [local.seat, ...joiners];
        return joiners.filter((seat) => rankOf(view, seat.incarnation) < 0);
    }
    isInTouch(incarnation, nowMs) {
        const contact = this.#contacts.get(incarnation);
        return contact !== undefined && isFresh(contact, nowMs);
    }
    onHello(hello) {
        const { directory, liveness, local } = this.#parts;
        const seat = hello.seat;
        if (seat === undefined || seat.incarnation === local.incarnation)
            return;
        const nowMs = local.nowMs();
        directory.learn(seat);
        const greeting = this.#greetingFor(seat.incarnation);
        if (hello.echo === greeting) {
            const { number, founding } = hello;
            liveness.answered(seat.incarnation, nowMs);
            this.#contacts.set(seat.incarnation, { seat, atMs: nowMs, inView: false, number, founding });
        }
        if (hello.echo !== '')
            this.#welcomeMember(seat, nowMs);
        this.#answerHello(seat, greeting);
    }
    onHelloAck(ack) {
        const { dependencies, directory, liveness, local, viewChange } = this.#parts;
        const seat = ack.seat;
        if (seat === undefined || seat.incarnation === local.incarnation)
            return;
        const nowMs = local.nowMs();
        directory.learn(seat);
        this.#greetings.set(seat.incarnation, ack.greeting);
        liveness.answered(seat.incarnation, nowMs);
        const { inView, number, founding } = ack;
        if (ack.refused !== '' && !local.inView)
            dependencies.audience.onRefused(ack.refused);
        this.#contacts.set(seat.incarnation, { seat, atMs: nowMs, inView, number, founding });
        for (const known of ack.known)
            if (known.incarnation !== local.incarnation)
                directory.learnAddress(known.address);
        const listed = ack.known.some((known) => known.incarnation === local.incarnation);
        if (local.inView && inView && !listed && number > local.newestNumber)
            viewChange.rejoin();
    }
    forget(incarnation) {
        this.#contacts.delete(incarnation);
        this.#greeted.delete(incarnation);
        this.#welcomedMs.delete(incarnation);
        this.#greetings.delete(incarnation);
    }
    /** This node goes on under another incarnation: greetings to the old one do not count. */
    clearGreetings() {
        this.#greetings.clear();
    }
    #dropOldContacts(nowMs) {
        for (const [incarnation, contact] of this.#contacts) {
            if (nowMs - contact.atMs > CONTACT_KEPT_FACTOR * CONTACT_MS)
                this.#contacts.delete(incarnation);
        }
    }
    #sendHellos() {
        const { dependencies, directory, founding, local, transport } = this.#parts;
        const greetings = this.#greetingsByAddress();
        for (const address of new Set([...dependencies.seeds, ...directory.addresses])) {
            if (address === local.seat.address)
                continue;
            const value = create(HelloSchema, {
                seat: local.seat,
                founding: founding.mayFound(),
                number: local.newestNumber,
                echo: local.inView ? '' : (greetings.get(address) ?? ''),
            });
            transport.postToAddress(address, '', { case: 'hello', value });
        }
    }
    #greetingsByAddress() {
        const greetings = new Map();
        for (const [incarnation, greeting] of this.#greetings) {
            const address = this.#parts.directory.seat(incarnation)?.address;
            if (address !== undefined)
                greetings.set(address, greeting);
        }
        return greetings;
    }
    #greetingFor(incarnation) {
        const known = this.#greeted.get(incarnation);
        if (known !== undefined)
            return known;
        const greeting = randomId(this.#parts.dependencies.chance);
        this.#greeted.set(incarnation, greeting);
        return greeting;
    }
    /** Sends the whole state to a member that does not know yet that it is one. */
    #welcomeMember(seat, nowMs) {
        const { dependencies, local, versions } = this.#parts;
        const view = local.view;
        if (view === undefined || rankOf(view, seat.incarnation) < 0)
            return;
        const sinceMs = nowMs - (this.#welcomedMs.get(seat.incarnation) ?? -Infinity);
        if (sinceMs <= 2 * dependencies.times.helloMs)
            return;
        this.#welcomedMs.set(seat.incarnation, nowMs);
        versions.sendWhole(seat);
    }
    #answerHello(seat, greeting) {
        const { founding, local, transport } = this.#parts;
        const view = local.view;
        const member = view !== undefined && rankOf(view, seat.incarnation) >= 0;
        const members = view?.members ?? [];
        const contacts = this.freshContacts().map((contact) => contact.seat);
        const value = create(HelloAckSchema, {
            seat: local.seat,
            greeting,
            known: [
                ...members.filter((other) => other.incarnation !== seat.incarnation || member),
                ...contacts.filter((other) => other.incarnation !== seat.incarnation),
            ],
            inView: local.inView,
            number: local.newestNumber,
            founding: founding.mayFound(),
            refused: (view === undefined || member ? undefined : unbridged(seat, view.members)) ?? '',
        });
        transport.post(seat, { case: 'helloAck', value });
    }
}
function isFresh(contact, nowMs) {
    return nowMs - contact.atMs < CONTACT_MS;
}
//# sourceMappingURL=discovery.js.map