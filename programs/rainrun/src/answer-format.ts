type Row = Record<string, unknown>;

function formatCell(value: unknown): string {
  if (value === null || value === undefined) return '-';
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(formatCell).join(' ');
  if (typeof value === 'object') {
    const { model, adapters } = value as { model?: string; adapters?: string[] };
    if (model === undefined) return JSON.stringify(value);
    return adapters === undefined || adapters.length === 0 ? model : `${model}(${adapters.join(',')})`;
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function formatTable(rows: readonly Row[]): string {
  const first = rows[0];
  if (first === undefined) return '(none)';
  const keys = Object.keys(first);
  const widths = keys.map((key) => Math.max(key.length, ...rows.map((row) => formatCell(row[key]).length)));
  function formatLine(cells: readonly string[]): string {
    return cells
      .map((text, column) => text.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  }
  return [formatLine(keys), ...rows.map((row) => formatLine(keys.map((key) => formatCell(row[key]))))].join(
    '\n',
  );
}

function formatPairs(body: Row): string {
  return Object.entries(body)
    .map(([key, value]) => {
      if (Array.isArray(value) && value.some((item) => typeof item === 'object'))
        return `${key}:\n${formatTable(value as Row[])}`;
      return `${key}: ${formatCell(value)}`;
    })
    .join('\n');
}

/**
 * Formats a node's answer as text: a list as a table, other fields as `key: value` lines, or the error.
 * @example
 * formatAnswer('zones', { zones: [{ zone: 'north', emptied: false }] });
 */
export function formatAnswer(command: string, body: unknown): string {
  const row = body as Row;
  const error = row['error'] as Row | undefined;
  if (error !== undefined) {
    const faults = (error['faults'] as Row[] | undefined) ?? [];
    const lines = faults.map((one) => `  ${formatCell(one['path'])}: ${formatCell(one['message'])}`);
    const lastKnown = row['lastKnown'] as Row | undefined;
    if (lastKnown !== undefined) lines.push('not current, last known here:', formatPairs(lastKnown));
    return [
      `${formatCell(error['kind'])}: ${formatCell(error['message'])}${error['id'] === undefined ? '' : ` (id ${formatCell(error['id'])})`}`,
      ...lines,
    ].join('\n');
  }
  if (row['stale'] === true) {
    const { stale: _stale, ...known } = row;
    return `not current, this node hears no majority; last known here:\n${formatAnswer(command, known)}`;
  }
  if (command === 'spec get') return formatCell(row['text']);
  const values = Object.values(row);
  if (values.length === 1 && Array.isArray(values[0])) return formatTable(values[0] as Row[]);
  const counters = row['counters'] as Row | undefined;
  return formatPairs(counters ?? row);
}
