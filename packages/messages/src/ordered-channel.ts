import { create } from '@bufbuild/protobuf';
import { SequencedMessageSchema, type SequencedMessage } from './gen/rainrun_pb.js';

/** What one parcel carries. */
export type SequencedBody = SequencedMessage['body'];

const WINDOW = 64;
const RESEND_MS = 250;
const BACKLOG_MAX = 4096;

/**
 * One end of a channel between two incarnations. Bodies arrive once and in order as
 * long as both live; nothing but the report that the member failed ends it.
 * @example
 * const channel = new Channel();
 * channel.post({ case: 'submit', value: submit });
 * for (const parcel of channel.tick(nowMs)) transmit(parcel);
 */
export class OrderedChannel {
  #sequence = 0;
  #backlog: SequencedBody[] = [];
  #flying: { parcel: SequencedMessage; sentMs: number; bornMs: number }[] = [];
  #received = 0;
  #early = new Map<number, SequencedBody>();
  #ackDue = false;

  /** Takes a body to send; false when the member lags beyond the bound. */
  post(body: SequencedBody): boolean {
    if (this.#backlog.length >= BACKLOG_MAX) return false;
    this.#backlog.push(body);
    return true;
  }

  /** How long the oldest parcel has waited for its acknowledgement. */
  lagMs(nowMs: number): number {
    const oldest = this.#flying[0];
    return oldest === undefined ? 0 : nowMs - oldest.bornMs;
  }

  /** Does not count time against the member in which this process slept itself. */
  slept(awayMs: number): void {
    for (const flight of this.#flying) flight.bornMs += awayMs;
  }

  /** Takes a parcel in and returns the bodies whose turn has come. */
  receive(parcel: SequencedMessage): SequencedBody[] {
    while ((this.#flying[0]?.parcel.sequence ?? Infinity) <= parcel.ack) this.#flying.shift();
    if (parcel.sequence === 0) return [];
    this.#ackDue = true;
    if (parcel.sequence <= this.#received || parcel.sequence > this.#received + 4 * WINDOW) return [];
    this.#early.set(parcel.sequence, parcel.body);
    const ready: SequencedBody[] = [];
    for (;;) {
      const body = this.#early.get(this.#received + 1);
      if (body === undefined) return ready;
      this.#early.delete(this.#received + 1);
      this.#received += 1;
      ready.push(body);
    }
  }

  /** The parcels that are due now: fresh ones, late ones again, or a bare acknowledgement. */
  tick(nowMs: number): SequencedMessage[] {
    const due: SequencedMessage[] = [];
    for (const flight of this.#flying) {
      if (nowMs - flight.sentMs < RESEND_MS) continue;
      flight.sentMs = nowMs;
      flight.parcel.ack = this.#received;
      due.push(flight.parcel);
    }
    while (this.#flying.length < WINDOW && this.#backlog.length > 0) {
      this.#sequence += 1;
      const parcel = create(SequencedMessageSchema, { sequence: this.#sequence, ack: this.#received });
      const body = this.#backlog.shift();
      if (body !== undefined) parcel.body = body;
      this.#flying.push({ parcel, sentMs: nowMs, bornMs: nowMs });
      due.push(parcel);
    }
    if (this.#ackDue && due.length === 0) due.push(create(SequencedMessageSchema, { ack: this.#received }));
    this.#ackDue = false;
    return due;
  }
}
