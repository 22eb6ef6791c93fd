import type { Point } from './point.js';

/** Six and two thirds follows a second by design, each told once, and what a change of coordinator or a haste adds. */
const FRAMES_MOST = 16;
/** A follower's frames and bytes may differ by so much between the smallest and the largest size. */
const GROWTH_MOST = 1.25;

function framesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.framesIn + one.framesOut + other.framesIn + other.framesOut;
}

function bytesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.bytesIn + one.bytesOut + other.bytesIn + other.bytesOut;
}

/**
 * What is off by counts at some size; nothing here looks at how fast the machine was.
 * @example
 * faultsOf(points).length; // 0
 */
export function faultsOf(points: readonly Point[]): string[] {
  const faults: string[] = [];
  const sorted = [...points].sort((one, other) => one.size.nodes - other.size.nodes);
  for (const point of sorted) {
    const { size, join, loads, changes, restarts, zone, parted, killedEdge, killedCoordinator } = point;
    const at = `${size.nodes}x${size.rows}`;
    const frames = framesOf(point);
    if (frames > FRAMES_MOST)
      faults.push(`${at}: ${frames.toFixed(1)} frames a second of one follower, at most ${FRAMES_MOST}`);
    if (!join.settled) faults.push(`${at}: not every follower joined`);
    if (loads.placed.count === 0) faults.push(`${at}: nothing that was asked for was placed`);
    if (loads.orders > 4 * loads.placed.count + 8)
      faults.push(`${at}: ${loads.orders} orders for ${loads.placed.count} placed`);
    if (!changes.heldByAll) faults.push(`${at}: a change was not held by all`);
    if (restarts.taken < restarts.made)
      faults.push(`${at}: ${restarts.taken} tables taken for ${restarts.made} restarts`);
    if (restarts.wholes !== restarts.taken)
      faults.push(`${at}: ${restarts.wholes} whole tables sent where ${restarts.taken} were taken`);
    if (!zone.settled) faults.push(`${at}: a lost zone was not known to all`);
    if (!parted.settled) faults.push(`${at}: followers that were parted did not catch up`);
    if (!killedEdge.settled) faults.push(`${at}: a killed edge was not known to all`);
    if (!killedCoordinator.settled || killedCoordinator.tables !== 1)
      faults.push(
        `${at}: ${killedCoordinator.tables} tables after one kill, settled: ${killedCoordinator.settled}`,
      );
  }
  const [first, last] = [sorted.at(0), sorted.at(-1)];
  if (first === undefined || last === undefined) return [...faults, 'no size was played'];
  for (const [name, of] of [['frames', framesOf] as const, ['bytes', bytesOf] as const]) {
    if (of(last) > GROWTH_MOST * of(first))
      faults.push(
        `${name} of one follower grow with the fleet: ${of(first).toFixed(1)} a second at ${first.size.nodes} edges, ${of(last).toFixed(1)} at ${last.size.nodes}`,
      );
  }
  return faults;
}
