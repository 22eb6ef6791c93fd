/** Reads replies whose sender may send without end. */
import { ByteCollector } from './byte-collector.js';

/** A smaller piece is charged as this many bytes: reading it costs as much. */
const MIN_CHARGED_BYTES = 64;

/**
 * Reads a body whole; undefined if it is larger than `maxBytes`. What of it is left then is not read: its sender is
 * told by the end of the iteration.
 * @example
 * const { body } = await request('http://127.0.0.1:9000/workers');
 * const bytes = await readBoundedBody(body, 4_194_304);
 */
export async function readBoundedBody(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const collector = new ByteCollector();
  let chargedBytes = 0;
  for await (const piece of body) {
    chargedBytes += Math.max(piece.length, MIN_CHARGED_BYTES);
    if (chargedBytes > maxBytes) return undefined;
    collector.append(piece);
  }
  return collector.take();
}
