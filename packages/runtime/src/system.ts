import { readFileSync } from 'node:fs';
import { fault, type Fault } from '@rainrun/common';
import { pino } from 'pino';
import { tryOrElse } from 'true-myth/result';
import { CoreNode } from './core-node.js';
import type { Dialect } from './dialect.js';
import { EdgeNode } from './edge-node.js';

/** Exit codes of the programs on a platform. */
const EXITS = { well: 0, badSetting: 2, badDisk: 3 } as const;

/**
 * Runs one program on a platform: settings by the dialect, then the node until a signal.
 * @example
 * await runSystem('edge', dialect, '/etc/rainrun/settings.toml');
 */
export async function runSystem(role: 'edge' | 'core', dialect: Dialect, path: string): Promise<void> {
  const read = tryOrElse(
    (thrown) => [
      fault('bad-setting', `settings: found ${JSON.stringify(path)}, expected a file (${String(thrown)})`),
    ],
    () => readFileSync(path, 'utf8'),
  ).andThen((text) => dialect.readSettings(text));
  if (read.isErr) {
    end(EXITS.badSetting, read.error);
    return;
  }
  const settings = read.value;
  const log = pino({ base: { node: settings.name } });
  process.on('SIGHUP', () => {
    log.info('settings may have changed; they count from the next start');
  });
  if (role === 'edge') {
    const node = new EdgeNode(settings, dialect, log);
    onStop(() => node.stop());
    return node.start();
  }
  const opened = await CoreNode.open(settings, dialect, log, (why) => {
    end(EXITS.badDisk, [why]);
  });
  if (opened.isErr) {
    end(EXITS.badDisk, [opened.error]);
    return;
  }
  onStop(() => opened.value.stop());
  return opened.value.start();
}

function onStop(stop: () => Promise<void>): void {
  function handle(): void {
    void stop().then(() => process.exit(EXITS.well));
  }
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}

function end(code: number, why: readonly Fault[]): void {
  for (const { kind, detail } of why) console.error(`${kind}: ${detail}`);
  process.exit(code);
}
export * from './dialect.js';
