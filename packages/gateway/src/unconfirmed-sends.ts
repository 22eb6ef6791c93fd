/** Gives up sends of the research groups' gateway whose bytes may be held up on the way to a worker. */
import type { Send } from './send.js';
import type { Sender } from './sender.js';

const PROBE_GAP_MS = 200;
const PROBES_FAILED = 2;

interface ProbedWorker {
  failedProbes: number;
  probeInFlight: boolean;
  notBeforeMs: number;
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
    const silent = new Map<string, Send[]>();
    for (const send of sends) {
      if (!send.silent || !isUnconfirmed(send)) continue;
      const { address } = send.worker;
      silent.set(address, [...(silent.get(address) ?? []), send]);
    }
    for (const address of this.#probed.keys()) if (!silent.has(address)) this.#probed.delete(address);
    for (const [address, unanswered] of silent) {
      const probed = this.#probed.get(address) ?? {
        failedProbes: 0,
        probeInFlight: false,
        notBeforeMs: -Infinity,
      };
      this.#probed.set(address, probed);
      if (probed.failedProbes >= PROBES_FAILED) for (const send of unanswered) send.abandon();
      else if (!probed.probeInFlight && nowMs >= probed.notBeforeMs) this.#probe(address, probed, nowMs);
    }
  }

  #probe(address: string, probed: ProbedWorker, nowMs: number): void {
    probed.probeInFlight = true;
    probed.notBeforeMs = nowMs + PROBE_GAP_MS;
    this.#sender.probe(address, (reached) => {
      probed.probeInFlight = false;
      probed.failedProbes = reached ? 0 : probed.failedProbes + 1;
    });
  }
}
