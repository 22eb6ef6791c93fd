/** The peer listener of a platform node: retries to bind its port and logs each failed attempt. */
import type { Fault } from '@rainrun/common';
import type { Result, Unit } from 'true-myth';
import type { Log } from './log.js';
import type { PeerTransport } from './peer-transport.js';

/**
 * Listens for peers at IP:PORT and retries while the port is in use. Fault `bad-setting` after
 * `LISTEN_GIVE_UP_MS`: the process must exit then, since no peer can reach it.
 * @example
 * const bound = await listenForPeers(transport, '10.0.0.4:7660', log);
 */
export async function listenForPeers(
  transport: PeerTransport,
  address: string,
  log: Log,
): Promise<Result<Unit, Fault>> {
  function logFailure({ kind, detail }: Fault): void {
    log.error({ kind, detail, attempts: transport.counts.listenFailures }, 'peer listener failed');
  }
  const bound = await transport.listenPersistently(address, logFailure);
  if (bound.isErr) logFailure(bound.error);
  return bound;
}
