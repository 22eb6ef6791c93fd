import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import type { Relay } from './relay.js';
import { exampleSpec, type Shape } from '@rainrun/workloads';

/** A core or edge node of a fleet, which runs as one process. */
export interface FleetNode {
  readonly name: string;
  readonly core: boolean;
  readonly zone: string;
  bind: string;
  /** Address at which other nodes reach this one: its endpoint in the relay, or `bind` without a relay. */
  reach: string;
  readonly http: string;
  readonly settings: string;
}

const HOST = '127.0.0.1';
/** Last octet of the loopback address of the first node behind a relay; each further node adds one. */
const FIRST_HOST_NUMBER = 11;
const CHUNK_INTERVAL_MS = 25;
const PULL_MB_PER_S = 40_000;

const CHECKOUT_ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/**
 * Runs a whole fleet on one machine: one process per node, and one more that provides the stand-in workers
 * and the platform's list of workers.
 * @example
 * const fleet = new Fleet(SHAPES['small'], 'run/small', 21000);
 * await fleet.start();
 */
export class Fleet {
  readonly nodes: FleetNode[] = [];
  readonly platform: string;
  /** Root of the built checkout that `startNode` runs programs from. */
  build = CHECKOUT_ROOT;
  #shape: Shape;
  #relay: Relay | undefined;
  #folder: string;
  #setupFile: string;
  #nextAddress: () => string;
  #seeds: readonly FleetNode[] = [];
  #children = new Map<string, ChildProcess>();

  /** With a relay, each node has its own loopback address and reaches the other nodes through the relay. */
  constructor(shape: Shape, folder: string, firstPort: number, relay?: Relay) {
    this.#relay = relay;
    this.#shape = shape;
    this.#folder = folder;
    mkdirSync(folder, { recursive: true });
    let port = firstPort;
    function next(): string {
      port += 1;
      return `${HOST}:${port}`;
    }
    this.platform = next();
    function zoneAt(index: number): string {
      return shape.zones[index % shape.zones.length] ?? '';
    }
    const outlines = Array.from({ length: shape.cores + shape.edges }, (_, index) => {
      const core = index < shape.cores;
      const ordinal = core ? index : index - shape.cores;
      return {
        name: core ? `core-${ordinal + 1}` : `edge-${ordinal + 1}`,
        core,
        zone: zoneAt(ordinal),
        bind: next(),
        http: next(),
      };
    });
    this.#nextAddress = next;
    for (const [index, outline] of outlines.entries()) {
      const reach = outline.bind;
      const bind =
        relay === undefined ? reach : `127.0.0.${FIRST_HOST_NUMBER + index}:${reach.split(':')[1] ?? ''}`;
      this.nodes.push({ ...outline, bind, reach, settings: join(folder, `${outline.name}.json`) });
    }
    this.#seeds = this.nodes.slice(0, 3);
    for (const node of this.nodes) this.#writeSettings(node);
    this.#setupFile = join(folder, 'stand-in-workers.json');
    this.#writeSetup(next, zoneAt);
  }

  get edges(): FleetNode[] {
    return this.nodes.filter((node) => !node.core);
  }

  async start(): Promise<void> {
    await this.#relay?.listen(this.nodes);
    this.#spawn('stand-in-workers', 'stand-in-workers', ['--setup', this.#setupFile]);
    for (const node of this.nodes) this.startNode(node);
  }

  startNode(node: FleetNode): void {
    this.#spawn(node.name, node.core ? 'core' : 'edge', ['--settings', node.settings]);
  }

