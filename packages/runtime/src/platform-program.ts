/** Entry points of the programs `edge` and `core` on the platform: settings, log, signals, exit codes. */
import { readFileSync } from 'node:fs';
import { fault, type Fault } from '@rainrun/common';
import { pino } from 'pino';
import { tryOrElse } from 'true-myth/result';
import { CoreNode } from './core-node.js';
import type { Dialect, PlatformSettings } from './dialect.js';
import { EdgeNode } from './edge-node.js';
import type { Log } from './log.js';

/** Exit codes of the programs on a platform. */
const EXIT_CODES = { success: 0, badSetting: 2, badDisk: 3, noListener: 5 } as const;

/** A program's settings and its log. */
interface ProgramSetup {
  readonly settings: PlatformSettings;
  readonly log: Log;
}

/**
 * Runs an edge on a platform until a signal; the dialect reads the settings file.
 * @example
 * await runEdge(dialect, '/etc/rainrun/settings.toml');
 */
export async function runEdge(dialect: Dialect, path: string): Promise<void> {
  const setup = prepareProgram(dialect, path);
  if (setup === undefined) return;
  const node = new EdgeNode(setup.settings, dialect, setup.log);
  stopOnSignal(() => node.stop());
  return node.start(exitOnFatalFault);
}

/**
 * Opens the disk and runs a core on a platform until a signal; the dialect reads the settings file.
 * @example
 * await runCore(dialect, '/etc/rainrun/settings.toml');
 */
export async function runCore(dialect: Dialect, path: string): Promise<void> {
  const setup = prepareProgram(dialect, path);
  if (setup === undefined) return;
  const opened = await CoreNode.open(setup.settings, dialect, setup.log, exitOnFatalFault);
  if (opened.isErr) {
    exitWithFaults(EXIT_CODES.badDisk, [opened.error]);
    return;
  }
  stopOnSignal(() => opened.value.stop());
  opened.value.start();
}

/** Reads the settings and opens the log; exits the process if the settings are invalid. */
function prepareProgram(dialect: Dialect, path: string): ProgramSetup | undefined {
  const read = tryOrElse(
    (thrown) => [
      fault('bad-setting', `settings: found ${JSON.stringify(path)}, expected a file (${String(thrown)})`),
    ],
    () => readFileSync(path, 'utf8'),
  ).andThen((text) => dialect.readSettings(text));
  if (read.isErr) {
    exitWithFaults(EXIT_CODES.badSetting, read.error);
    return undefined;
  }
  const settings = read.value;
  const log = pino({ base: { node: settings.name } });
  process.on('SIGHUP', () => {
    log.info({ signal: 'SIGHUP' }, 'settings may have changed; they count from the next start');
  });
  return { settings, log };
}

/** Stops the node on SIGTERM or SIGINT and exits afterwards; further signals are ignored. */
function stopOnSignal(stop: () => Promise<void>): void {
  let isStopping = false;
  function handle(): void {
    if (isStopping) return;
    isStopping = true;
    void stop().then(() => process.exit(EXIT_CODES.success));
  }
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}

/** Exits on a fault that a running node cannot survive: its disk failed, or its peer port stays in use. */
function exitOnFatalFault(why: Fault): void {
  exitWithFaults(why.kind === 'bad-setting' ? EXIT_CODES.noListener : EXIT_CODES.badDisk, [why]);
}

function exitWithFaults(code: number, why: readonly Fault[]): void {
  for (const { kind, detail } of why) console.error(`${kind}: ${detail}`);
  process.exit(code);
}
export * from './dialect.js';
