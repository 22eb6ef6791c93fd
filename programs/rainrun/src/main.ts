#!/usr/bin/env node
import meow from 'meow';
import { readFile } from 'node:fs/promises';
import { request } from 'undici';
import { show } from './show.js';

const EXIT = { well: 0, refused: 1, usage: 2, unknown: 3, unreached: 4, notCurrent: 5 } as const;

const cli = meow(
  `
  Usage
    $ rainrun <command> [--node IP:PORT] [--json]

  Commands
    view                      the view, its coordinator and voters, from this node
    spec get                  the spec in force, with its version
    spec check FILE           check a spec without sending it on
    spec apply FILE           put a whole spec in force      [--base VERSION] [--id ID]
    spec change FILE          add, replace, remove entries   [--base VERSION] [--id ID]
    spec history              the versions so far
    zones                     the zones, and which are emptied
    zones empty ZONE          send no more work to a zone    [--id ID]
    zones restore ZONE        send work there again          [--id ID]
    workers                   workers, what they should hold and what they hold
    groups                    each group's target and measured value
    status [NODE]             how each node stands, or one
    counters [NODE]           the counters of each node, or of one
    operation ID              how an operation ended
    explain request ID        where a request went, and why 
    explain model NAME        where a model stands, and why
    forget NAME               a node that will not come back 

  Options
    --node      the node to ask; RAINRUN_NODE stands for it
    --json      the answer as JSON
    --base      the version that must be in force, or the change is refused
    --id        name the operation, so that it can be sent again and asked for

  Exit codes
    0 done   1 refused for good   2 wrong usage   3 outcome unknown: ask by id   4 node not reached
    5 not current: the node hears no majority, ask another
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      node: { type: 'string', default: process.env['RAINRUN_NODE'] ?? '127.0.0.1:8101' },
      json: { type: 'boolean', default: false },
      base: { type: 'number' },
      id: { type: 'string' },
    },
  },
);

interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH';
  readonly path: string;
  readonly body?: unknown;
}

function usage(message: string): never {
  console.error(`rainrun: ${message}; see rainrun --help`);
  process.exit(EXIT.usage);
}

function need(word: string | undefined, what: string): string {
  return word ?? usage(`${what} is missing`);
}

async function read(path: string | undefined): Promise<string> {
  try {
    return await readFile(need(path, 'the file'), 'utf8');
  } catch (thrown) {
    return usage(thrown instanceof Error ? thrown.message : String(thrown));
  }
}

function options(): Record<string, unknown> {
  const { base, id } = cli.flags;
  return { ...(base === undefined ? {} : { base }), ...(id === undefined ? {} : { id }) };
}

function patchOf(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (thrown) {
    return usage(`the change is not JSON: ${String(thrown)}`);
  }
}

async function specCall(verb: string | undefined, file: string | undefined): Promise<Call> {
  switch (verb) {
    case 'get':
      return { method: 'GET', path: 'spec' };
    case 'history':
      return { method: 'GET', path: 'spec/history' };
    case 'check':
      return { method: 'POST', path: 'spec/check', body: { text: await read(file) } };
    case 'apply':
      return { method: 'PUT', path: 'spec', body: { text: await read(file), ...options() } };
    case 'change':
      return { method: 'PATCH', path: 'spec', body: { patch: patchOf(await read(file)), ...options() } };
    default:
      return usage(`unknown command "spec ${verb ?? ''}"`);
  }
}

async function callOf(words: readonly string[]): Promise<Call> {
  const [command, second, third] = words;
  switch (command) {
    case 'view':
    case 'workers':
    case 'groups':
      return { method: 'GET', path: command };
    case 'status':
    case 'counters':
      return {
        method: 'GET',
        path: second === undefined ? command : `${command}?node=${encodeURIComponent(second)}`,
      };
    case 'spec':
      return specCall(second, third);
    case 'zones':
      if (second === undefined) return { method: 'GET', path: 'zones' };
      if (second !== 'empty' && second !== 'restore') return usage(`unknown command "zones ${second}"`);
      return {
        method: 'POST',
        path: `zones/${encodeURIComponent(need(third, 'the zone'))}/${second}`,
        body: options(),
      };
    case 'operation':
      return { method: 'GET', path: `operations/${encodeURIComponent(need(second, 'the id'))}` };
    case 'explain':
      if (second !== 'request' && second !== 'model') return usage('explain what: request or model');
      return { method: 'GET', path: `explain/${second}s/${encodeURIComponent(need(third, 'the name'))}` };
    case 'forget':
      return { method: 'POST', path: `forget/${encodeURIComponent(need(second, 'the name'))}` };
    default:
      return usage(command === undefined ? 'no command' : `unknown command "${command}"`);
  }
}

/** False where a node shows what it knew last and cannot know whether that is still so. */
function isCurrent(body: unknown): boolean {
  const { stale, lastKnown } = body as { stale?: boolean; lastKnown?: unknown };
  return stale !== true && lastKnown === undefined;
}

async function run(): Promise<number> {
  const call = await callOf(cli.input);
  let status: number;
  let body: unknown;
  try {
    const reply = await request(`http://${cli.flags.node}/rainrun/v1/${call.path}`, {
      method: call.method,
      headers: { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headersTimeout: 10_000,
      bodyTimeout: 10_000,
    });
    status = reply.statusCode;
    body = await reply.body.json();
  } catch (thrown) {
    const sent = call.method !== 'GET' && !/ECONNREFUSED|Connect Timeout/.test(String(thrown));
    console.error(
      `rainrun: ${cli.flags.node} not reached: ${String(thrown)}${sent ? '; the outcome is unknown, ask by id' : ''}`,
    );
    return sent ? EXIT.unknown : EXIT.unreached;
  }
  const current = isCurrent(body);
  const well = status >= 200 && status < 300 && current;
  const text = cli.flags.json
    ? JSON.stringify(body, undefined, 2)
    : show(cli.input.slice(0, 2).join(' '), body);
  if (well) console.log(text);
  else console.error(text);
  if (well) return EXIT.well;
  if (!current) return EXIT.notCurrent;
  return status === 504 ? EXIT.unknown : EXIT.refused;
}

process.exitCode = await run();
