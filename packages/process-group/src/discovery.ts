/** How nodes find each other: greetings, contacts, and what is known of nodes outside the view. */
import { create } from '@bufbuild/protobuf';
import { randomId } from '@rainrun/common';
import { HelloAckSchema, HelloSchema, type Hello, type HelloAck, type Member } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
import { rankOf, levelMismatch } from './play.js';

/** A node that was lately in touch, as it described itself. */
export interface Contact {
  readonly seat: Member;
  readonly atMs: number;
  readonly inView: boolean;
  /** Newest version that it holds or has accepted. */
  readonly number: number;
  /** Whether it is a founder with an empty disk. */
  readonly founding: boolean;
}

/** A contact counts for so long. */
const CONTACT_MS = 1200;

/** Contacts older than so many times `CONTACT_MS` are dropped. */
const CONTACT_KEPT_FACTOR = 10;

type DiscoveryParts<S> = Pick<
  GroupParts<S>,
  | 'dependencies'
  | 'directory'
  | 'founding'
  | 'leases'
  | 'liveness'
  | 'local'
  | 'transport'
  | 'versions'
  | 'viewChange'
>;

/**
 * Greets the addresses known while this node is outside a view or has lost
 * its majority, and answers the greetings of others. A node counts as there
 * only after it has echoed a greeting of ours: so a path in one direction
 * alone makes no contact.
 * @example
 * discovery.tick(nowMs);
 * discovery.joiners(); // the coordinator lets these in
 */
export class Discovery<S> {
  #parts: DiscoveryParts<S>;
  #contacts = new Map<string, Contact>();
  /** What others gave us to echo, by incarnation. */
  #greetings = new Map<string, string>();
  /** What we gave others to echo, by incarnation. */
  #greeted = new Map<string, string>();
  #welcomedMs = new Map<string, number>();
  #lastHelloMs = -Infinity;

  constructor(parts: DiscoveryParts<S>) {
    this.#parts = parts;
  }

  /** Greets every address known, when it is time and there is a reason to. */
  tick(nowMs: number): void {
    const { dependencies, leases, local } = this.#parts;
    if (nowMs - this.#lastHelloMs < dependencies.times.helloMs) return;
    this.#lastHelloMs = nowMs;
    if (local.leaving || (local.inView && leases.isGranted())) return;
    this.#dropOldContacts(nowMs);
    this.#sendHellos();
  }

  /** The nodes that were in touch lately. */
  freshContacts(): Contact[] {
    const nowMs = this.#parts.local.nowMs();
    return [...this.#contacts.values()].filter((contact) => isFresh(contact, nowMs));
  }

  /** Live nodes that ask to join; this node too while it is in no view. */
  joiners(): Member[] {
    const { local } = this.#parts;
    const joiners = this.freshContacts()
      .filter((contact) => !contact.inView)
      .map((contact) => contact.seat);
    const view = local.view;
    if (view === undefined) return [local.self, ...joiners];
    return joiners.filter((seat) => rankOf(view, seat.incarnation) < 0);
  }

  isInTouch(incarnation: string, nowMs: number): boolean {
    const contact = this.#contacts.get(incarnation);
    return contact !== undefined && isFresh(contact, nowMs);
  }

  onHello(hello: Hello): void {
    const { directory, liveness, local } = this.#parts;
    const seat = hello.sender;
    if (seat === undefined || seat.incarnation === local.incarnation) return;
    const nowMs = local.nowMs();
    directory.learn(seat);
    const greeting = this.#greetingFor(seat.incarnation);
    if (hello.echo === greeting) {
      const { newestVersion: number, founding } = hello;
      liveness.answered(seat.incarnation, nowMs);
      this.#contacts.set(seat.incarnation, { seat, atMs: nowMs, inView: false, number, founding });
    }
    if (hello.echo !== '') this.#welcomeMember(seat, nowMs);
    this.#answerHello(seat, greeting);
  }

  onHelloAck(ack: HelloAck): void {
    const { dependencies, directory, liveness, local, viewChange } = this.#parts;
    const seat = ack.sender;
    if (seat === undefined || seat.incarnation === local.incarnation) return;
    const nowMs = local.nowMs();
    directory.learn(seat);
    this.#greetings.set(seat.incarnation, ack.greeting);
    liveness.answered(seat.incarnation, nowMs);
    const { inView, newestVersion: number, founding } = ack;
    if (ack.rejection !== '' && !local.inView) dependencies.listener.onJoinRejected(ack.rejection);
    this.#contacts.set(seat.incarnation, { seat, atMs: nowMs, inView, number, founding });
    for (const known of ack.known)
      if (known.incarnation !== local.incarnation) directory.learnAddress(known.address);
    const listed = ack.known.some((known) => known.incarnation === local.incarnation);
    if (local.inView && inView && !listed && number > local.newestVersion) viewChange.rejoin();
  }

  forget(incarnation: string): void {
    this.#contacts.delete(incarnation);
    this.#greeted.delete(incarnation);
    this.#welcomedMs.delete(incarnation);
    this.#greetings.delete(incarnation);
  }

  /** This node goes on under another incarnation: greetings to the old one do not count. */
  clearGreetings(): void {
    this.#greetings.clear();
  }

  #dropOldContacts(nowMs: number): void {
    for (const [incarnation, contact] of this.#contacts) {
      if (nowMs - contact.atMs > CONTACT_KEPT_FACTOR * CONTACT_MS) this.#contacts.delete(incarnation);
    }
  }

  #sendHellos(): void {
    const { dependencies, directory, founding, local, transport } = this.#parts;
    const greetings = this.#greetingsByAddress();
    for (const address of new Set([...dependencies.seeds, ...directory.addresses])) {
      if (address === local.self.address) continue;
      const value = create(HelloSchema, {
        sender: local.self,
        founding: founding.mayFound(),
        newestVersion: local.newestVersion,
        echo: local.inView ? '' : (greetings.get(address) ?? ''),
      });
      transport.postToAddress(address, '', { case: 'hello', value });
    }
  }

