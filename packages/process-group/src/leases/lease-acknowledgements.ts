/** The members' acknowledgements from which the end of a lease is computed. */
import type { View } from '@rainrun/messages';
import { majority } from '../agreement/quorum.js';

/** A member's last acknowledgement. */
interface LeaseAcknowledgement {
  readonly sentMs: number;
  readonly number: number;
}

/**
 * The acknowledgements by which the other members renew this node's leases. An
 * acknowledgement counts from the time at which its heartbeat was sent, and only
 * once this node has applied every version that the acknowledging member had
 * applied. A lease therefore implies that no committed version was missed.
 * @example
 * const acknowledgements = new LeaseAcknowledgements(1000);
 * acknowledgements.acknowledge('incarnation-2', sentMs, 7);
 * acknowledgements.leaseEndMs(view, 'incarnation-1', 7, nowMs) > nowMs; // true while a majority renews it
 */
export class LeaseAcknowledgements {
  #leaseMs: number;
  #acknowledgements = new Map<string, LeaseAcknowledgement>();
  #singletonAckSentMs = new Map<string, number>();

  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /** Records that a member acknowledged the heartbeat sent at `sentMs` and had applied version `number`. */
  acknowledge(incarnation: string, sentMs: number, number: number): void {
    const known = this.#acknowledgements.get(incarnation);
    if (known === undefined || sentMs >= known.sentMs)
      this.#acknowledgements.set(incarnation, { sentMs, number });
  }

  /** The version that a member had applied when it last acknowledged a heartbeat. */
  versionAt(incarnation: string): number | undefined {
    return this.#acknowledgements.get(incarnation)?.number;
  }

  /** Records an acknowledgement by a member that knows of no newer coordinator. */
  acknowledgeSingleton(incarnation: string, sentMs: number): void {
    this.#singletonAckSentMs.set(
      incarnation,
      Math.max(sentMs, this.#singletonAckSentMs.get(incarnation) ?? -Infinity),
    );
  }

  /** Drops the acknowledgements for an earlier epoch's singleton lease. */
  clearSingleton(): void {
    this.#singletonAckSentMs.clear();
  }

  /** Drops all acknowledgements. */
  clear(): void {
    this.#acknowledgements.clear();
    this.#singletonAckSentMs.clear();
  }

  /** When the lease to admit work ends. */
  leaseEndMs(view: View, self: string, number: number, nowMs: number): number {
    return this.#majorityEndMs(view, (incarnation) => {
      if (incarnation === self) return nowMs;
      const acknowledgement = this.#acknowledgements.get(incarnation);
      return acknowledgement === undefined || acknowledgement.number > number
        ? -Infinity
        : acknowledgement.sentMs;
    });
  }

  /** When the singleton lease ends. */
  singletonLeaseEndMs(view: View, self: string, nowMs: number): number {
    return this.#majorityEndMs(view, (incarnation) =>
      incarnation === self ? nowMs : (this.#singletonAckSentMs.get(incarnation) ?? -Infinity),
    );
  }

  #majorityEndMs(view: View, sentMs: (incarnation: string) => number): number {
    const sent = view.members.map((member) => sentMs(member.incarnation)).sort((one, other) => other - one);
    return (sent[majority(sent.length) - 1] ?? -Infinity) + this.#leaseMs;
  }
}
