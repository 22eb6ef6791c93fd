/** Sending to other members: single frames, and messages in order over a channel each. */
import { OrderedChannel, newFrame, type Frame, type SequencedMessage, type Member } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { LocalMember } from '../membership/local-member.js';

/** What the transport needs; the parts above it by the few calls that it makes. */
interface TransportCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly local: LocalMember<S>;
  /** What members have applied goes to the coordinator, while this node is it. */
  readonly coordination: {
    readonly coordinator: { learnApplied(incarnation: string, number: number): void } | undefined;
  };
  readonly leases: { isHeld(): boolean };
  readonly liveness: { markFailed(incarnation: string): void };
  /** Takes the bodies that arrived in order. */
  readonly receiver: { onBody(from: string, body: SequencedMessage['body']): void };
  readonly viewChange: { rejoin(): void };
}

/**
 * Sends frames, which may be lost, and ordered messages, which arrive once
 * and in order as long as both ends stay in the view.
 * @example
 * transport.send(member, { case: 'goodbye', value: create(GoodbyeSchema) });
 * transport.sendOrdered(member, { case: 'cast', value: cast });
 */
export class Transport<S> {
  #collaborators: TransportCollaborators<S>;
  #channels = new Map<string, OrderedChannel>();

  constructor(collaborators: TransportCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Sends one frame to a node. */
  send(member: Member, body: Frame['body']): void {
    this.sendToAddress(member.address, member.incarnation, body);
  }

  /** Sends one frame to a node if it is known under this incarnation. */
  sendTo(incarnation: string, body: Frame['body']): void {
    const member = this.#collaborators.directory.member(incarnation);
    if (member !== undefined) this.send(member, body);
  }

  /** Sends one frame to whoever is at an address; an empty incarnation means anybody. */
  sendToAddress(address: string, incarnation: string, body: Frame['body']): void {
    const { dependencies, local } = this.#collaborators;
    const route = { deployment: dependencies.deployment, from: local.incarnation, to: incarnation };
    dependencies.send(address, newFrame(route, body));
  }

  /** Sends a body in order; to this node itself it is delivered at once. */
  sendOrdered(member: Member, body: SequencedMessage['body']): void {
    const { directory, local, receiver } = this.#collaborators;
    if (member.incarnation === local.incarnation) return receiver.onBody(member.incarnation, body);
    directory.learnMember(member);
    const channel = this.#channel(member.incarnation);
    if (!channel.post(body)) return this.#onChannelOverflow(member.incarnation);
    this.#sendDue(member, channel, local.nowMs());
  }

  /** Takes an ordered message and delivers the bodies that are complete up to here. */
  onSequenced(from: string, message: SequencedMessage): void {
    const { coordination, directory, local, receiver } = this.#collaborators;
    const channel = this.#channel(from);
    coordination.coordinator?.learnApplied(from, message.appliedVersion);
    const bodies = channel.receive(message);
    for (const body of bodies) receiver.onBody(from, body);
    const member = directory.member(from);
    const isSameChannel = this.#channels.get(from) === channel;
    if (member !== undefined && isSameChannel && bodies.some((body) => body.case === 'chosen'))
      this.#sendDue(member, channel, local.nowMs());
  }

  /** Sends what is due on all channels: acknowledgements, and again what was not acknowledged. */
  tick(nowMs: number): void {
    for (const [incarnation, channel] of this.#channels) {
      const member = this.#collaborators.directory.member(incarnation);
      if (member !== undefined) this.#sendDue(member, channel, nowMs);
    }
  }

  /** How long the oldest unacknowledged body to a node has waited. */
  lagMs(incarnation: string, nowMs: number): number {
    return this.#channels.get(incarnation)?.lagMs(nowMs) ?? 0;
  }

  /** This process was suspended: that time does not count against the others. */
  onSleep(suspendedMs: number): void {
    for (const channel of this.#channels.values()) channel.slept(suspendedMs);
  }

  /** Ends the channels to all but some incarnations. */
  retainChannels(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#channels.keys())
      if (!incarnations.has(incarnation)) this.#channels.delete(incarnation);
  }

  clear(): void {
    this.#channels.clear();
  }

  #channel(incarnation: string): OrderedChannel {
    const known = this.#channels.get(incarnation);
    if (known !== undefined) return known;
    const channel = new OrderedChannel();
    this.#channels.set(incarnation, channel);
    return channel;
  }

  #sendDue(member: Member, channel: OrderedChannel, nowMs: number): void {
    for (const message of channel.tick(nowMs)) {
      message.appliedVersion = this.#collaborators.local.appliedVersion;
      this.send(member, { case: 'sequenced', value: message });
    }
  }

  /** A channel that has lost a body is at its end: the member goes, or this node does if it is the one cut off. */
  #onChannelOverflow(incarnation: string): void {
    const { leases, liveness, local, viewChange } = this.#collaborators;
    if (leases.isHeld()) liveness.markFailed(incarnation);
    else if (local.inView) viewChange.rejoin();
  }
}