  #greetingsByAddress(): Map<string, string> {
    const greetings = new Map<string, string>();
    for (const [incarnation, greeting] of this.#greetings) {
      const address = this.#parts.directory.seat(incarnation)?.address;
      if (address !== undefined) greetings.set(address, greeting);
    }
    return greetings;
  }

  #greetingFor(incarnation: string): string {
    const known = this.#greeted.get(incarnation);
    if (known !== undefined) return known;
    const greeting = randomId(this.#parts.dependencies.chance);
    this.#greeted.set(incarnation, greeting);
    return greeting;
  }

  /** Sends the whole state to a member that does not know yet that it is one. */
  #welcomeMember(seat: Member, nowMs: number): void {
    const { dependencies, local, versions } = this.#parts;
    const view = local.view;
    if (view === undefined || rankOf(view, seat.incarnation) < 0) return;
    const sinceMs = nowMs - (this.#welcomedMs.get(seat.incarnation) ?? -Infinity);
    if (sinceMs <= 2 * dependencies.times.helloMs) return;
    this.#welcomedMs.set(seat.incarnation, nowMs);
    versions.sendWhole(seat);
  }

  #answerHello(seat: Member, greeting: string): void {
    const { founding, local, transport } = this.#parts;
    const view = local.view;
    const member = view !== undefined && rankOf(view, seat.incarnation) >= 0;
    const members = view?.members ?? [];
    const contacts = this.freshContacts().map((contact) => contact.seat);
    const value = create(HelloAckSchema, {
      sender: local.self,
      greeting,
      known: [
        ...members.filter((other) => other.incarnation !== seat.incarnation || member),
        ...contacts.filter((other) => other.incarnation !== seat.incarnation),
      ],
      inView: local.inView,
      newestVersion: local.newestVersion,
      founding: founding.mayFound(),
      rejection: (view === undefined || member ? undefined : levelMismatch(seat, view.members)) ?? '',
    });
    transport.post(seat, { case: 'helloAck', value });
  }
}

function isFresh(contact: Contact, nowMs: number): boolean {
  return nowMs - contact.atMs < CONTACT_MS;
}
