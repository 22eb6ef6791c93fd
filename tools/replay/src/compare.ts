import type { Seen } from '@rainrun/load-generator';

/** One replayed call: its result, which holds the recorded call, and the worker that it was sent to. */
export interface ReplayedCall {
  readonly seen: Seen;
  /** The worker of the replayed call, or undefined if the edge no longer reports it. */
  readonly worker: string | undefined;
}

/** Differences between a replay and its recording. */
export interface ReplayDifferences {
  readonly calls: number;
  /** Number of calls for each change of outcome, keyed `recorded -> replayed`. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly sameWorker: number;
  readonly otherWorker: number;
  /** Median of the replayed over the recorded time to the first piece, over calls served in the replay. */
  readonly ratioP50: number | undefined;
  /** 95th percentile of the ratio whose median is `ratioP50`. */
  readonly ratioP95: number | undefined;
}

function quantile(values: readonly number[], fraction: number): number | undefined {
  const sorted = [...values].sort((one, other) => one - other);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
  return value === undefined ? undefined : Number(value.toFixed(2));
}

/**
 * Compares a replay with its recording: answers, assignments, latencies.
 * @example
 * compareReplay([{ seen, worker: 'worker-1' }]).calls; // 1
 */
export function compareReplay(replayed: readonly ReplayedCall[]): ReplayDifferences {
  const outcomes: Record<string, number> = {};
  const ratios: number[] = [];
  let sameWorker = 0;
  let otherWorker = 0;
  for (const { seen, worker } of replayed) {
    const { call, outcome, firstPieceMs } = seen;
    if (call.outcome !== undefined && call.outcome !== outcome) {
      const change = `${call.outcome} -> ${outcome}`;
      outcomes[change] = (outcomes[change] ?? 0) + 1;
    }
    if (call.firstPieceMs !== undefined && outcome === 'served')
      ratios.push(firstPieceMs / Math.max(1, call.firstPieceMs));
    if (call.worker === undefined || call.worker === '' || worker === undefined) continue;
    if (call.worker === worker) sameWorker += 1;
    else otherWorker += 1;
  }
  return {
    calls: replayed.length,
    outcomes,
    sameWorker,
    otherWorker,
    ratioP50: quantile(ratios, 0.5),
    ratioP95: quantile(ratios, 0.95),
  };
}
