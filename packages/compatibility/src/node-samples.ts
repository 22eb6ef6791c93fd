/** Metric and counter names of running nodes, and the shapes of their responses to operators. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { Fault } from '@rainrun/common';
import { DIALECT } from '@rainrun/platform/dialect';
import { soleNodeSettings } from '@rainrun/platform/testing/settings-samples';
import { CoreNode, EdgeNode, SpecNode, readSettings, type Log, type Role } from '@rainrun/runtime';
import type { PlatformSettings } from '@rainrun/runtime/platform';
import { inNewFolder } from './data-folders.js';
import { fail } from './scripted-group.js';

/** Loopback addresses derived from the process id, so that several test runs can go on at once. */
const NETWORK = `127.${(process.pid >> 8) % 256}.${process.pid % 256}`;
const CORE = { bind: `${NETWORK}.1:17701`, http: `${NETWORK}.1:18701` } as const;
const EDGE = { bind: `${NETWORK}.2:17701`, http: `${NETWORK}.2:18701` } as const;
const TIMEOUT_MS = 30_000;
const POLL_MS = 50;
const STATUS_OK = 200;

const SPEC = {
  deployment: 'site',
  zones: ['coast', 'inland'],
  store: { pullsPerMinute: 60, concurrentPulls: 2 },
  workers: { roomMb: 1000, slots: 4 },
  models: [{ name: 'model-1', sizeMb: 500 }],
  adapters: [],
  groups: [
    { name: 'group-1', share: 1, kinds: [{ name: 'short', targetMs: 800, patienceMs: 5000 }], models: ['*'] },
  ],
  routes: [{ path: '/v1/chat', serve: 'chat' }],
};

const WORKERS = {
  generation: 1,
  workers: [{ name: 'lookup-1', address: `${NETWORK}.9:9000`, zone: 'coast', kind: 'lookup', pool: 'desks' }],
};

interface OperatorResponse {
  readonly status: number;
  readonly type: string | null;
  readonly text: string;
}

