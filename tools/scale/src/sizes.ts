import { REFERENCE } from './point.js';
import type { Size } from './site.js';

/**
 * Parses the sizes of the command line; returns an error message if they are malformed.
 * @example
 * readSizes('8,16x100', { models: 4, adapters: 8, routes: 1, asked: 1 });
 */
export function readSizes(text: string, rest: Omit<Size, 'nodes' | 'rows'>): Size[] | string {
  const sizes: Size[] = [];
  for (const part of text.split(',')) {
    const match = /^(\d+)(?:x(\d+))?$/.exec(part.trim());
    const nodes = Number(match?.[1]);
    if (match === null || nodes < 2)
      return `--sizes: found ${JSON.stringify(part)}, expected EDGES or EDGESxWORKERS with two edges or more`;
    sizes.push({
      ...rest,
      nodes,
      rows:
        match[2] === undefined ? Math.round((nodes * REFERENCE.rows) / REFERENCE.nodes) : Number(match[2]),
    });
  }
  return sizes;
}
