/** Gives up sends of the research groups' gateway whose bytes may be held up on the way to a worker. */
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
 * Sends whose worker may get no more work, or of which this node cannot know
 * whether it may, and which have had no response from the worker yet: their bytes
 * may still be held up on the way. Each such worker is probed for a
 * connection; where two probes in a row find no way, its silent sends are
 * given up and their connections reset, so that nothing arrives there late.
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
