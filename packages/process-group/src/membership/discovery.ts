/** Discovery of other nodes: hello messages, recent contacts, and what is known of nodes outside the view. */
import { create } from '@bufbuild/protobuf';
import { randomId } from '@rainrun/common';
import { HelloAckSchema, HelloSchema, type Hello, type HelloAck, type Member } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from './directory.js';
import type { Leases } from '../leases/leases.js';
import type { Liveness } from './liveness.js';
import type { LocalMember } from './local-member.js';
import type { Transport } from '../transport/transport.js';
import type { Versions } from '../agreement/versions.js';
import { rankOf } from './members.js';
import { levelMismatch } from './protocol-levels.js';

/** A node that was recently in contact, as it described itself. */
export interface Contact {
  readonly member: Member;
  readonly atMs: number;
  readonly inView: boolean;
  /** Number of the newest version that it holds or has accepted. */
  readonly newestVersion: number;
  /** Whether it is a founder with an empty disk. */
  readonly founding: boolean;
}

/** How long a contact is fresh after its last message. */
const CONTACT_FRESH_MS = 1200;

/** Contacts older than this many times `CONTACT_FRESH_MS` are dropped. */
const CONTACT_RETENTION_FACTOR = 10;

/** What discovery needs. */
interface DiscoveryCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly leases: Leases<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
  readonly versions: Versions<S>;
  readonly founding: { mayFound(): boolean };
  readonly viewChange: { rejoin(): void };
}

/**
 * Sends hellos to the known addresses while this node is outside a view or has lost its majority, and answers
 * the hellos of others. A node becomes a contact only after it has answered a hello of this node or echoed a
 * token of this node, so a path that works in one direction only makes no contact.
 * @example
 * discovery.tick(nowMs);
 * discovery.joiners(); // the coordinator lets these in
 */
export class Discovery<S> {
  #collaborators: DiscoveryCollaborators<S>;
  #contacts = new Map<string, Contact>();
  /** Tokens that other nodes issued to this node and that its hellos echo, by incarnation. */
  #receivedEchoTokens = new Map<string, string>();
  /** Tokens that this node issued to other nodes for their hellos to echo, by incarnation. */
  #issuedEchoTokens = new Map<string, string>();
  #joinSnapshotSentMs = new Map<string, number>();
  #lastHelloMs = -Infinity;

  constructor(collaborators: DiscoveryCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Sends hellos to every known address when they are due, unless this node is leaving or holds a lease. */
  tick(nowMs: number): void {
    const { dependencies, leases, local } = this.#collaborators;
    if (nowMs - this.#lastHelloMs < dependencies.times.helloMs) return;
    this.#lastHelloMs = nowMs;
    if (local.leaving || (local.inView && leases.isHeld())) return;
    this.#dropOldContacts(nowMs);
    this.#sendHellos();
  }

  /** The contacts heard from within `CONTACT_FRESH_MS`. */
  freshContacts(): Contact[] {
    const nowMs = this.#collaborators.local.nowMs();
    return [...this.#contacts.values()].filter((contact) => isFresh(contact, nowMs));
  }

  /** Fresh contacts outside the view that ask to join it; includes this node while it is in no view. */
  joiners(): Member[] {
    const { local } = this.#collaborators;
    const joiners = this.freshContacts()
      .filter((contact) => !contact.inView)
      .map((contact) => contact.member);
    const view = local.view;
    if (view === undefined) return [local.self, ...joiners];
    return joiners.filter((member) => rankOf(view, member.incarnation) < 0);
  }

  /** Whether this incarnation was heard from within `CONTACT_FRESH_MS`. */
  hasFreshContact(incarnation: string, nowMs: number): boolean {
    const contact = this.#contacts.get(incarnation);
    return contact !== undefined && isFresh(contact, nowMs);
  }

  /** Answers a hello; its sender becomes a contact once it echoes the token that this node issued to it. */
  onHello(hello: Hello): void {
    const { directory, liveness, local } = this.#collaborators;
    const member = hello.sender;
    if (member === undefined || member.incarnation === local.incarnation) return;
    const nowMs = local.nowMs();
    directory.learn(member);
    const echoToken = this.#echoTokenFor(member.incarnation);
    if (hello.echo === echoToken) {
      const { newestVersion: number, founding } = hello;
      liveness.recordAnswer(member.incarnation, nowMs);
      this.#contacts.set(member.incarnation, {
        member,
        atMs: nowMs,
        inView: false,
        newestVersion: number,
        founding,
      });
    }
    if (hello.echo !== '') this.#sendJoinSnapshot(member, nowMs);
    this.#acknowledgeHello(member, echoToken);
  }

  /** Handles the answer to a hello; rejoins if the group has moved on to a view without this node. */
  onHelloAck(ack: HelloAck): void {
    const { dependencies, directory, liveness, local, viewChange } = this.#collaborators;
    const member = ack.sender;
    if (member === undefined || member.incarnation === local.incarnation) return;
    const nowMs = local.nowMs();
    directory.learn(member);
    this.#receivedEchoTokens.set(member.incarnation, ack.greeting);
    liveness.recordAnswer(member.incarnation, nowMs);
    const { inView, newestVersion: number, founding } = ack;
    if (ack.rejection !== '' && !local.inView) dependencies.listener.onJoinRejected(ack.rejection);
    this.#contacts.set(member.incarnation, { member, atMs: nowMs, inView, newestVersion: number, founding });
    for (const known of ack.known)
      if (known.incarnation !== local.incarnation) directory.learnAddress(known.address);
    const listed = ack.known.some((known) => known.incarnation === local.incarnation);
    if (local.inView && inView && !listed && number > local.newestVersion) viewChange.rejoin();
  }

  /** Drops what is known of an incarnation. */
  remove(incarnation: string): void {
    this.#contacts.delete(incarnation);
    this.#issuedEchoTokens.delete(incarnation);
    this.#joinSnapshotSentMs.delete(incarnation);
    this.#receivedEchoTokens.delete(incarnation);
  }

  /** Discards the tokens that were issued to the previous incarnation of this node. */
  clearReceivedEchoTokens(): void {
    this.#receivedEchoTokens.clear();
  }

  #dropOldContacts(nowMs: number): void {
    for (const [incarnation, contact] of this.#contacts) {
      if (nowMs - contact.atMs > CONTACT_RETENTION_FACTOR * CONTACT_FRESH_MS)
        this.#contacts.delete(incarnation);
    }
  }

