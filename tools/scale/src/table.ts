import { LETTER, type Point } from './point.js';
import { FIGURES, overOf, rests, slopeIn } from './slope.js';

function shown(value: number | undefined): string {
  if (value === undefined) return '-';
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

/**
 * All figures by size, with the line through them and where it leads at the letter's size.
 * @example
 * tableOf(points);
 */
export function tableOf(points: readonly Point[]): string {
  const head = [
    'figure',
    ...points.map((point) => `${point.size.nodes}x${point.size.rows}${rests(point) ? '' : '*'}`),
    'base',
    'each',
    'over',
    `at ${LETTER.nodes}x${LETTER.rows}`,
  ];
  const rows = FIGURES.map((figure) => {
    const over = overOf(figure, points);
    const { base, each } = slopeIn(figure, points);
    return [
      `${figure.name}, ${figure.unit}`,
      ...points.map((point) => shown(figure.of(point))),
      shown(base),
      shown(each),
      over,
      shown(base + each * LETTER[over]),
    ];
  });
  const widths = head.map((_, column) =>
    Math.max(...[head, ...rows].map((row) => (row[column] ?? '').length)),
  );
  const note = points.every(rests)
    ? []
    : [
        '* the fleet did not rest at this size: not every change was held by all, frames were late, or tables went out again and again; no slope goes through it',
      ];
  return [
    ...[head, ...rows].map((row) =>
      row
        .map((cell, column) =>
          column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0),
        )
        .join('  '),
    ),
    ...note,
  ].join('\n');
}
