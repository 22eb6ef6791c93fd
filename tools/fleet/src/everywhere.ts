import { setTimeout as pause } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import type { Fleet, FleetNode } from './fleet.js';

const MAX_ATTEMPTS = 10;
const RETRY_INTERVAL_MS = 500;

/** Keys left out of the comparison: they describe the answering node alone, or change between two reads. */
const NODE_LOCAL_KEYS = new Set([
  'self',
  'disk',
  'admitting',
  'inFlight',
  'backlog',
  'served',
  'refused',
  'prompt',
  'measuredMs',
  'id',
  'number',
  'agreed',
  'stale',
]);

/** Copies an answer without its node-local keys, at every depth. */
function comparable(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(comparable);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([key]) => !NODE_LOCAL_KEYS.has(key))
      .map(([key, inner]) => [key, comparable(inner)]),
  );
}

/** Names of the nodes whose row of a per-node table carries no error. */
function rowNames(body: unknown, key: string): string[] {
  const rows = (body as Record<string, { node: string; error?: string }[]>)[key] ?? [];
  return rows.filter((row) => row.error === undefined).map((row) => row.node);
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Describes each answer whose status is not 200 or whose body differs from the first answer. */
function describeDifferences(nodes: readonly FleetNode[], path: string, answers: readonly Reply[]): string[] {
  const [first] = answers;
  return answers.flatMap((answer, index) => {
    const same = answer.status === 200 && isDeepStrictEqual(comparable(answer.body), comparable(first?.body));
    return same
      ? []
      : [
          `${path} at ${nodes[index]?.name ?? ''}: ${JSON.stringify(answer).slice(0, 2000)} and not ${JSON.stringify(first).slice(0, 2000)}`,
        ];
  });
}

/**
 * Sends every write command to each node once, then every read command to every node, and describes the
 * answers that fail or differ. Answers also differ while placement is changing, since the nodes are read at
 * slightly different moments: a read whose answers differ is retried up to `MAX_ATTEMPTS` times.
 * @example
 * const faults = await checkEveryNode(fleet, 'edge-1.0123456789ab');
 */
export async function checkEveryNode(fleet: Fleet, request: string): Promise<string[]> {
  const model = 'model-1';
  const reads = [
    'view',
    'spec',
    'spec/history',
    'zones',
    'workers',
    'groups',
    `explain/requests/${request}`,
    `explain/models/${model}`,
    'operations/everywhere-0',
    'status?node=core-1',
  ];
  const faults: string[] = [];
  const { nodes } = fleet;
  function ask(
    node: FleetNode,
    method: 'GET' | 'POST' | 'PATCH' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<Reply> {
    return fleet.ask(node.http, method, `/rainrun/v1/${path}`, body);
  }
  for (const [index, node] of nodes.entries()) {
    const edit = { add: { models: [{ name: `everywhere-${index}`, sizeMb: 1 }] } };
    const writes = [
      await ask(node, 'PATCH', 'spec', { patch: edit, id: `everywhere-${index}` }),
      await ask(node, 'POST', 'zones/north/empty', {}),
      await ask(node, 'POST', 'zones/north/restore', {}),
      await ask(node, 'POST', 'forget/nobody'),
    ];
    const failed = writes.filter(({ status }) => status !== 200);
    if (failed.length > 0) faults.push(`${node.name}: ${JSON.stringify(failed)}`);
  }
  for (const path of reads) {
    let different: string[] = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const answers = await Promise.all(nodes.map((node) => ask(node, 'GET', path)));
      different = describeDifferences(nodes, path, answers);
      if (different.length === 0) break;
      await pause(RETRY_INTERVAL_MS);
    }
    faults.push(...different);
  }
  for (const key of ['status', 'counters']) {
    for (const node of nodes) {
      const { body } = await ask(node, 'GET', key);
      if (!isDeepStrictEqual(rowNames(body, key).sort(), nodes.map(({ name }) => name).sort()))
        faults.push(`${key} at ${node.name}: ${JSON.stringify(body).slice(0, 300)}`);
    }
  }
  return faults;
}
