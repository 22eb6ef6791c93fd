import type { Point } from './point.js';

/** A figure derived from a point, and the size dimension over which it is plotted and fitted. */
export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly over: 'nodes' | 'rows';
  /** Budget of the requirements, if there is one. */
  readonly budget?: number;
  of(point: Point): number | undefined;
}

/** A straight line fitted to points. */
export interface Slope {
  readonly base: number;
  readonly each: number;
}

/**
 * Fits a line to points by least squares.
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

/** Bytes per second that a follower exchanges with all cores. */
function bytesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.bytesIn + one.bytesOut + other.bytesIn + other.bytesOut;
}

function framesOf({ quiet: { withCoordinator: one, withOthers: other } }: Point): number {
  return one.framesIn + one.framesOut + other.framesIn + other.framesOut;
}

function followersOf({ size }: Point): number {
  return Math.max(1, size.nodes - 1);
}

/** Coordinator processor time per order, beyond its usage in the quiet phase. */
function orderMs({ loads, quiet }: Point): number | undefined {
  const perS = (loads.orders / loads.windowMs) * 1000;
  return perS === 0 ? undefined : (loads.coordinator.cpuMsPerS - quiet.coordinator.cpuMsPerS) / perS;
}

/** All figures that are listed in the table and plotted. */
export const FIGURES: readonly Figure[] = [
  { name: 'follower frames a second, quiet', unit: 'frames/s', over: 'nodes', of: framesOf },
  { name: 'follower bytes a second, quiet', unit: 'bytes/s', over: 'nodes', budget: 6000, of: bytesOf },
  {
    name: 'follower processor time, quiet',
    unit: 'ms/s',
    over: 'rows',
    budget: 10,
    of: (point) => point.quiet.hollow.cpuMsPerS,
  },
  {
    name: 'edge processor time, quiet',
    unit: 'ms/s',
    over: 'rows',
    budget: 10,
    of: (point) => point.quiet.edge.cpuMsPerS,
  },
  {
    name: 'edge processor time, loads',
    unit: 'ms/s',
    over: 'rows',
    budget: 10,
    of: (point) => point.loads.edge.cpuMsPerS,
  },
  { name: 'edge memory', unit: 'MB', over: 'rows', budget: 32, of: (point) => point.quiet.edge.rssMb },
  { name: 'one choice of a worker at an edge', unit: 'us', over: 'rows', of: (point) => point.chooseUs },
  {
    name: 'coordinator processor time, quiet',
    unit: 'ms/s',
    over: 'nodes',
    of: (point) => point.quiet.coordinator.cpuMsPerS,
  },
  {
    name: 'coordinator processor time, loads',
    unit: 'ms/s',
    over: 'nodes',
    of: (point) => point.loads.coordinator.cpuMsPerS,
  },
  { name: 'coordinator time for one order', unit: 'ms', over: 'nodes', of: orderMs },
  { name: 'coordinator memory', unit: 'MB', over: 'nodes', of: (point) => point.quiet.coordinator.rssMb },
  {
    name: 'other core processor time, quiet',
    unit: 'ms/s',
    over: 'nodes',
    of: (point) => point.quiet.otherCore.cpuMsPerS,
  },
  { name: 'other core memory', unit: 'MB', over: 'nodes', of: (point) => point.quiet.otherCore.rssMb },
  { name: 'whole table', unit: 'bytes', over: 'rows', of: (point) => point.join.tableBytes },
  { name: 'platform list', unit: 'bytes', over: 'rows', of: (point) => point.listBytes },
  {
    name: 'state',
    unit: 'bytes',
    over: 'nodes',
    of: (point) => (point.stateBytes === 0 ? undefined : point.stateBytes),
  },
  { name: 'disk of a core', unit: 'bytes', over: 'nodes', of: (point) => point.diskBytes },
  { name: 'join, middle', unit: 'ms', over: 'nodes', of: (point) => point.join.times.middle },
  {
    name: 'coordinator time for one join',
    unit: 'ms',
    over: 'rows',
    of: (point) => point.join.coordinatorCpuMs,
  },
  {
    name: 'load held at the edge that asked, middle',
    unit: 'ms',
    over: 'nodes',
    of: (point) => (point.loads.placed.count === 0 ? undefined : point.loads.placed.middle),
  },
  {
    name: 'bytes to one follower for one order',
    unit: 'bytes',
    over: 'nodes',
    of: (point) =>
      point.loads.orders === 0 ? undefined : point.loads.tellBytes / point.loads.orders / followersOf(point),
  },
  {
    name: 'change held by all',
    unit: 'ms',
    over: 'nodes',
    budget: 7000,
    of: (point) => (point.changes.heldByAll ? point.changes.held.most : undefined),
  },
  {
    name: 'states told to one follower for one change',
    unit: 'times',
    over: 'nodes',
    of: (point) =>
      point.changes.heldByAll
        ? point.changes.stateTells / point.changes.made / followersOf(point)
        : undefined,
  },
  {
    name: 'whole tables for one restart',
    unit: 'times',
    over: 'nodes',
    of: (point) => point.restarts.wholes / point.restarts.made,
  },
  {
    name: 'restart, ready again, middle',
    unit: 'ms',
    over: 'nodes',
    of: (point) => point.restarts.join.middle,
  },
  {
    name: 'lost zone known to all',
    unit: 'ms',
    over: 'nodes',
    of: (point) => (point.zone.settled ? point.zone.heldMs : undefined),
  },
  {
    name: 'killed edge known to all',
    unit: 'ms',
    over: 'nodes',
    of: (point) => (point.killedEdge.settled ? point.killedEdge.knownMs : undefined),
  },
  {
    name: 'parted region caught up',
    unit: 'ms',
    over: 'nodes',
    of: (point) => (point.parted.settled ? point.parted.currentMs : undefined),
  },
  {
    name: 'new coordinator after a kill',
    unit: 'ms',
    over: 'nodes',
    of: (point) => point.killedCoordinator.leadsMs,
  },
  {
    name: 'all hold the table of a new coordinator',
    unit: 'ms',
    over: 'nodes',
    of: (point) => (point.killedCoordinator.settled ? point.killedCoordinator.tableMs : undefined),
  },
  {
    name: 'whole tables to one follower after a kill',
    unit: 'times',
    over: 'nodes',
    of: (point) => point.killedCoordinator.wholes / followersOf(point),
  },
  {
    name: 'processors of the whole run, quiet',
    unit: 'processors',
    over: 'nodes',
    of: (point) => point.quiet.processors,
  },
];

