/** Translates a command line of `rainrun` into the HTTP call that a node answers. */
import { readFile } from 'node:fs/promises';

/** One call to a node, its path below `/rainrun/v1/`. */
export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH';
  readonly path: string;
  readonly body?: unknown;
}

/** Flags that accompany a change: the version that must be in force, and the operation's own name. */
export interface ChangeFlags {
  readonly base?: number | undefined;
  readonly id?: string | undefined;
}

/** The command line cannot be carried out as it stands; nothing was sent. */
export class UsageError extends Error {
  readonly code = 'usage';

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'UsageError';
  }
}

/** A command's words after its name, with the flags. */
interface CommandInput {
  readonly words: readonly string[];
  readonly flags: ChangeFlags;
}

type Command = (input: CommandInput) => Call | Promise<Call>;

const COMMANDS: Readonly<Record<string, Command>> = {
  view: () => ({ method: 'GET', path: 'view' }),
  workers: () => ({ method: 'GET', path: 'workers' }),
  groups: () => ({ method: 'GET', path: 'groups' }),
  status: ({ words }) => nodeRowsCall('status', words[0]),
  counters: ({ words }) => nodeRowsCall('counters', words[0]),
  spec: specCall,
  zones: zonesCall,
  operation: ({ words }) => ({ method: 'GET', path: `operations/${requiredSegment(words[0], 'the id')}` }),
  explain: explainCall,
  forget: ({ words }) => ({ method: 'POST', path: `forget/${requiredSegment(words[0], 'the name')}` }),
};

/**
 * The call for a command line.
 * @throws {UsageError} where the command is unknown, a word is missing or its file cannot be read
 * @example
 * await callOf(['zones', 'empty', 'north'], {}); // { method: 'POST', path: 'zones/north/empty', body: {} }
 */
export async function callOf(input: readonly string[], flags: ChangeFlags): Promise<Call> {
  const [name, ...words] = input;
  if (name === undefined) throw new UsageError('no command');
  const command = Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined;
  if (command === undefined) throw new UsageError(`unknown command "${name}"`);
  return command({ words, flags });
}

function nodeRowsCall(kind: 'status' | 'counters', node: string | undefined): Call {
  return { method: 'GET', path: node === undefined ? kind : `${kind}?node=${encodeURIComponent(node)}` };
}

async function specCall({ words: [verb, file], flags }: CommandInput): Promise<Call> {
  switch (verb) {
    case 'get':
      return { method: 'GET', path: 'spec' };
    case 'history':
      return { method: 'GET', path: 'spec/history' };
    case 'check':
      return { method: 'POST', path: 'spec/check', body: { text: await readText(file) } };
    case 'apply':
      return { method: 'PUT', path: 'spec', body: { text: await readText(file), ...given(flags) } };
    case 'change':
      return {
        method: 'PATCH',
        path: 'spec',
        body: { patch: parsePatch(await readText(file)), ...given(flags) },
      };
    default:
      throw new UsageError(`unknown command "spec ${verb ?? ''}"`);
  }
}

function zonesCall({ words: [verb, zone], flags }: CommandInput): Call {
  if (verb === undefined) return { method: 'GET', path: 'zones' };
  if (verb !== 'empty' && verb !== 'restore') throw new UsageError(`unknown command "zones ${verb}"`);
  return { method: 'POST', path: `zones/${requiredSegment(zone, 'the zone')}/${verb}`, body: given(flags) };
}

function explainCall({ words: [what, name] }: CommandInput): Call {
  if (what !== 'request' && what !== 'model') throw new UsageError('explain what: request or model');
  return { method: 'GET', path: `explain/${what}s/${requiredSegment(name, 'the name')}` };
}

/** The flags that were given. */
function given({ base, id }: ChangeFlags): Record<string, unknown> {
  return { ...(base === undefined ? {} : { base }), ...(id === undefined ? {} : { id }) };
}

function required(word: string | undefined, what: string): string {
  if (word === undefined) throw new UsageError(`${what} is missing`);
  return word;
}

function requiredSegment(word: string | undefined, what: string): string {
  return encodeURIComponent(required(word, what));
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
