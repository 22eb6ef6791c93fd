/** The programs `edge` and `core` of the research groups' system: flags, settings, signals, exit codes. */
import meow from 'meow';
import { SpecNode, type Role } from './spec-node.js';
import { readSettings } from './settings.js';

/** Exit codes of the programs `edge` and `core`. */
export const EXIT_CODES = { success: 0, failed: 1, badSetting: 2, badDisk: 3, rejected: 4 } as const;

const HELP = `
  Usage
    $ PROGRAM --settings FILE [flags]

  Flags (each stands before the same key in the settings file)
    --settings      JSON file with the keys below
    --name          name of this node
    --deployment    name of the deployment
    --zone          zone of this node
    --bind          IP:PORT for the other nodes
    --reach         IP:PORT at which the other nodes reach this one, if not --bind
    --http          IP:PORT for visitors and operators
    --seeds         up to three IP:PORT of other nodes, with commas between
    --platform      http address or file with the platform's list of workers
    --drain-ms      how long to wait for answers in flight when stopping
    --body-max-bytes  largest request body
    --record-file   file into which an edge records its day
    --record-max-bytes  where the recording stops
    --record-contents   record prompts too
    --log-level     debug, info, warn, error, silent
    --check         check the settings and exit
`;

const CORE_HELP = `    --folder        data folder (one deployment, one node)
    --founders      names of the founding cores, with commas between
`;

/** Flags with a value; `readSettings` rejects one that is given more than once. */
const STRING_FLAGS = [
  'settings',
  'name',
  'deployment',
  'zone',
  'bind',
  'reach',
  'http',
  'seeds',
  'platform',
  'drainMs',
  'bodyMaxBytes',
  'recordFile',
  'recordMaxBytes',
  'logLevel',
  'folder',
  'founders',
];

/**
 * Runs one of the two programs: reads the settings, starts the node and stops it on a signal.
 * @example
 * await runProgram('edge', 'edge', import.meta);
 */
export async function runProgram(program: string, role: Role, importMeta: ImportMeta): Promise<void> {
  const cli = meow(HELP.replace('PROGRAM', program) + (role === 'core' ? CORE_HELP : ''), {
    importMeta,
    allowUnknownFlags: false,
    flags: {
      ...Object.fromEntries(
        STRING_FLAGS.map((name) => [name, { type: 'string', isMultiple: true } as const]),
      ),
      recordContents: { type: 'boolean', default: false },
      check: { type: 'boolean', default: false },
    },
  });
  const settings = readSettings(cli.flags, role);
  if (settings.isErr) {
    for (const { detail } of settings.error) console.error(`${program}: ${detail}`);
    process.exit(EXIT_CODES.badSetting);
  }
  if (cli.flags.check) {
    console.log(`${program}: settings are sound`);
    process.exit(EXIT_CODES.success);
  }
  const started = await SpecNode.start(settings.value, role, (why) => {
    console.error(`${program}: ${why.kind}: ${why.detail}`);
    process.exit(why.kind === 'unbridged' ? EXIT_CODES.rejected : EXIT_CODES.badDisk);
  });
  if (started.isErr) {
    const { kind, detail } = started.error;
    console.error(`${program}: ${kind}: ${detail}`);
    process.exit(kind === 'bad-setting' ? EXIT_CODES.badSetting : EXIT_CODES.badDisk);
  }
  const node = started.value;
  let stopping = false;
  function stop(): void {
    if (stopping) return;
    stopping = true;
    void node.stop().then(() => process.exit(EXIT_CODES.success));
  }
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