function differs(over: 'nodes' | 'rows', points: readonly Point[]): boolean {
  return new Set(points.map(({ size }) => size[over])).size > 1;
}

/** Size dimension for fitting a figure: its own, unless only the other one differs between the points. */
export function axisOf(figure: Figure, points: readonly Point[]): 'nodes' | 'rows' {
  const other = figure.over === 'nodes' ? 'rows' : 'nodes';
  return !differs(figure.over, points) && differs(other, points) ? other : figure.over;
}

/** By design a follower sends and receives 13.3 frames a second; far fewer mean that cores or links lag. */
const MIN_FRAMES_PER_S = 11;

/** Whether the fleet was in a steady state at this size; other sizes would distort the slopes. */
export function isSteady(point: Point): boolean {
  const { changes, restarts } = point;
  return framesOf(point) >= MIN_FRAMES_PER_S && changes.heldByAll && restarts.wholes <= 2 * restarts.made;
}

/** Fits a figure's line to the sizes at which the fleet was in a steady state. */
export function slopeOfFigure(figure: Figure, points: readonly Point[]): Slope {
  return slopeOf(coordinatesOf(figure, points.filter(isSteady)));
}

/** Coordinates of a figure at each point that has it: the size on its axis, and the value. */
export function coordinatesOf(figure: Figure, points: readonly Point[]): (readonly [number, number])[] {
  const over = axisOf(figure, points);
  return points.flatMap((point) => {
    const y = figure.of(point);
    return y === undefined ? [] : [[point.size[over], y] as const];
  });
}
