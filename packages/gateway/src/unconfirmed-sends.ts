/** Abandons sends whose bytes may be delayed in the network on the way to a worker. */
import type { Send } from './send.js';
import type { Sender } from './sender.js';

const PROBE_INTERVAL_MS = 200;
const MAX_FAILED_PROBES = 2;

interface ProbedWorker {
  failedProbes: number;
  probeInFlight: boolean;
  nextProbeMs: number;
}

/**
 * Handles unconfirmed sends: those without a response so far whose worker may no longer receive work, or may
 * not as far as this node can tell. Their bytes may still be delayed in the network. Each such worker is
 * probed by opening a connection. After two failed probes in a row its unanswered sends are abandoned and
 * their connections reset, so that no bytes arrive there late.
 * @example
 * const unconfirmed = new UnconfirmedSends(sender);
 * unconfirmed.tick(sends, (send) => isDraining(send.worker), nowMs);
 */
export class UnconfirmedSends {
  #sender: Sender;
  #probed = new Map<string, ProbedWorker>();

  constructor(sender: Sender) {
    this.#sender = sender;
  }

  /** Probes the workers of all unconfirmed sends, and abandons the sends whose probes have failed. */
  tick(sends: Iterable<Send>, isUnconfirmed: (send: Send) => boolean, nowMs: number): void {
    const unanswered = new Map<string, Send[]>();
    for (const send of sends) {
      if (!send.isUnanswered || !isUnconfirmed(send)) continue;
      const { address } = send.worker;
      unanswered.set(address, [...(unanswered.get(address) ?? []), send]);
    }
    for (const address of this.#probed.keys()) if (!unanswered.has(address)) this.#probed.delete(address);
    for (const [address, unansweredSends] of unanswered) {
      const probed = this.#probed.get(address) ?? {
        failedProbes: 0,
        probeInFlight: false,
        nextProbeMs: -Infinity,
      };
      this.#probed.set(address, probed);
      if (probed.failedProbes >= MAX_FAILED_PROBES) for (const send of unansweredSends) send.abandon();
      else if (!probed.probeInFlight && nowMs >= probed.nextProbeMs) this.#probe(address, probed, nowMs);
    }
  }

  #probe(address: string, probed: ProbedWorker, nowMs: number): void {
    probed.probeInFlight = true;
    probed.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    this.#sender.probe(address, (isReachable) => {
      probed.probeInFlight = false;
      probed.failedProbes = isReachable ? 0 : probed.failedProbes + 1;
    });
  }
}
