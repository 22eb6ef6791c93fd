/** Sending to other members: single frames, and ordered parcels over a channel each. */
import { create } from '@bufbuild/protobuf';
import {
  OrderedChannel,
  FrameSchema,
  WIRE_VERSION,
  type Frame,
  type SequencedMessage,
  type Member,
} from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';

type TransportParts<S> = Pick<
  GroupParts<S>,
  'coordination' | 'dependencies' | 'directory' | 'leases' | 'liveness' | 'local' | 'receiver' | 'viewChange'
>;

/**
 * Sends frames, which may be lost, and bodies in parcels, which arrive once
 * and in order as long as both ends stay in the view.
 * @example
 * transport.post(member, { case: 'goodbye', value: create(GoodbyeSchema) });
 * transport.parcel(member, { case: 'cast', value: cast });
 */
export class Transport<S> {
  #parts: TransportParts<S>;
  #channels = new Map<string, OrderedChannel>();

  constructor(parts: TransportParts<S>) {
    this.#parts = parts;
  }

  /** Sends one frame to a node. */
  post(seat: Member, body: Frame['body']): void {
    this.postToAddress(seat.address, seat.incarnation, body);
  }

  /** Sends one frame to a node if it is known under this incarnation. */
  postTo(incarnation: string, body: Frame['body']): void {
    const seat = this.#parts.directory.seat(incarnation);
    if (seat !== undefined) this.post(seat, body);
  }

  /** Sends one frame to whoever is at an address; an empty incarnation means anybody. */
  postToAddress(address: string, incarnation: string, body: Frame['body']): void {
    const { dependencies, local } = this.#parts;
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: dependencies.deployment,
      from: local.incarnation,
      to: incarnation,
    });
    frame.body = body;
    dependencies.send(address, frame);
  }

  /** Sends a body in order; to this node itself it is delivered at once. */
  parcel(seat: Member, body: SequencedMessage['body']): void {
    const { directory, local, receiver } = this.#parts;
    if (seat.incarnation === local.incarnation) return receiver.onBody(seat.incarnation, body);
    directory.remember(seat);
    const channel = this.#channel(seat.incarnation);
    if (!channel.post(body)) return this.#overflow(seat.incarnation);
    this.#postParcels(seat, channel, local.nowMs());
  }

  onParcel(from: string, parcel: SequencedMessage): void {
    const { coordination, directory, local, receiver } = this.#parts;
    const channel = this.#channel(from);
    coordination.coordinator?.holds(from, parcel.appliedVersion);
    const bodies = channel.receive(parcel);
    for (const body of bodies) receiver.onBody(from, body);
    const seat = directory.seat(from);
    const isSameChannel = this.#channels.get(from) === channel;
    if (seat !== undefined && isSameChannel && bodies.some((body) => body.case === 'chosen'))
      this.#postParcels(seat, channel, local.nowMs());
  }

  /** Sends what is due on all channels: acknowledgements, and again what was not acknowledged. */
  tick(nowMs: number): void {
    for (const [incarnation, channel] of this.#channels) {
      const seat = this.#parts.directory.seat(incarnation);
      if (seat !== undefined) this.#postParcels(seat, channel, nowMs);
    }
  }

  /** How long the oldest unacknowledged body to a node has waited. */
  lagMs(incarnation: string, nowMs: number): number {
    return this.#channels.get(incarnation)?.lagMs(nowMs) ?? 0;
  }

  /** This process was away: the others are not to blame for that time. */
  slept(awayMs: number): void {
    for (const channel of this.#channels.values()) channel.slept(awayMs);
  }

  /** Ends the channels to all but some incarnations. */
  keepOnly(incarnations: ReadonlySet<string>): void {
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

  #postParcels(seat: Member, channel: OrderedChannel, nowMs: number): void {
    for (const parcel of channel.tick(nowMs)) {
      parcel.appliedVersion = this.#parts.local.appliedVersion;
      this.post(seat, { case: 'sequenced', value: parcel });
    }
  }

  /** A channel that has lost a body is at its end: the member goes, or this node does if it is the one cut off. */
  #overflow(incarnation: string): void {
    const { leases, liveness, local, viewChange } = this.#parts;
    if (leases.isGranted()) liveness.report(incarnation);
    else if (local.inView) viewChange.rejoin();
  }
}
