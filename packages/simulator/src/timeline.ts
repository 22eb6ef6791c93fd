/** One event of a timeline; an empty node name means the whole site. */
export interface TimelineEvent {
  readonly atMs: number;
  readonly node: string;
  readonly text: string;
}

/**
 * Renders a timeline as text with one column per node.
 * @example
 * renderTimeline(['a', 'b'], [{ atMs: 5, node: 'b', text: 'boots' }]);
 */
export function renderTimeline(nodes: readonly string[], events: readonly TimelineEvent[]): string {
  const width = 22;
  const lines = [`${'ms'.padStart(8)}  ${nodes.map((node) => node.padEnd(width)).join('')}`.trimEnd()];
  for (const { atMs, node, text } of events) {
    const at = atMs.toFixed(0).padStart(8);
    const column = nodes.indexOf(node);
    if (column < 0) lines.push(`${at}  ---- ${text}`);
    else lines.push(`${at}  ${' '.repeat(column * width)}${text}`);
  }
  return lines.join('\n');
}
