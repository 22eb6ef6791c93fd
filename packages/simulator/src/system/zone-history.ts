/**
 * Checks evacuations against their history. Whether a zone is evacuated is a register that evacuations and
 * returns overwrite. A write without a definite answer may take effect at any later time; an acknowledged
 * write stays until another one may have followed it.
 */
import { firstAcknowledgedMs, firstInvokedMs, type ZoneOrder, type ZoneRead } from './history.js';

/** A write of the register, or its initial value. */
interface Write {
  readonly evacuated: boolean;
  readonly earliestMs: number;
  readonly acknowledgedMs: number;
}

const INITIAL: Write = { evacuated: false, earliestMs: -Infinity, acknowledgedMs: -Infinity };

/**
 * Returns descriptions of the reads and refusals that contradict the acknowledged evacuations.
 * @example
 * checkZones([], [{ reader: 'core-0', zone: 'north', atMs: 5, evacuated: false }]); // []
 */
export function checkZones(orders: readonly ZoneOrder[], reads: readonly ZoneRead[]): string[] {
  const violations = orders
    .filter((order) => order.attempts.some((attempt) => attempt.outcome === 'refused'))
    .map((order) => `order ${order.id} for zone ${order.zone} was refused`);
  for (const read of reads) {
    const writes = [INITIAL, ...orders.filter((order) => order.zone === read.zone).map(writeOf)];
    if (!writes.some((write) => mayBeNewest(write, read, writes)))
      violations.push(
        `${read.reader} has zone ${read.zone} ${read.evacuated ? '' : 'not '}evacuated at ${read.atMs.toFixed(0)}`,
      );
  }
  return violations;
}

function writeOf({ evacuated, attempts }: ZoneOrder): Write {
  return { evacuated, earliestMs: firstInvokedMs(attempts), acknowledgedMs: firstAcknowledgedMs(attempts) };
}

/**
 * Whether a write may be the newest one at the time of the read: no opposite write was sent after its
 * acknowledgement and acknowledged before the read.
 */
function mayBeNewest(write: Write, read: ZoneRead, writes: readonly Write[]): boolean {
  if (write.evacuated !== read.evacuated || write.earliestMs > read.atMs) return false;
  return !writes.some(
    (later) =>
      later.evacuated !== write.evacuated &&
      later.earliestMs > write.acknowledgedMs &&
      later.acknowledgedMs < read.atMs,
  );
}
