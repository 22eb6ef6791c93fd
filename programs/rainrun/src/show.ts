type Row = Record<string, unknown>;

function cell(value: unknown): string {
  if (value === null || value === undefined) return '-';
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(cell).join(' ');
  if (typeof value === 'object') {
    const { model, adapters } = value as { model?: string; adapters?: string[] };
    if (model === undefined) return JSON.stringify(value);
    return adapters === undefined || adapters.length === 0 ? model : `${model}(${adapters.join(',')})`;
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function table(rows: readonly Row[]): string {
  const first = rows[0];
  if (first === undefined) return '(none)';
  const keys = Object.keys(first);
  const widths = keys.map((key) => Math.max(key.length, ...rows.map((row) => cell(row[key]).length)));
  function line(cells: readonly string[]): string {
    return cells
      .map((text, place) => text.padEnd(widths[place] ?? 0))
      .join('  ')
      .trimEnd();
  }
  return [line(keys), ...rows.map((row) => line(keys.map((key) => cell(row[key]))))].join('\n');
}

function pairs(body: Row): string {
  return Object.entries(body)
    .map(([key, value]) => {
      if (Array.isArray(value) && value.some((item) => typeof item === 'object'))
        return `${key}:\n${table(value as Row[])}`;
      return `${key}: ${cell(value)}`;
    })
    .join('\n');
}

/**
 * An answer as a person reads it.
 * @example
 * show('zones', { zones: [{ zone: 'north', emptied: false }] });
 */
export function show(command: string, body: unknown): string {
  const row = body as Row;
  const error = row['error'] as Row | undefined;
  if (error !== undefined) {
    const faults = (error['faults'] as Row[] | undefined) ?? [];
    const lines = faults.map((one) => `  ${cell(one['path'])}: ${cell(one['message'])}`);
    const lastKnown = row['lastKnown'] as Row | undefined;
    if (lastKnown !== undefined) lines.push('not current, last known here:', pairs(lastKnown));
    return [
      `${cell(error['kind'])}: ${cell(error['message'])}${error['id'] === undefined ? '' : ` (id ${cell(error['id'])})`}`,
      ...lines,
    ].join('\n');
  }
  if (row['stale'] === true) {
    const { stale: _stale, ...known } = row;
    return `not current, this node hears no majority; last known here:\n${show(command, known)}`;
  }
  if (command === 'spec get') return cell(row['text']);
  const only = Object.values(row);
  if (only.length === 1 && Array.isArray(only[0])) return table(only[0] as Row[]);
  const counters = row['counters'] as Row | undefined;
  return pairs(counters ?? row);
}
