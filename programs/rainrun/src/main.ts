#!/usr/bin/env node
/** Command line for operators: sends one call to one node and prints the answer. */
import { readBoundedBody } from '@rainrun/common';
import meow from 'meow';
import { request } from 'undici';
import { callForCommand, UsageError, type NodeCall } from './commands.js';
import { formatAnswer } from './answer-format.js';

const EXIT_CODES = { success: 0, rejected: 1, usage: 2, unknown: 3, unreached: 4, notCurrent: 5 } as const;

const ANSWER_TIMEOUT_MS = 10_000;
/** Largest answer that is read; a whole specification has at most a few megabytes. */
const ANSWER_MAX_BYTES = 32 * 1024 * 1024;

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

/** Status and parsed JSON body of a node's answer. */
interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** The node gave no answer; `outcomeUnknown` is set if the call may still have taken effect. */
class UnreachedError extends Error {
  readonly code = 'unreached';
  readonly outcomeUnknown: boolean;

  constructor(message: string, outcomeUnknown: boolean, options: ErrorOptions) {
    super(message, options);
    this.name = 'UnreachedError';
    this.outcomeUnknown = outcomeUnknown;
  }
}

async function send(call: NodeCall, node: string): Promise<Answer> {
  try {
    const reply = await request(`http://${node}/rainrun/v1/${call.path}`, {
      method: call.method,
      headers: { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
      signal: AbortSignal.timeout(2 * ANSWER_TIMEOUT_MS),
    });
    const body = await readBoundedBody(reply.body, ANSWER_MAX_BYTES);
    if (body === undefined) throw new Error(`the answer is larger than ${ANSWER_MAX_BYTES} bytes`);
    return { status: reply.statusCode, body: JSON.parse(body.toString('utf8')) as unknown };
  } catch (thrown) {
    const outcomeUnknown = call.method !== 'GET' && !/ECONNREFUSED|Connect Timeout/.test(String(thrown));
    const advice = outcomeUnknown ? '; the outcome is unknown, ask by id' : '';
    throw new UnreachedError(`${node} not reached: ${String(thrown)}${advice}`, outcomeUnknown, {
      cause: thrown,
    });
  }
}

/** False if the node hears no majority and answers with its last known state, which may be outdated. */
function isCurrent(body: unknown): boolean {
  const { stale, lastKnown } = body as { stale?: boolean; lastKnown?: unknown };
  return stale !== true && lastKnown === undefined;
}

function exitCodeOf({ status, body }: Answer): number {
  if (!isCurrent(body)) return EXIT_CODES.notCurrent;
  if (status >= 200 && status < 300) return EXIT_CODES.success;
  return status === 504 ? EXIT_CODES.unknown : EXIT_CODES.rejected;
}

async function run(): Promise<number> {
  const answer = await send(await callForCommand(cli.input, cli.flags), cli.flags.node);
  const text = cli.flags.json
    ? JSON.stringify(answer.body, undefined, 2)
    : formatAnswer(cli.input.slice(0, 2).join(' '), answer.body);
  const exitCode = exitCodeOf(answer);
  if (exitCode === EXIT_CODES.success) console.log(text);
  else console.error(text);
  return exitCode;
}

/** Prints the reason for a failure and returns its exit code; rethrows unexpected errors. */
function reportFailure(thrown: unknown): number {
  if (thrown instanceof UsageError) {
    console.error(`rainrun: ${thrown.message}; see rainrun --help`);
    return EXIT_CODES.usage;
  }
  if (thrown instanceof UnreachedError) {
    console.error(`rainrun: ${thrown.message}`);
    return thrown.outcomeUnknown ? EXIT_CODES.unknown : EXIT_CODES.unreached;
  }
  throw thrown;
}

process.exitCode = await run().catch(reportFailure);
