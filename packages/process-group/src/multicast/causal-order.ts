/** Causal order of multicasts within one view, by vector clocks (CBCAST of Birman, Schiper and Stephenson). */
import { create } from '@bufbuild/protobuf';
import { CastSchema, type Cast, type View } from '@rainrun/messages';
import { rankOf } from '../membership/members.js';

/** A cast with its sender's rank and the vector clock at which it was sent. */
interface BufferedCast {
  readonly rank: number;
  readonly context: readonly number[];
  readonly cast: Cast;
}

/**
 * Causal multicast within one view. A cast is buffered until its causal
 * predecessors have been delivered; it is kept until it is known to be
 * delivered everywhere, so that a flush can pass it on.
 * @example
 * const causal = new CausalOrder(view, 'incarnation-1', (cast) => observe(cast.sender, cast.payload));
 * const cast = causal.send(payload);
 */
export class CausalOrder {
  #view: View;
  #rank: number;
  #incarnation: string;
  #deliver: (cast: Cast) => void;
  #delivered: number[];
  #waiting: BufferedCast[] = [];
  #unstable = new Map<string, BufferedCast>();
  #lastSentContext: number[];
  #contextsBySender: number[][];
  #deliveredBy: number[][];
  #stopped = false;
  #contextBytes = 0;

  constructor(view: View, incarnation: string, deliver: (cast: Cast) => void) {
    const size = view.members.length;
    this.#view = view;
    this.#incarnation = incarnation;
    this.#rank = rankOf(view, incarnation);
    this.#deliver = deliver;
    this.#delivered = new Array<number>(size).fill(0);
    this.#lastSentContext = new Array<number>(size).fill(0);
    this.#contextsBySender = view.members.map(() => new Array<number>(size).fill(0));
    this.#deliveredBy = view.members.map(() => new Array<number>(size).fill(0));
  }

  /** Whether delivery in this view has ended. */
  get stopped(): boolean {
    return this.#stopped;
  }

  /** How many casts of each member were delivered here, by rank. */
  get delivered(): readonly number[] {
    return this.#delivered;
  }

  /** Bytes of causal context sent so far, estimated at 3 per entry, for the counters. */
  get contextBytes(): number {
    return this.#contextBytes;
  }

  /** Casts that are not known to be delivered everywhere. */
  get unstableCount(): number {
    return this.#unstable.size;
  }

