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
 * whether it may, and which have had no word from the worker yet: their bytes
 * may still be held up on the way. Each such worker is probed for a
 * connection; where two probes in a row find no way, its silent sends are
 * given up and their connections reset, so that nothing arrives there late.
 * @example
 * const doubt = new UnconfirmedSends(sender);
 * doubt.tick(sends, (send) => isLeaving(send.worker), nowMs);
 */
export class UnconfirmedSends {
  #sender: Sender;
  #probed = new Map<string, ProbedWorker>();

  constructor(sender: Sender) {
    this.#sender = sender;
  }

  tick(sends: Iterable<Send>, isDoubtful: (send: Send) => boolean, nowMs: number): void {
    const silent = new Map<string, Send[]>();
    for (const send of sends) {
      if (!send.silent || !isDoubtful(send)) continue;
      const { address } = send.worker;
      silent.set(address, [...(silent.get(address) ?? []), send]);
    }
    for (const address of this.#probed.keys()) if (!silent.has(address)) this.#probed.delete(address);
    for (const [address, unheard] of silent) {
      const doubted = this.#probed.get(address) ?? {
        failedProbes: 0,
        probeInFlight: false,
        notBeforeMs: -Infinity,
      };
      this.#probed.set(address, doubted);
      if (doubted.failedProbes >= PROBES_FAILED) for (const send of unheard) send.abandon();
      else if (!doubted.probeInFlight && nowMs >= doubted.notBeforeMs) this.#probe(address, doubted, nowMs);
    }
  }

  #probe(address: string, doubted: ProbedWorker, nowMs: number): void {
    doubted.probeInFlight = true;
    doubted.notBeforeMs = nowMs + PROBE_GAP_MS;
    this.#sender.probe(address, (reached) => {
      doubted.probeInFlight = false;
      doubted.failedProbes = reached ? 0 : doubted.failedProbes + 1;
    });
  }
}
