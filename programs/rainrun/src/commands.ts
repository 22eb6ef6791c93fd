/** Translates a command line of `rainrun` into the HTTP call to a node. */
import { readFile } from 'node:fs/promises';

/** One call to a node, its path below `/rainrun/v1/`. */
export interface NodeCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH';
  readonly path: string;
  readonly body?: unknown;
}

/** Flags of commands that change state: the version that must be in force, and the id of the operation. */
export interface ChangeFlags {
  readonly base?: number | undefined;
  readonly id?: string | undefined;
}

/** The command line is invalid; nothing was sent. */
export class UsageError extends Error {
  readonly code = 'usage';

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'UsageError';
  }
}

/** The arguments after a command's name, and the flags. */
interface CommandInput {
  readonly args: readonly string[];
  readonly flags: ChangeFlags;
}

type Command = (input: CommandInput) => NodeCall | Promise<NodeCall>;

const COMMANDS: Readonly<Record<string, Command>> = {
  view: () => ({ method: 'GET', path: 'view' }),
  workers: () => ({ method: 'GET', path: 'workers' }),
  groups: () => ({ method: 'GET', path: 'groups' }),
  status: ({ args }) => nodeRowsCall('status', args[0]),
  counters: ({ args }) => nodeRowsCall('counters', args[0]),
  spec: specCall,
  zones: zonesCall,
  operation: ({ args }) => ({ method: 'GET', path: `operations/${requiredSegment(args[0], 'the id')}` }),
  explain: explainCall,
  forget: ({ args }) => ({ method: 'POST', path: `forget/${requiredSegment(args[0], 'the name')}` }),
};

/**
 * Returns the call for a command line.
 * @throws {UsageError} if the command is unknown, an argument is missing or its file cannot be read
 * @example
 * await callForCommand(['zones', 'empty', 'north'], {});
 * // { method: 'POST', path: 'zones/north/empty', body: {} }
 */
export async function callForCommand(input: readonly string[], flags: ChangeFlags): Promise<NodeCall> {
  const [name, ...args] = input;
  if (name === undefined) throw new UsageError('no command');
  const command = Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined;
  if (command === undefined) throw new UsageError(`unknown command "${name}"`);
  return command({ args, flags });
}

function nodeRowsCall(kind: 'status' | 'counters', node: string | undefined): NodeCall {
  return { method: 'GET', path: node === undefined ? kind : `${kind}?node=${encodeURIComponent(node)}` };
}

async function specCall({ args: [subcommand, file], flags }: CommandInput): Promise<NodeCall> {
  switch (subcommand) {
    case 'get':
      return { method: 'GET', path: 'spec' };
    case 'history':
      return { method: 'GET', path: 'spec/history' };
    case 'check':
      return { method: 'POST', path: 'spec/check', body: { text: await readText(file) } };
    case 'apply':
      return { method: 'PUT', path: 'spec', body: { text: await readText(file), ...givenFlags(flags) } };
    case 'change':
      return {
        method: 'PATCH',
        path: 'spec',
        body: { patch: parsePatch(await readText(file)), ...givenFlags(flags) },
      };
    default:
      throw new UsageError(`unknown command "spec ${subcommand ?? ''}"`);
  }
}

function zonesCall({ args: [subcommand, zone], flags }: CommandInput): NodeCall {
  if (subcommand === undefined) return { method: 'GET', path: 'zones' };
  if (subcommand !== 'empty' && subcommand !== 'restore')
    throw new UsageError(`unknown command "zones ${subcommand}"`);
  return {
    method: 'POST',
    path: `zones/${requiredSegment(zone, 'the zone')}/${subcommand}`,
    body: givenFlags(flags),
  };
}

function explainCall({ args: [subject, name] }: CommandInput): NodeCall {
  if (subject !== 'request' && subject !== 'model') throw new UsageError('explain what: request or model');
  return { method: 'GET', path: `explain/${subject}s/${requiredSegment(name, 'the name')}` };
}

/** Returns only the flags that were given, as fields of a request body. */
function givenFlags({ base, id }: ChangeFlags): Record<string, unknown> {
  return { ...(base === undefined ? {} : { base }), ...(id === undefined ? {} : { id }) };
}

function required(arg: string | undefined, what: string): string {
  if (arg === undefined) throw new UsageError(`${what} is missing`);
  return arg;
}

function requiredSegment(arg: string | undefined, what: string): string {
  return encodeURIComponent(required(arg, what));
}

async function readText(path: string | undefined): Promise<string> {
  const file = required(path, 'the file');
  try {
    return await readFile(file, 'utf8');
  } catch (thrown) {
    throw new UsageError(thrown instanceof Error ? thrown.message : String(thrown), { cause: thrown });
  }
}

function parsePatch(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (thrown) {
    throw new UsageError(`the change is not JSON: ${String(thrown)}`, { cause: thrown });
  }
}
