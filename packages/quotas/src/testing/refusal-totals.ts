/** Totals of the refusal oracle's counts over many trials. */
import type { RefusalCount, RefusalCounts } from './refusal-oracle.js';

const PHASES = ['steady', 'moved', 'other'] as const;

/** Totals by phase. */
export class RefusalTotals {
  readonly steady: RefusalCount = { withinLimit: 0, refused: 0, slow: 0 };
  readonly moved: RefusalCount = { withinLimit: 0, refused: 0, slow: 0 };
  readonly other: RefusalCount = { withinLimit: 0, refused: 0, slow: 0 };

  add(counts: RefusalCounts): void {
    for (const phase of PHASES) {
      this[phase].withinLimit += counts[phase].withinLimit;
      this[phase].refused += counts[phase].refused;
      this[phase].slow += counts[phase].slow;
    }
  }

  /** Returns the percentage of requests within the limit that were refused in a phase. */
  refusedPercent(phase: keyof RefusalCounts): number {
    return percent(this[phase].refused, this[phase].withinLimit);
  }

  report(): string {
    return PHASES.map((phase) => {
      const { withinLimit, refused, slow } = this[phase];
      const parts = `${percent(refused, withinLimit).toFixed(2)} % refused, ${percent(slow, withinLimit).toFixed(2)} % slow`;
      return `${phase} ${withinLimit}: ${parts}`;
    }).join('; ');
  }
}

function percent(part: number, whole: number): number {
  return (100 * part) / Math.max(1, whole);
}
