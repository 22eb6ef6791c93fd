/** What the programs print at the command line, and what `rainrun` sends to a node. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { inNewFolder } from './data-folders.js';

const RAINRUN = programPath('@rainrun/rainrun/dist/main.js');
const CORE = programPath('@rainrun/core/dist/main.js');
const EDGE = programPath('@rainrun/edge/dist/main.js');
const PLATFORM_CORE = programPath('@rainrun/platform/dist/core.js');
const PLATFORM_EDGE = programPath('@rainrun/platform/dist/edge.js');

/** Files that commands refer to; every run writes them to a new folder. */
const FILES: Readonly<Record<string, string>> = {
  'spec.json': '{"deployment":"site"}',
  'edit.json': '{"add":{"zones":["north"]}}',
  'not-json.txt': '{',
};

/** Number of batches of commands that run concurrently. */
const BATCH_COUNT = 4;

const MISSING_FILE = '/no/such/file';
const UNREACHABLE_NODE = '127.0.0.1:1';

type Body = Readonly<Record<string, unknown>>;

/** One command, and the node's response to it. */
interface Command {
  readonly args: readonly string[];
  readonly status?: number;
  readonly body?: Body;
}

const OPERATION: Body = { id: 'op-1', outcome: 'agreed', detail: 'version 2', number: 7 };

const VIEW: Body = {
  disk: 'disk-1',
  self: { name: 'core-1', incarnation: 'a1b2', zone: 'coast' },
  admitting: true,
  coordinator: 'core-1',
  epoch: 3,
  number: 12,
  level: 2,
  agreed: 12,
  view: { epoch: 3, number: 4 },
  members: [
    { name: 'core-1', zone: 'coast', address: '10.0.0.1:7001', core: true, speaks: 2 },
    { name: 'edge-long-name', zone: 'inland', address: '10.0.0.2:7001', core: false, speaks: 1 },
  ],
  voters: [{ name: 'core-1', disk: 'disk-1' }],
};

const WORKERS: Body = {
  workers: [
    {
      name: 'worker-1',
      address: '10.0.1.1:9000',
      zone: 'coast',
      kind: 'model',
      pool: 'models',
      status: 'ready',
      target: [
        { model: 'model-1', adapters: ['adapter-1', 'adapter-2'] },
        { model: 'model-2', adapters: [] },
      ],
      holdings: [],
    },
  ],
};

const GROUPS: Body = {
  groups: [
    { group: 'group-1', kind: 'short', share: 1, targetMs: 800, measuredMs: 120, prompt: 0.9912, served: 9 },
    { group: 'group-2', kind: 'long', share: 2.5, targetMs: 9000, measuredMs: 0, prompt: null, served: 0 },
  ],
};

const NOT_FOUND: Body = {
  error: { kind: 'not-found', message: 'nothing agreed is known of operation op-9', ran: 'no', id: 'op-9' },
};
const BAD_SPEC: Body = {
  error: {
    kind: 'bad-spec',
    message: 'the spec has faults',
    ran: 'no',
    faults: [
      { path: 'zones', message: 'missing' },
      { path: 'models.0.sizeMb', message: 'too large' },
    ],
  },
};
const UNKNOWN: Body = {
  error: { kind: 'operation-unknown', message: 'not known to be agreed yet', ran: 'maybe', id: 'op-1' },
};
const LAST_KNOWN: Body = {
  error: { kind: 'not-admitting', message: 'ask another node', ran: 'no' },
  lastKnown: { node: 'core-1', epoch: 3, evacuated: [], voters: [{ name: 'core-2', version: 41 }] },
};

/** Every verb, with every option and every kind of response. */
const COMMANDS: readonly Command[] = [
  { args: ['view'], body: VIEW },
  { args: ['view', '--json'], body: VIEW },
  { args: ['view'], body: { ...VIEW, stale: true } },
  { args: ['view'], status: 503, body: LAST_KNOWN },
  { args: ['spec', 'get'], body: { version: 2, operation: 'op-1', text: '{\n  "deployment": "site"\n}' } },
  { args: ['spec', 'get'], status: 404, body: NOT_FOUND },
  { args: ['spec', 'check', 'spec.json'], body: { ok: true } },
  { args: ['spec', 'check', 'spec.json'], status: 422, body: BAD_SPEC },
  { args: ['spec', 'check', 'spec.json', '--json'], status: 422, body: BAD_SPEC },
  { args: ['spec', 'apply', 'spec.json'], body: OPERATION },
  { args: ['spec', 'apply', 'spec.json', '--base', '3', '--id', 'op-1'], body: OPERATION },
  { args: ['spec', 'apply', 'spec.json'], status: 504, body: UNKNOWN },
  { args: ['spec', 'change', 'edit.json', '--base', '3', '--id', 'op-1'], body: OPERATION },
  { args: ['spec', 'change', 'not-json.txt'] },
  {
    args: ['spec', 'history'],
    body: {
      history: [
        { version: 1, operation: 'op-1', bytes: 434 },
        { version: 2, operation: 'op-22', bytes: 9 },
      ],
    },
  },
  {
    args: ['zones'],
    body: {
      zones: [
        { zone: 'coast', emptied: false },
        { zone: 'inland', emptied: true },
      ],
    },
  },
  { args: ['zones'], body: { zones: [] } },
  { args: ['zones', 'empty', 'a zone/b', '--id', 'op-1'], body: OPERATION },
  { args: ['zones', 'restore', 'inland'], body: OPERATION },
  { args: ['workers'], body: WORKERS },
  { args: ['groups'], body: GROUPS },
  {
    args: ['status'],
    body: {
      status: [
        { node: 'core-1', admitting: true, epoch: 3 },
        { node: 'core-2', error: 'did not answer' },
      ],
    },
  },
  { args: ['status', 'core 1'], body: { status: [{ node: 'core 1', admitting: true, epoch: 3 }] } },
  { args: ['counters'], body: { counters: [{ node: 'core-1', framesIn: 7 }] } },
  { args: ['counters', 'core-1'], body: { counters: [{ node: 'core-1', framesIn: 7 }] } },
  { args: ['operation', 'op/1'], body: OPERATION },
  { args: ['operation', 'op-9'], status: 404, body: NOT_FOUND },
  {
    args: ['explain', 'request', 'edge-1.ab'],
    body: {
      edge: 'edge-1',
      id: 'edge-1.ab',
      outcome: 'served',
      sends: 1,
      trail: ['sent to worker-1', 'answered'],
    },
  },
  {
    args: ['explain', 'model', 'model-1'],
    body: { model: 'model-1', copies: ['worker-1', 'worker-2'], reason: 'asked for', placedBy: 3 },
  },
  { args: ['forget', 'core-9'], body: { outcome: 'noted', name: 'core-9' } },
  { args: ['forget', 'core-9', '--node', UNREACHABLE_NODE] },
  { args: ['view', '--node', UNREACHABLE_NODE] },
  { args: [] },
  { args: ['--help'] },
  { args: ['--version'] },
  { args: ['dance'] },
  { args: ['view', '--colour'] },
  { args: ['spec'] },
  { args: ['spec', 'dance'] },
  { args: ['spec', 'check'] },
  { args: ['spec', 'check', MISSING_FILE] },
  { args: ['zones', 'dance'] },
  { args: ['zones', 'empty'] },
  { args: ['operation'] },
  { args: ['explain'] },
  { args: ['explain', 'model'] },
  { args: ['forget'] },
];

