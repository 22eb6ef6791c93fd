/** Reliable, ordered delivery of messages between two incarnations over a network that loses and reorders. */
import { create } from '@bufbuild/protobuf';
import { SequencedMessageSchema, type SequencedMessage } from './gen/rainrun_pb.js';

/** Body of a sequenced message. */
export type SequencedBody = SequencedMessage['body'];

const WINDOW = 64;
const RESEND_INTERVAL_MS = 250;
const BACKLOG_MAX = 4096;

/**
 * One end of a channel between two incarnations. Bodies are delivered exactly once and in order
 * while both run. The channel has no timeout: it ends only when the other member is reported failed.
 * @example
 * const channel = new OrderedChannel();
 * channel.post({ case: 'submit', value: submit });
 * for (const message of channel.tick(nowMs)) transmit(message);
 */
export class OrderedChannel {
  #sequence = 0;
  #backlog: SequencedBody[] = [];
  #unacknowledged: { message: SequencedMessage; sentMs: number; firstSentMs: number }[] = [];
  #received = 0;
  #outOfOrder = new Map<number, SequencedBody>();
  #ackDue = false;

  /** Queues a body to send; returns false if the backlog is full because the other end lags too far. */
  post(body: SequencedBody): boolean {
    if (this.#backlog.length >= BACKLOG_MAX) return false;
    this.#backlog.push(body);
    return true;
  }

  /** How long the oldest unacknowledged message has waited, in milliseconds. */
  lagMs(nowMs: number): number {
    const oldest = this.#unacknowledged[0];
    return oldest === undefined ? 0 : nowMs - oldest.firstSentMs;
  }

  /** Excludes the time for which this process itself was suspended from the lag of the other end. */
  excludeSuspension(suspendedMs: number): void {
    for (const pending of this.#unacknowledged) pending.firstSentMs += suspendedMs;
  }

  /** Takes a message and returns the bodies that can now be delivered in order. */
  receive(message: SequencedMessage): SequencedBody[] {
    while ((this.#unacknowledged[0]?.message.sequence ?? Infinity) <= message.ack)
      this.#unacknowledged.shift();
    if (message.sequence === 0) return [];
    this.#ackDue = true;
    if (message.sequence <= this.#received || message.sequence > this.#received + 4 * WINDOW) return [];
    this.#outOfOrder.set(message.sequence, message.body);
    const ready: SequencedBody[] = [];
    for (;;) {
      const body = this.#outOfOrder.get(this.#received + 1);
      if (body === undefined) return ready;
      this.#outOfOrder.delete(this.#received + 1);
      this.#received += 1;
      ready.push(body);
    }
  }

  /** Returns the messages that are due: retransmissions, new messages, or a bare acknowledgement. */
  tick(nowMs: number): SequencedMessage[] {
    const due: SequencedMessage[] = [];
    for (const pending of this.#unacknowledged) {
      if (nowMs - pending.sentMs < RESEND_INTERVAL_MS) continue;
      pending.sentMs = nowMs;
      pending.message.ack = this.#received;
      due.push(pending.message);
    }
    while (this.#unacknowledged.length < WINDOW && this.#backlog.length > 0) {
      this.#sequence += 1;
      const message = create(SequencedMessageSchema, { sequence: this.#sequence, ack: this.#received });
      const body = this.#backlog.shift();
      if (body !== undefined) message.body = body;
      this.#unacknowledged.push({ message, sentMs: nowMs, firstSentMs: nowMs });
      due.push(message);
    }
    if (this.#ackDue && due.length === 0) due.push(create(SequencedMessageSchema, { ack: this.#received }));
    this.#ackDue = false;
    return due;
  }
}
