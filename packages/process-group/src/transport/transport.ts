/** Sending to other members: single frames, and ordered messages over one channel per member. */
import { OrderedChannel, newFrame, type Frame, type SequencedMessage, type Member } from '@rainrun/messages';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { LocalMember } from '../membership/local-member.js';

/** What the transport needs; higher-level parts are declared by the calls that the transport makes. */
interface TransportCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly local: LocalMember<S>;
  /** While this node coordinates, its coordinator learns which versions members have applied. */
  readonly coordination: {
    readonly coordinator: { learnApplied(incarnation: string, number: number): void } | undefined;
  };
  readonly leases: { isHeld(): boolean };
  readonly liveness: { markFailed(incarnation: string): void };
  /** Handles the bodies that arrived in order. */
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

  /** Sends one frame to the node at an address; an empty incarnation addresses any incarnation. */
  sendToAddress(address: string, incarnation: string, body: Frame['body']): void {
    const { dependencies, local } = this.#collaborators;
    const route = { deployment: dependencies.deployment, from: local.incarnation, to: incarnation };
    dependencies.send(address, newFrame(route, body));
  }

  /** Sends a body in order; a body to this node itself is delivered at once. */
  sendOrdered(member: Member, body: SequencedMessage['body']): void {
    const { directory, local, receiver } = this.#collaborators;
    if (member.incarnation === local.incarnation) return receiver.onBody(member.incarnation, body);
    directory.learnMember(member);
    const channel = this.#channel(member.incarnation);
    if (!channel.post(body)) return this.#onChannelOverflow(member.incarnation);
    this.#sendDue(member, channel, local.nowMs());
  }

  /** Receives an ordered message and delivers the bodies that are now complete and in order. */
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

  /** Sends what is due on all channels: acknowledgements and retransmissions. */
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

  /** Excludes the time for which this process was suspended from the lag of the others. */
  onSleep(suspendedMs: number): void {
    for (const channel of this.#channels.values()) channel.slept(suspendedMs);
  }

  /** Closes the channels to all but the given incarnations. */
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

  /**
   * Ends a channel that had to drop a body and is no longer complete: the member counts as failed, or this
   * node rejoins if it has no lease and is therefore the one that is cut off.
   */
  #onChannelOverflow(incarnation: string): void {
    const { leases, liveness, local, viewChange } = this.#collaborators;
    if (leases.isHeld()) liveness.markFailed(incarnation);
    else if (local.inView) viewChange.rejoin();
  }
}
