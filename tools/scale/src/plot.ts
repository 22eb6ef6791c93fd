import { scaleLinear } from 'd3-scale';
import { line } from 'd3-shape';
import type { Point } from './point.js';
import { FIGURES, axisOf, coordinatesOf, slopeOfFigure, type Figure } from './slope.js';

const WIDTH = 420;
const HEIGHT = 240;
const LEFT = 64;
const RIGHT = 12;
const TOP = 26;
const BOTTOM = 36;

/**
 * Plots one figure over the fleet size: measured points, the fitted line and the required budget.
 * @example
 * plot(FIGURES[0], points).startsWith('<svg'); // true
 */
export function plot(figure: Figure, points: readonly Point[]): string {
  const places = coordinatesOf(figure, points);
  const { base, each } = slopeOfFigure(figure, points);
  const mostX = Math.max(1, ...places.map(([x]) => x));
  const mostY = Math.max(1e-9, figure.budget ?? 0, ...places.map(([, y]) => y));
  const across = scaleLinear([0, mostX], [LEFT, WIDTH - RIGHT]).nice();
  const up = scaleLinear([0, mostY], [HEIGHT - BOTTOM, TOP]).nice();
  const draw = line<readonly [number, number]>(
    ([x]) => across(x),
    ([, y]) => up(y),
  );
  const fit = draw([0, mostX].map((x) => [x, Math.max(0, base + each * x)] as const)) ?? '';
  const parts = [
    ...up
      .ticks(4)
      .map(
        (tick) =>
          `<path d="M${LEFT} ${up(tick)}H${WIDTH - RIGHT}" stroke="#ddd"/><text x="${LEFT - 4}" y="${up(tick) + 4}" text-anchor="end">${up.tickFormat(4, '~s')(tick)}</text>`,
      ),
    ...across
      .ticks(5)
      .map(
        (tick) => `<text x="${across(tick)}" y="${HEIGHT - BOTTOM + 14}" text-anchor="middle">${tick}</text>`,
      ),
    `<path d="${fit}" stroke="#36c" fill="none"/>`,
    ...places.map(
      ([x, y]) => `<circle cx="${across(x).toFixed(1)}" cy="${up(y).toFixed(1)}" r="3" fill="#36c"/>`,
    ),
    ...(figure.budget === undefined
      ? []
      : [
          `<path d="M${LEFT} ${up(figure.budget)}H${WIDTH - RIGHT}" stroke="#c33" stroke-dasharray="4 3"/><text x="${WIDTH - RIGHT}" y="${up(figure.budget) - 3}" text-anchor="end" fill="#c33">budget</text>`,
        ]),
    `<text x="${LEFT}" y="16" font-weight="bold">${figure.name}, ${figure.unit}</text>`,
    `<text x="${WIDTH - RIGHT}" y="${HEIGHT - 6}" text-anchor="end">${axisOf(figure, points) === 'nodes' ? 'edges' : 'workers'}</text>`,
  ];
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">\n${parts.join('\n')}\n</svg>\n`;
}

/** Plots of all figures, each with its file name without extension. */
export function plots(points: readonly Point[]): [name: string, svg: string][] {
  return FIGURES.map((figure) => [
    figure.name.replaceAll(',', '').replaceAll(' ', '-'),
    plot(figure, points),
  ]);
}