/** Invocations of the daemons that exit by themselves. */
const DAEMONS: readonly (readonly [program: string, path: string, words: readonly string[]])[] = [
  ['core', CORE, ['--help']],
  ['core', CORE, []],
  ['core', CORE, ['--check', '--settings', MISSING_FILE]],
  ['edge', EDGE, ['--help']],
  ['edge', EDGE, ['--colour', 'red']],
  [
    'edge',
    EDGE,
    [
      ...[
        '--check',
        '--name',
        'edge-1',
        '--deployment',
        'site',
        '--zone',
        'coast',
        '--bind',
        '127.0.0.1:7001',
      ],
      ...['--http', '127.0.0.1:8001', '--seeds', '127.0.0.1:7002'],
    ],
  ],
  ['core on a platform', PLATFORM_CORE, []],
  ['edge on a platform', PLATFORM_EDGE, []],
];

/** The exit code and output of a program. */
interface ProgramResult {
  readonly exit: number | null;
  readonly out: readonly string[];
  readonly err: readonly string[];
}

/** An operator endpoint that records each call and answers it with the response of the command. */
class ScriptedOperatorEndpoint {
  readonly calls: unknown[] = [];
  #next: Command = { args: [] };
  #server: Server = createServer((request, response) => void this.#answer(request, response));

  async listen(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  respondTo(command: Command): void {
    this.#next = command;
    this.calls.length = 0;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let text = '';
    for await (const chunk of request) text += String(chunk);
    this.calls.push([request.method, request.url, request.headers['content-type'], text]);
    response.writeHead(this.#next.status ?? 200).end(JSON.stringify(this.#next.body ?? {}));
  }
}

function programPath(specifier: string): string {
  return fileURLToPath(import.meta.resolve(specifier));
}

async function run(
  path: string,
  args: readonly string[],
  folder: string,
  environment: Readonly<Record<string, string>>,
): Promise<ProgramResult> {
  const child = spawn(process.execPath, [path, ...args], {
    cwd: folder,
    env: environment,
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let [out, err] = ['', ''];
  child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
  const [exit] = (await once(child, 'close')) as [number | null];
  return { exit, out: linesOf(out), err: linesOf(err) };
}

/** Splits output into lines, without the detail of JSON syntax errors, which varies with the engine. */
function linesOf(text: string): string[] {
  return text.replace(/SyntaxError: [^;]*/, 'SyntaxError').split('\n');
}

/** Runs these commands sequentially against an endpoint of their own. */
async function runAgainstEndpoint(commands: readonly Command[], folder: string): Promise<unknown[]> {
  const endpoint = new ScriptedOperatorEndpoint();
  const environment = { RAINRUN_NODE: await endpoint.listen() };
  const results: unknown[] = [];
  try {
    for (const command of commands) {
      endpoint.respondTo(command);
      const result = await run(RAINRUN, command.args, folder, environment);
      results.push({ command: command.args, sent: [...endpoint.calls], ...result });
    }
  } finally {
    endpoint.close();
  }
  return results;
}

/** For every verb of `rainrun`: what it sends and prints, and its exit code. */
export function rainrunCommands(): Promise<unknown> {
  return inNewFolder(async (folder) => {
    for (const [name, text] of Object.entries(FILES)) await writeFile(join(folder, name), text);
    const batchSize = Math.ceil(COMMANDS.length / BATCH_COUNT);
    const batches = Array.from({ length: BATCH_COUNT }, (_, batch) =>
      runAgainstEndpoint(COMMANDS.slice(batch * batchSize, (batch + 1) * batchSize), folder),
    );
    return (await Promise.all(batches)).flat();
  });
}

/** What the daemons print when they do not start, and their exit codes. */
export function daemonCommands(): Promise<unknown> {
  return inNewFolder(async (folder) => {
    const results: unknown[] = [];
    for (const [program, path, words] of DAEMONS)
      results.push({ program, words, ...(await run(path, words, folder, { RAINRUN_CONFIG: MISSING_FILE })) });
    return results;
  });
}