  /** Delivers a payload here at once and returns the cast for the others. */
  send(payload: Uint8Array): Cast {
    const sequence = (this.#delivered[this.#rank] ?? 0) + 1;
    const context = [...this.#delivered];
    context[this.#rank] = sequence;
    const cast = create(CastSchema, {
      sender: this.#incarnation,
      view: this.#view.number,
      sequence,
      payload,
    });
    context.forEach((count, rank) => {
      if (rank === this.#rank || count === this.#lastSentContext[rank]) return;
      cast.contextRank.push(rank);
      cast.contextCount.push(count);
      this.#contextBytes += 3;
    });
    this.#lastSentContext = context;
    this.#accept({ rank: this.#rank, context, cast });
    return cast;
  }

  /** Receives a cast of this view; it is buffered until its causal predecessors have been delivered. */
  receive(cast: Cast): void {
    const rank = rankOf(this.#view, cast.sender);
    const senderContext = this.#contextsBySender[rank];
    if (senderContext === undefined || cast.view !== this.#view.number) return;
    if (cast.sequence <= (senderContext[rank] ?? 0)) return;
    cast.contextRank.forEach((memberRank, index) => {
      if (memberRank < senderContext.length) senderContext[memberRank] = cast.contextCount[index] ?? 0;
    });
    senderContext[rank] = cast.sequence;
    this.#waiting.push({ rank, context: [...senderContext], cast });
    if (this.#stopped) this.#retain(this.#waiting[this.#waiting.length - 1]);
    else this.#deliverReady();
  }

  /** How many casts of each member are known to be delivered everywhere, by rank. */
  get stable(): readonly number[] {
    return this.#delivered.map((own, rank) =>
      Math.min(
        own,
        ...this.#deliveredBy.flatMap((vector, member) => (member === this.#rank ? [] : [vector[rank] ?? 0])),
      ),
    );
  }

  /** Drops the casts that the collector reports as delivered everywhere. */
  learnStable(stable: readonly number[]): void {
    if (stable.length !== this.#delivered.length) return;
    for (const [key, buffered] of this.#unstable)
      if (buffered.cast.sequence <= (stable[buffered.rank] ?? 0)) this.#unstable.delete(key);
  }

  /** Records what a member has delivered, and drops the casts that all members have delivered. */
  learnDelivered(incarnation: string, delivered: readonly number[]): void {
    const rank = rankOf(this.#view, incarnation);
    if (rank < 0 || delivered.length !== this.#delivered.length) return;
    this.#deliveredBy[rank] = [...delivered];
    for (const [key, buffered] of this.#unstable) {
      if (this.#isStable(buffered)) this.#unstable.delete(key);
    }
  }

  /** Ends delivery in this view; returns every cast that other members may lack, with its full context. */
  stop(): Cast[] {
    this.#stopped = true;
    for (const buffered of this.#waiting) this.#retain(buffered);
    return [...this.#unstable.values()].map((buffered) => withFullContext(buffered));
  }

  /** Delivers the casts that were agreed to end this view, in the agreed order, and nothing else. */
  finish(flushedCasts: readonly Cast[]): void {
    for (const cast of flushedCasts) {
      const rank = rankOf(this.#view, cast.sender);
      if (rank < 0 || cast.sequence <= (this.#delivered[rank] ?? 0)) continue;
      this.#delivered[rank] = cast.sequence;
      this.#deliver(cast);
    }
  }

  #isStable(buffered: BufferedCast): boolean {
    return this.#deliveredBy.every((vector, rank) => {
      const count = rank === this.#rank ? this.#delivered[buffered.rank] : vector[buffered.rank];
      return (count ?? 0) >= buffered.cast.sequence;
    });
  }

  #retain(buffered: BufferedCast | undefined): void {
    if (buffered !== undefined) this.#unstable.set(`${buffered.rank}:${buffered.cast.sequence}`, buffered);
  }

  #accept(buffered: BufferedCast): void {
    this.#delivered[buffered.rank] = buffered.cast.sequence;
    this.#retain(buffered);
    this.#deliver(buffered.cast);
  }

  #deliverReady(): void {
    for (let progressed = true; progressed;) {
      progressed = false;
      for (const buffered of this.#waiting) {
        if (!isDeliverable(buffered, this.#delivered)) continue;
        this.#waiting.splice(this.#waiting.indexOf(buffered), 1);
        this.#accept(buffered);
        progressed = true;
        break;
      }
    }
  }
}

function isDeliverable(
  buffered: { rank: number; context: readonly number[]; cast: Cast },
  delivered: readonly number[],
): boolean {
  if (buffered.cast.sequence !== (delivered[buffered.rank] ?? 0) + 1) return false;
  return buffered.context.every((count, rank) => rank === buffered.rank || count <= (delivered[rank] ?? 0));
}

function withFullContext(buffered: BufferedCast): Cast {
  const { sender, view, sequence, payload } = buffered.cast;
  return create(CastSchema, {
    sender,
    view,
    sequence,
    payload,
    contextRank: buffered.context.map((_, rank) => rank),
    contextCount: [...buffered.context],
  });
}

/**
 * The union of the unstable casts of the members that stay, in one causal order.
 * Each of these members delivers the casts to end the old view (the flush of
 * Birman's virtual synchrony). A cast with a predecessor that no member has any
 * more, because its sender is gone, comes last.
 * @example
 * const flushedCasts = flushedCastsOf(view, replies.map((reply) => reply.unstableCasts));
 */
export function flushedCastsOf(view: View, castsByMember: readonly (readonly Cast[])[]): Cast[] {
  const castsByKey = new Map<string, BufferedCast>();
  for (const cast of castsByMember.flat()) {
    const rank = rankOf(view, cast.sender);
    if (rank < 0 || cast.view !== view.number) continue;
    castsByKey.set(`${rank}:${cast.sequence}`, { rank, context: cast.contextCount, cast });
  }
  const remaining = [...castsByKey.values()].sort(
    (one, other) => one.rank - other.rank || one.cast.sequence - other.cast.sequence,
  );
  const flushedCasts: Cast[] = [];
  while (remaining.length > 0) {
    const next = remaining.findIndex((buffered) =>
      remaining.every((other) => other === buffered || !precedes(other, buffered)),
    );
    flushedCasts.push(...remaining.splice(Math.max(next, 0), 1).map((buffered) => buffered.cast));
  }
  return flushedCasts;
}

function precedes(one: BufferedCast, other: BufferedCast): boolean {
  return one.cast.sequence <= (other.context[one.rank] ?? 0) && one !== other;
}
