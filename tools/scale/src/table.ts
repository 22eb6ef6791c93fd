import { REFERENCE, type Point } from './point.js';
import { FIGURES, axisOf, isSteady, slopeOfFigure } from './slope.js';

function formatFigure(value: number | undefined): string {
  if (value === undefined) return '-';
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

/**
 * Table of all figures by size, with the fitted lines and their extrapolation to the reference size.
 * @example
 * tableOf(points);
 */
export function tableOf(points: readonly Point[]): string {
  const head = [
    'figure',
    ...points.map((point) => `${point.size.nodes}x${point.size.rows}${isSteady(point) ? '' : '*'}`),
    'base',
    'each',
    'over',
    `at ${REFERENCE.nodes}x${REFERENCE.rows}`,
  ];
  const rows = FIGURES.map((figure) => {
    const over = axisOf(figure, points);
    const { base, each } = slopeOfFigure(figure, points);
    return [
      `${figure.name}, ${figure.unit}`,
      ...points.map((point) => formatFigure(figure.of(point))),
      formatFigure(base),
      formatFigure(each),
      over,
      formatFigure(base + each * REFERENCE[over]),
    ];
  });
  const widths = head.map((_, column) =>
    Math.max(...[head, ...rows].map((row) => (row[column] ?? '').length)),
  );
  const note = points.every(isSteady)
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
