import type { Point } from './point.js';

/** A figure that every point has, by what it is drawn and fitted over. */
export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly over: 'nodes' | 'rows';
  /** The letter's budget, where there is one. */
  readonly budget?: number;
  of(point: Point): number | undefined;
}

/** A straight line through points. */
export interface Slope {
  readonly base: number;
  readonly each: number;
}

/**
 * The line with the least squares through some points.
 * @example
 * slopeOf([[0, 1], [2, 5]]); // { base: 1, each: 2 }
 */
export function slopeOf(points: readonly (readonly [x: number, y: number])[]): Slope {
  const count = Math.max(1, points.length);
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const each = spread === 0 ? 0 : points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / spread;
  return { base: meanY - each * meanX, each };
}

/** What a follower says and hears, of all cores together. */
function bytesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.bytesIn + one.bytesOut + other.bytesIn + other.bytesOut;
}

function framesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.framesIn + one.framesOut + other.framesIn + other.framesOut;
}

/** The figures that are drawn, each over the size. */
export const FIGURES: readonly Figure[] = [
  { name: 'follower frames a second, quiet', unit: 'frames/s', over: 'nodes', of: framesOf },
  { name: 'follower bytes a second, quiet', unit: 'bytes/s', over: 'nodes', budget: 6000, of: bytesOf },
  { name: 'coordinator processor time, quiet', unit: 'ms/s', over: 'nodes', budget: 10, of: (point) => point.quiet.coordinator.cpuMsPerS },
  { name: 'other core processor time, quiet', unit: 'ms/s', over: 'nodes', budget: 10, of: (point) => point.quiet.otherCore.cpuMsPerS },
  { name: 'edge processor time, quiet', unit: 'ms/s', over: 'rows', budget: 10, of: (point) => point.quiet.edge.cpuMsPerS },
  { name: 'edge memory', unit: 'MB', over: 'rows', budget: 32, of: (point) => point.quiet.edge.rssMb },
  { name: 'coordinator memory', unit: 'MB', over: 'nodes', budget: 32, of: (point) => point.quiet.coordinator.rssMb },
  { name: 'whole table', unit: 'bytes', over: 'rows', of: (point) => point.join.tableBytes },
  { name: 'coordinator time for one join', unit: 'ms', over: 'rows', of: (point) => point.join.coordinatorCpuMs },
  { name: 'coordinator processor time, loads', unit: 'ms/s', over: 'nodes', budget: 10, of: (point) => point.loads.coordinator.cpuMsPerS },
  { name: 'change held by all', unit: 'ms', over: 'nodes', budget: 7000, of: (point) => (point.changes.heldByAll ? point.changes.held.most : undefined) },
  { name: 'one choice of a worker at an edge', unit: 'us', over: 'rows', of: (point) => point.chooseUs },
  { name: 'new coordinator after a kill', unit: 'ms', over: 'nodes', of: (point) => point.killedCoordinator.leadsMs },
  { name: 'all hold the table of a new coordinator', unit: 'ms', over: 'nodes', of: (point) => (point.killedCoordinator.settled ? point.killedCoordinator.tableMs : undefined) },
];

export function placesOf(figure: Figure, points: readonly Point[]): (readonly [number, number])[] {
  return points.flatMap((point) => {
    const y = figure.of(point);
    return y === undefined ? [] : [[point.size[figure.over], y] as const];
  });
}
