import { LETTER, type Point } from './point.js';
import { FIGURES, overOf, placesOf, slopeOf } from './slope.js';

function shown(value: number | undefined): string {
  if (value === undefined) return 'not held';
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

/**
 * All figures by size, with the line through them and where it leads at the letter's size.
 * @example
 * tableOf(points);
 */
export function tableOf(points: readonly Point[]): string {
  const head = ['figure', ...points.map(({ size }) => `${size.nodes}x${size.rows}`), 'base', 'each', 'over', `at ${LETTER.nodes}x${LETTER.rows}`];
  const rows = FIGURES.map((figure) => {
    const over = overOf(figure, points);
    const { base, each } = slopeOf(placesOf(figure, points));
    return [`${figure.name}, ${figure.unit}`, ...points.map((point) => shown(figure.of(point))), shown(base), shown(each), over, shown(base + each * LETTER[over])];
  });
  const widths = head.map((_, column) => Math.max(...[head, ...rows].map((row) => (row[column] ?? '').length)));
  return [head, ...rows].map((row) => row.map((cell, column) => (column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0))).join('  ')).join('\n');
}
