import type { Point } from './point.js';

/** By design 6 2/3 status frames per second, each answered once, plus coordinator changes and urgent updates. */
const MAX_FRAMES_PER_S = 16;
/** Largest allowed growth of a follower's frames and bytes from the smallest to the largest size. */
const MAX_GROWTH = 1.25;
/** Allowed orders for each placed load, plus an allowance for loads still in progress. */
const MAX_ORDERS_PER_LOAD = 4;
const EXTRA_ORDERS = 8;

function framesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.framesIn + one.framesOut + other.framesIn + other.framesOut;
}

function bytesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.bytesIn + one.bytesOut + other.bytesIn + other.bytesOut;
}

/** Descriptions of the failed checks of one point. */
function faultsAt(point: Point): string[] {
  const { join, loads, changes, restarts, zone, parted, killedEdge, killedCoordinator: killed } = point;
  const frames = framesOf(point);
  const checks: readonly (readonly [isSound: boolean, otherwise: string])[] = [
    [
      frames <= MAX_FRAMES_PER_S,
      `${frames.toFixed(1)} frames a second of one follower, at most ${MAX_FRAMES_PER_S}`,
    ],
    [join.settled, 'not every follower joined'],
    [loads.placed.count > 0, 'nothing that was asked for was placed'],
    [
      loads.orders <= MAX_ORDERS_PER_LOAD * loads.placed.count + EXTRA_ORDERS,
      `${loads.orders} orders for ${loads.placed.count} placed`,
    ],
    [changes.heldByAll, 'a change was not held by all'],
    [changes.stateTells > 0, 'no follower noted that it was told a state'],
    [restarts.taken >= restarts.made, `${restarts.taken} tables taken for ${restarts.made} restarts`],
    [
      restarts.wholes === restarts.taken,
      `${restarts.wholes} whole tables sent where ${restarts.taken} were taken`,
    ],
    [zone.settled, 'a lost zone was not known to all'],
    [parted.settled, 'followers that were parted did not catch up'],
    [killedEdge.settled, 'a killed edge was not known to all'],
    [
      killed.settled && killed.tables === 1,
      `${killed.tables} tables after one kill, settled: ${killed.settled}`,
    ],
  ];
  return checks.flatMap(([isSound, otherwise]) => (isSound ? [] : [otherwise]));
}

/**
 * Descriptions of the failed checks at all sizes. Only counts are checked, never the speed of the machine.
 * @example
 * faultsOf(points).length; // 0
 */
export function faultsOf(points: readonly Point[]): string[] {
  const sorted = [...points].sort((one, other) => one.size.nodes - other.size.nodes);
  const faults = sorted.flatMap((point) =>
    faultsAt(point).map((fault) => `${point.size.nodes}x${point.size.rows}: ${fault}`),
  );
  const [first, last] = [sorted.at(0), sorted.at(-1)];
  if (first === undefined || last === undefined) return [...faults, 'no size was played'];
  for (const [name, of] of [['frames', framesOf] as const, ['bytes', bytesOf] as const]) {
    if (of(last) > MAX_GROWTH * of(first))
      faults.push(
        `${name} of one follower grow with the fleet: ${of(first).toFixed(1)} a second at ${first.size.nodes} edges, ${of(last).toFixed(1)} at ${last.size.nodes}`,
      );
  }
  return faults;
}