  #sendHellos(): void {
    const { dependencies, directory, founding, local, transport } = this.#collaborators;
    const echoTokens = this.#echoTokensByAddress();
    for (const address of new Set([...dependencies.seeds, ...directory.addresses])) {
      if (address === local.self.address) continue;
      const value = create(HelloSchema, {
        sender: local.self,
        founding: founding.mayFound(),
        newestVersion: local.newestVersion,
        echo: local.inView ? '' : (echoTokens.get(address) ?? ''),
      });
      transport.sendToAddress(address, '', { case: 'hello', value });
    }
  }

  #echoTokensByAddress(): Map<string, string> {
    const echoTokens = new Map<string, string>();
    for (const [incarnation, echoToken] of this.#receivedEchoTokens) {
      const address = this.#collaborators.directory.member(incarnation)?.address;
      if (address !== undefined) echoTokens.set(address, echoToken);
    }
    return echoTokens;
  }

  #echoTokenFor(incarnation: string): string {
    const known = this.#issuedEchoTokens.get(incarnation);
    if (known !== undefined) return known;
    const echoToken = randomId(this.#collaborators.dependencies.chance);
    this.#issuedEchoTokens.set(incarnation, echoToken);
    return echoToken;
  }

  /** Sends a snapshot to a node that does not know yet that it is a member, once in two hello intervals. */
  #sendJoinSnapshot(member: Member, nowMs: number): void {
    const { dependencies, local, versions } = this.#collaborators;
    const view = local.view;
    if (view === undefined || rankOf(view, member.incarnation) < 0) return;
    const sinceMs = nowMs - (this.#joinSnapshotSentMs.get(member.incarnation) ?? -Infinity);
    if (sinceMs <= 2 * dependencies.times.helloMs) return;
    this.#joinSnapshotSentMs.set(member.incarnation, nowMs);
    versions.sendSnapshot(member);
  }

  #acknowledgeHello(member: Member, echoToken: string): void {
    const { founding, local, transport } = this.#collaborators;
    const view = local.view;
    const isMember = view !== undefined && rankOf(view, member.incarnation) >= 0;
    const members = view?.members ?? [];
    const contacts = this.freshContacts().map((contact) => contact.member);
    const value = create(HelloAckSchema, {
      sender: local.self,
      greeting: echoToken,
      known: [
        ...members.filter((other) => other.incarnation !== member.incarnation || isMember),
        ...contacts.filter((other) => other.incarnation !== member.incarnation),
      ],
      inView: local.inView,
      newestVersion: local.newestVersion,
      founding: founding.mayFound(),
      rejection: (view === undefined || isMember ? undefined : levelMismatch(member, view.members)) ?? '',
    });
    transport.send(member, { case: 'helloAck', value });
  }
}

function isFresh(contact: Contact, nowMs: number): boolean {
  return nowMs - contact.atMs < CONTACT_FRESH_MS;
}