  /** Replaces the machine of a stopped node: deletes its data and gives it a new address. */
  async replaceMachine(node: FleetNode): Promise<void> {
    rmSync(join(this.#folder, 'data', node.name), { recursive: true, force: true });
    const port = this.#nextAddress().split(':')[1] ?? '';
    node.bind = `${node.bind.split(':')[0] ?? HOST}:${port}`;
    node.reach = `${HOST}:${port}`;
    this.#writeSettings(node);
    await this.#relay?.add(node);
  }

  /** Sets the seed nodes in the settings of all nodes; a running node uses them after its next start. */
  setSeeds(seeds: readonly FleetNode[]): void {
    this.#seeds = seeds;
    for (const node of this.nodes) this.#writeSettings(node);
  }

  #writeSettings(node: FleetNode): void {
    const { name, zone, bind, reach, http, core, settings } = node;
    const founders = this.nodes.filter((known) => known.core).map((known) => known.name);
    const seeds = this.#seeds.map((seed) => seed.reach);
    const common = {
      name,
      deployment: this.#shape.deployment,
      zone,
      bind,
      http,
      seeds,
      platform: `http://${this.platform}/workers`,
    };
    const reachSettings = reach === bind ? {} : { reach };
    const roleSettings = core ? { founders, folder: join(this.#folder, 'data', name) } : {};
    writeFileSync(
      settings,
      `${JSON.stringify({ ...common, ...reachSettings, ...roleSettings }, undefined, 2)}\n`,
    );
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal);
  }

  /** Resolves with the exit code once the process has exited, or null if a signal ended it. */
  waitForExit(name: string): Promise<number | null> {
    const child = this.#children.get(name);
    if (child === undefined || child.exitCode !== null || child.signalCode !== null)
      return Promise.resolve(child?.exitCode ?? null);
    return new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
  }

  /** Stops only the processes that this fleet started; nodes still running after 20 s get SIGKILL. */
  async stop(): Promise<Record<string, number | null>> {
    const codes: Record<string, number | null> = {};
    const names = [...this.#children.keys()].filter((name) => name !== 'stand-in-workers');
    for (const name of names) this.signal(name, 'SIGTERM');
    const killTimer = setTimeout(() => {
      for (const name of names) this.signal(name, 'SIGKILL');
    }, 20_000);
    for (const name of names) codes[name] = await this.waitForExit(name);
    clearTimeout(killTimer);
    this.signal('stand-in-workers', 'SIGTERM');
    await this.waitForExit('stand-in-workers');
    return codes;
  }

  /** Sends a JSON request to a node or to the stand-in workers; status 0 means no JSON answer. */
  async ask(
    address: string,
    method: 'GET' | 'POST' | 'PUT' | 'PATCH',
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: unknown }> {
    try {
      const reply = await request(`http://${address}${path}`, {
        method,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: 8000,
      });
      return { status: reply.statusCode, body: await reply.body.json() };
    } catch (thrown) {
      return { status: 0, body: String(thrown) };
    }
  }

  #spawn(name: string, program: string, args: readonly string[]): void {
    const log = openSync(join(this.#folder, `${name}.log`), 'a');
    const path =
      program === 'stand-in-workers'
        ? join(CHECKOUT_ROOT, 'tools', program)
        : join(this.build, 'programs', program);
    const child = spawn(process.execPath, [join(path, 'dist', 'main.js'), ...args], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#children.set(name, child);
  }

  #writeSetup(next: () => string, zoneAt: (index: number) => string): void {
    const shape = this.#shape;
    const spec = exampleSpec(shape) as {
      store: { pullsPerMinute: number };
      workers: { roomMb: number; slots: number };
      models: { name: string; sizeMb: number }[];
      adapters: { name: string; sizeMb: number }[];
    };
    const common = {
      host: HOST,
      roomMb: spec.workers.roomMb,
      slots: spec.workers.slots,
      pullMbPerS: PULL_MB_PER_S,
      pieceMs: CHUNK_INTERVAL_MS,
    };
    const workers = Array.from({ length: shape.workers + shape.lookups }, (_, index) => {
      const lookup = index >= shape.workers;
      const ordinal = lookup ? index - shape.workers : index;
      return {
        ...common,
        name: lookup ? `lookup-${ordinal + 1}` : `worker-${ordinal + 1}`,
        zone: zoneAt(ordinal),
        port: Number(next().split(':')[1]),
        kind: lookup ? 'lookup' : 'model',
        pool: lookup ? shape.pool : 'models',
      };
    });
    const sizesMb = Object.fromEntries(
      [...spec.models, ...spec.adapters].map(({ name, sizeMb }) => [name, sizeMb]),
    );
    const port = Number(this.platform.split(':')[1]);
    const setup = { host: HOST, port, pullsPerMinute: spec.store.pullsPerMinute, sizesMb, workers };
    writeFileSync(this.#setupFile, `${JSON.stringify(setup, undefined, 2)}\n`);
  }
}
