/** Settings of a node of the research groups' system, from a file and from flags. */
import { readFileSync } from 'node:fs';
import { isIPv4 } from 'node:net';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import * as v from 'valibot';

const Name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'a name of a-z, 0-9, ".", "_", "-"'));

function isAddress(text: string): boolean {
  const colon = text.lastIndexOf(':');
  const port = Number(text.slice(colon + 1));
  return colon > 0 && isIPv4(text.slice(0, colon)) && Number.isInteger(port) && port > 0 && port < 65536;
}

const Address = v.pipe(v.string(), v.check(isAddress, 'an IP number and port such as 10.0.0.4:7001'));

const SettingsSchema = v.strictObject({
  name: Name,
  deployment: Name,
  zone: Name,
  /** IP:PORT at which this node listens for peers; its connections to them use the same IP. */
  bind: Address,
  /** IP:PORT at which peers reach this node, if it differs from `bind`. */
  reach: v.optional(Address),
  /** IP:PORT of the HTTP server for clients and operators. */
  http: Address,
  seeds: v.pipe(v.array(Address), v.minLength(1), v.maxLength(3, 'at most three seed addresses')),
  /** Names of the founding cores; only on core nodes. */
  founders: v.optional(v.array(Name), []),
  /** The data folder; only on core nodes. */
  folder: v.optional(v.string(), ''),
  /** The platform's list of workers: an http address or a file. */
  platform: v.optional(v.string(), ''),
  drainMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(600_000)), 30_000),
  bodyMaxBytes: v.optional(
    v.pipe(v.number(), v.integer(), v.minValue(1024), v.maxValue(64 * 1024 * 1024)),
    4 * 1024 * 1024,
  ),
  /** File into which an edge records its requests; without it nothing is recorded. */
  recordFile: v.optional(v.string(), ''),
  recordMaxBytes: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1024)), 64 * 1024 * 1024),
  /** Whether the prompts are recorded as well. */
  recordContents: v.optional(v.boolean(), false),
  logLevel: v.optional(v.picklist(['debug', 'info', 'warn', 'error', 'silent']), 'info'),
});

/** The checked settings of one node. */
export type Settings = v.InferOutput<typeof SettingsSchema>;

const LIST_SETTINGS = new Set(['seeds', 'founders']);
const NUMBER_SETTINGS = new Set(['drainMs', 'bodyMaxBytes', 'recordMaxBytes']);

/** Flags that do not correspond to a setting. */
const FLAGS_WITHOUT_SETTING = new Set(['settings', 'check']);

type Flags = readonly (readonly [key: string, value: unknown])[];

/**
 * Merges the settings file with the flags, which take precedence, and validates the result. A fault names the
 * key, the value found and what was expected.
 * @example
 * readSettings({ name: 'edge-1', zone: 'north' }, 'edge').isErr; // true: required settings are missing
 */
export function readSettings(
  flags: Readonly<Record<string, unknown>>,
  role: 'edge' | 'core',
): Result<Settings, Fault[]> {
  return rejectRepeatedFlags(flags)
    .andThen((given) => mergeWithFile(given))
    .andThen((merged) => parseSettings(merged))
    .andThen((settings) => checkFolder(settings, role));
}

/** Rejects a flag that is given more than once; all others become pairs of key and value. */
function rejectRepeatedFlags(flags: Readonly<Record<string, unknown>>): Result<Flags, Fault[]> {
  const given = Object.entries(flags).map(([key, value]): [string, unknown] => [
    key,
    Array.isArray(value) && value.length < 2 ? value[0] : value,
  ]);
  const faults = given
    .filter(([, value]) => Array.isArray(value))
    .map(([key, value]) =>
      fault('bad-setting', `${key}: found ${JSON.stringify(value)}, expected one value`),
    );
  return faults.length > 0 ? Result.err(faults) : Result.ok(given);
}

function mergeWithFile(given: Flags): Result<Record<string, unknown>, Fault[]> {
  const path = given.find(([key]) => key === 'settings')?.[1];
  return readFile(path)
    .map((file) => ({
      ...file,
      ...Object.fromEntries(
        given
          .filter(([key, value]) => isGiven(key, value))
          .map(([key, value]) => [key, parseFlagValue(key, value)]),
      ),
    }))
    .mapErr((why) => [why]);
}

/** Whether a flag was given; `recordContents` is false by default, so false counts as not given. */
function isGiven(key: string, value: unknown): boolean {
  if (value === undefined || value === '' || FLAGS_WITHOUT_SETTING.has(key)) return false;
  return !(key === 'recordContents' && value === false);
}

function parseSettings(merged: Readonly<Record<string, unknown>>): Result<Settings, Fault[]> {
  const parsed = v.safeParse(SettingsSchema, merged);
  if (parsed.success) return Result.ok(parsed.output);
  return Result.err(
    parsed.issues.map((issue) => {
      const path = v.getDotPath(issue) ?? 'settings';
      const found = issue.input === undefined ? 'nothing' : JSON.stringify(issue.input);
      const expected = issue.expected ?? issue.message;
      return fault('bad-setting', `${path}: found ${found}, expected ${expected} (${issue.message})`);
    }),
  );
}

/** A core needs a data folder; an edge has none. */
function checkFolder(settings: Settings, role: 'edge' | 'core'): Result<Settings, Fault[]> {
  const { folder } = settings;
  if (role === 'core' && folder === '')
    return Result.err([
      fault('bad-setting', 'folder: found nothing, expected the data folder of a core node'),
    ]);
  if (role === 'edge' && folder !== '')
    return Result.err([fault('bad-setting', `folder: found "${folder}", expected none on an edge node`)]);
  return Result.ok(settings);
}

function parseFlagValue(key: string, value: unknown): unknown {
  if (LIST_SETTINGS.has(key))
    return String(value)
      .split(',')
      .filter((part) => part !== '');
  return NUMBER_SETTINGS.has(key) ? Number(value) : value;
}

function readFile(path: unknown): Result<Record<string, unknown>, Fault> {
  if (typeof path !== 'string' || path === '') return Result.ok({});
  return tryOrElse(
    (thrown) =>
      fault(
        'bad-setting',
        `settings: found ${JSON.stringify(path)}, expected a JSON file (${String(thrown)})`,
      ),
    () => JSON.parse(readFileSync(path, 'utf8')) as Record<string, unknown>,
  );
}