async function call(http: string, method: string, path: string, body?: object): Promise<OperatorResponse> {
  const reply = await fetch(`http://${http}/rainrun/v1/${path}`, {
    method,
    headers: body === undefined ? {} : { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return { status: reply.status, type: reply.headers.get('content-type'), text: await reply.text() };
}

/** Repeats a call until its status is 200 and its body contains the expected text. */
async function waitUntilOk(http: string, path: string, expectedText = ''): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  for (;;) {
    const answer = await call(http, 'GET', path);
    if (answer.status === STATUS_OK && answer.text.includes(expectedText)) return;
    if (performance.now() > endMs) throw new Error(`${path} answers ${answer.status}: ${answer.text}`);
    await delay(POLL_MS);
  }
}

async function start(role: Role, flags: Readonly<Record<string, unknown>>): Promise<SpecNode> {
  const settings = readSettings(
    { deployment: 'site', zone: 'coast', seeds: CORE.bind, logLevel: 'silent', drainMs: '0', ...flags },
    role,
  );
  if (settings.isErr) throw new Error(settings.error.map(({ detail }) => detail).join('\n'));
  const started = await SpecNode.start(settings.value, role, fail);
  return started.unwrapOrElse(fail);
}

/** Runs an action while a core and an edge of a site run and the site's spec is agreed. */
async function withSite<T>(action: () => Promise<T>): Promise<T> {
  return inNewFolder(async (folder) => {
    const platform = join(folder, 'workers.json');
    await writeFile(platform, JSON.stringify(WORKERS));
    const data = join(folder, 'data');
    const core = await start('core', { ...CORE, name: 'core-1', founders: 'core-1', folder: data, platform });
    const edge = await start('edge', { ...EDGE, name: 'edge-1' });
    try {
      await waitUntilOk(CORE.http, 'status?node=edge-1', '"view"');
      await call(CORE.http, 'PUT', 'spec', { text: JSON.stringify(SPEC), base: 0, id: 'op-1' });
      await waitUntilOk(CORE.http, 'ready');
      await waitUntilOk(EDGE.http, 'ready');
      await waitUntilOk(CORE.http, 'workers', 'lookup-1');
      return await action();
    } finally {
      await edge.stop();
      await core.stop();
    }
  });
}

/** The names and labels of the metrics in a response, in order. */
function metricNames({ status, type, text }: OperatorResponse): unknown {
  const names = text.split('\n').map((line) => line.replace(/ -?[0-9.e+-]+$/, ''));
  return { status, type, names };
}

/** The shape of a JSON value: its keys, with types in place of values. */
function shapeOf(value: unknown): unknown {
  if (Array.isArray(value)) return value.length === 0 ? [] : [shapeOf(value[0])];
  if (typeof value !== 'object' || value === null) return value === null ? null : typeof value;
  return Object.fromEntries(Object.entries(value).map(([key, nested]) => [key, shapeOf(nested)]));
}

const OPERATOR_CALLS: readonly (readonly [method: string, path: string, body?: object])[] = [
  ['GET', 'view'],
  ['GET', 'spec'],
  ['POST', 'spec/check', { text: JSON.stringify(SPEC) }],
  ['POST', 'spec/check', { text: '{}' }],
  ['GET', 'spec/history'],
  ['PUT', 'spec', { text: '{}', base: 1, id: 'op-2' }],
  ['PATCH', 'spec', { patch: { store: { pullsPerMinute: 30, concurrentPulls: 2 } }, base: 1, id: 'op-3' }],
  ['PATCH', 'spec', { patch: { add: { zones: ['north'] } }, id: 'op-4' }],
  ['PATCH', 'spec', { patch: { add: { zones: 'north' } } }],
  ['GET', 'operations/op-1'],
  ['GET', 'operations/none'],
  ['GET', 'zones'],
  ['POST', 'zones/inland/empty', { id: 'op-5' }],
  ['POST', 'zones/inland/restore', { id: 'op-6' }],
  ['POST', 'zones/nowhere/empty', { id: 'op-7' }],
  ['GET', 'workers'],
  ['GET', 'groups'],
  ['GET', 'counters'],
  ['GET', 'counters?node=nobody'],
  ['GET', 'status'],
  ['GET', 'ready'],
  ['GET', 'explain/requests/edge-1.none'],
  ['GET', 'explain/requests/none'],
  ['GET', 'explain/models/model-1'],
  ['GET', 'explain/models/none'],
  ['POST', 'forget/core-9'],
  ['GET', 'nothing'],
];

/** The metric names of a core and of an edge, and the shape of every response to an operator. */
export function siteMetricsAndAnswers(): Promise<unknown> {
  return withSite(async () => {
    const metrics = {
      core: metricNames(await call(CORE.http, 'GET', 'metrics')),
      edge: metricNames(await call(EDGE.http, 'GET', 'metrics')),
    };
    const answers: unknown[] = [];
    for (const [method, path, body] of OPERATOR_CALLS) {
      const { status, type, text } = await call(CORE.http, method, path, body);
      answers.push([method, path, status, type, shapeOf(JSON.parse(text))]);
    }
    return { metrics, answers };
  });
}

/** A log that keeps the names of the counters that are logged to it. */
class CounterLog implements Log {
  names: readonly string[] = [];

  debug(): void {
    return;
  }

  info(data: object): void {
    const { counters } = data as { counters?: Readonly<Record<string, number>> };
    if (counters !== undefined) this.names = Object.keys(counters);
  }

  warn(): void {
    return;
  }

  error(): void {
    return;
  }
}

function settingsOf(folder: string): PlatformSettings {
  return DIALECT.readSettings(soleNodeSettings(`${NETWORK}.3`, folder)).unwrapOrElse((faults: Fault[]) =>
    fail(faults[0] as Fault),
  );
}

/** The names of the counters that a core and an edge on a platform log when they stop. */
export function platformCounterNames(): Promise<unknown> {
  return inNewFolder(async (folder) => {
    const settings = settingsOf(folder);
    const [coreLog, edgeLog] = [new CounterLog(), new CounterLog()];
    const core = (await CoreNode.open(settings, DIALECT, coreLog, fail)).unwrapOrElse(fail);
    await core.stop();
    const edge = new EdgeNode(settings, DIALECT, edgeLog);
    await edge.stop();
    return { core: coreLog.names, edge: edgeLog.names };
  });
}
