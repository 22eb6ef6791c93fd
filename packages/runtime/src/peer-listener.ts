/** The listener for peers of a program on a platform: bound again where it fails, with a line in the log for each attempt. */
import type { Fault } from '@rainrun/common';
import type { Result, Unit } from 'true-myth';
import type { Log } from './log.js';
import type { PeerTransport } from './peer-transport.js';

/**
 * Listens for peers at IP:PORT, again and again where the port is taken. Fault after `LISTEN_GIVE_UP_MS`:
 * `bad-setting`; the process is to end then, since it hears nobody.
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
