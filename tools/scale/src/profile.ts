import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import * as v from 'valibot';

const ProfileSchema = v.object({
  nodes: v.array(
    v.object({
      id: v.number(),
      callFrame: v.object({ functionName: v.string(), url: v.string() }),
      children: v.optional(v.array(v.number()), []),
    }),
  ),
  samples: v.array(v.number()),
  timeDeltas: v.array(v.number()),
});

/** One function's share of a process's busy time. */
export interface FunctionShare {
  readonly name: string;
  /** Shares of the non-idle time: of the function itself, and including all functions that it called. */
  readonly selfShare: number;
  readonly totalShare: number;
}

/**
 * Functions in which a process spent its time, the largest total share first.
 * @example
 * functionSharesOf('run/profiles')[0]?.name;
 */
export function functionSharesOf(folder: string): FunctionShare[] {
  const [file] = readdirSync(folder).filter((name) => name.endsWith('.cpuprofile'));
  if (file === undefined) return [];
  const { nodes, samples, timeDeltas } = v.parse(
    ProfileSchema,
    JSON.parse(readFileSync(join(folder, file), 'utf8')),
  );
  const parents = new Map(nodes.flatMap((node) => node.children.map((child) => [child, node.id] as const)));
  const names = new Map(
    nodes.map(({ id, callFrame: { functionName, url } }) => [
      id,
      `${functionName === '' ? '(nameless)' : functionName} ${url.split('/').slice(-2).join('/')}`.trim(),
    ]),
  );
  const [self, total] = [new Map<string, number>(), new Map<string, number>()];
  let busy = 0;
  for (const [nth, sample] of samples.entries()) {
    const name = names.get(sample) ?? '';
    const us = timeDeltas[nth] ?? 0;
    if (name === '(idle)' || name === '(program)') continue;
    busy += us;
    self.set(name, (self.get(name) ?? 0) + us);
    const stack = new Set<string>();
    for (let at: number | undefined = sample; at !== undefined; at = parents.get(at))
      stack.add(names.get(at) ?? '');
    for (const caller of stack) total.set(caller, (total.get(caller) ?? 0) + us);
  }
  return [...total]
    .map(([name, us]) => ({ name, selfShare: (self.get(name) ?? 0) / busy, totalShare: us / busy }))
    .sort((one, other) => other.totalShare - one.totalShare);
}
