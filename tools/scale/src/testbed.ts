/** The processes of a run: three cores, a real edge, simulated edges and a stand-in for the workers. */
import { mkdirSync, readdirSync, readFileSync, statSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { PATHS } from './dialect.js';
import { mergeStats, type EdgeStatsReport } from './hollow-notes.js';
import { Child, sharedMs } from './ipc.js';
import { configuration, regions, route, zoneOf, type Size } from './site.js';

/** Parameters of a run. */
export interface Plan {
  readonly port: number;
  readonly folder: string;
  /** Length of each phase in seconds. */
  readonly seconds: number;
  /** Factor by which configuration changes are more frequent than in the reference fleet. */
  readonly changesFactor: number;
  /** Factor by which restarts are more frequent than in the reference fleet. */
  readonly restartsFactor: number;
  /** Memory limit in MB for all processes together; the run ends when it is exceeded. */
  readonly mostMb: number;
  /** One out of this many simulated edges retains the rows of its table; all of them receive the rows. */
  readonly keptBy: number;
  print(text: string): void;
}

/** A configuration change that was sent. */
export interface ConfigurationChange {
  readonly revision: number;
  readonly sentMs: number;
  /** Undefined if no core confirmed that the change was agreed. */
  readonly agreedMs: number | undefined;
}

/** Number of cores. */
export const CORE_COUNT = 3;
const EDGES_PER_PROCESS = 440;
const SIMULATED_HEAP_MB = 5000;
const POLL_MS = 100;
const MEMORY_CHECK_MS = 500;

/** One line of a program's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/**
 * Starts the processes for one fleet size, communicates with them, and stops all of them
 * at the end.
 * @example
 * const testbed = new Testbed(size, plan);
 * await testbed.withMemoryLimit(() => testbed.startCores());
 */
export class Testbed {
  #size: Size;
  #plan: Plan;
  #cores: Child[] = [];
  #simulated: Child[] = [];
  #edge: Child | undefined;
  #standIn: Child | undefined;
  #children: Child[] = [];
  #revision = 1;
  #mostRssMb = 0;
  #memoryExceeded = false;

  constructor(size: Size, plan: Plan) {
    this.#size = size;
    this.#plan = plan;
  }

  get cores(): readonly Child[] {
    return this.#cores;
  }

  /** Processes that run the simulated edges. */
  get simulated(): readonly Child[] {
    return this.#simulated;
  }

  /** The edge that runs the real program. */
  get edge(): Child | undefined {
    return this.#edge;
  }

  get standIn(): Child {
    return this.#standIn as Child;
  }

  get children(): readonly Child[] {
    return this.#children;
  }

  /** The newest revision that was sent. */
  get revision(): number {
    return this.#revision;
  }

  get mostRssMb(): number {
    return this.#mostRssMb;
  }

  /** Runs an action under the memory limit, and stops all processes afterwards. */
  async withMemoryLimit<T>(action: () => Promise<T>): Promise<T> {
    mkdirSync(this.#plan.folder, { recursive: true });
    const watch = setInterval(() => this.#checkMemory(), MEMORY_CHECK_MS);
    try {
      return await action();
    } finally {
      clearInterval(watch);
      await Promise.all(this.#children.map((child) => child.kill()));
    }
  }

  /** Starts the stand-in and the cores, and applies the configuration. */
  async startCores(profiled = false): Promise<void> {
    const { port } = this.#plan;
    this.#standIn = this.#start('stand-in', './stand-in.js', [JSON.stringify(this.#size), String(port + 3)]);
    await this.#standIn.call('counts');
    for (const [index, host] of this.#coreHosts().entries()) {
      const name = `core-${index}`;
      this.#cores.push(
        this.#start(
          name,
          './system-child.js',
          ['core', this.#settings(name, index, host)],
          profiled ? ['--cpu-prof', `--cpu-prof-dir=${join(this.#plan.folder, `${name}.profile`)}`] : [],
        ),
      );
    }
    await this.waitUntil(30_000, async () => (await this.#call('PUT', configuration(this.#size))) === 200);
  }

  /** Starts the processes for the simulated edges, initially without any edges. */
  async startSimulated(): Promise<void> {
    const processes = Math.ceil((this.#size.nodes - 1) / EDGES_PER_PROCESS);
    const cores = this.#coreHosts().map((host) => `${host}:${this.#plan.port}`);
    for (let nth = 0; nth < processes; nth += 1) {
      const args = [
        JSON.stringify(this.#size),
        `127.77.1.${1 + nth}`,
        cores.join(','),
        String(nth * 100_000),
        String(this.#plan.keptBy),
      ];
      this.#simulated.push(
        this.#start(`hollow-${nth}`, './hollow-child.js', args, [
          `--max-old-space-size=${SIMULATED_HEAP_MB}`,
        ]),
      );
    }
    await this.#waitForProcesses();
  }

  /** Starts the simulated edges, spread evenly over their processes. */
  async addSimulatedEdges(): Promise<void> {
    const edges = this.#size.nodes - 1;
    const processes = this.#simulated.length;
    const counts = this.#simulated.map(
      (_, nth) => Math.floor(edges / processes) + (nth < edges % processes ? 1 : 0),
    );
    await Promise.all(this.#simulated.map((child, nth) => child.call('addEdges', counts[nth])));
  }

  /** Starts the edge that runs the real program. */
  startEdge(): void {
    this.#edge = this.#start('edge', './system-child.js', ['edge', this.#settings('edge', 1, '127.77.3.1')]);
  }

  async #call(method: 'PUT' | 'PATCH', body: object): Promise<number> {
    for (const [index, host] of this.#coreHosts().entries()) {
      if (this.#cores[index]?.alive !== true) continue;
      try {
        const { statusCode, body: answer } = await request(
          `http://${host}:${this.#plan.port + 2}${PATHS.configuration}`,
          { method, body: JSON.stringify(body), headersTimeout: 3000 },
        );
        await answer.dump();
        if (statusCode === 200) return statusCode;
      } catch {
        continue;
      }
    }
    return 0;
  }

  /** Changes one route; the revision number is used up even if the change is not agreed. */
  async changeRoute(): Promise<ConfigurationChange> {
    this.#revision += 1;
    const revision = this.#revision;
    const sentMs = sharedMs();
    const status = await this.#call('PATCH', {
      revision,
      set: { routes: [route(revision % Math.max(1, this.#size.routes), revision)] },
    });
    return { revision, sentMs, agreedMs: status === 200 ? sharedMs() : undefined };
  }

  /** Merged statistics of all simulated edges since the last reset. */
  async stats(): Promise<EdgeStatsReport> {
    const all = await Promise.all(this.#simulated.map((child) => child.call<EdgeStatsReport>('stats')));
    return all.reduce(mergeStats);
  }

  /** Resets the statistics of all simulated edges. */
  async resetStats(): Promise<void> {
    await Promise.all(this.#simulated.map((child) => child.call('resetStats')));
  }

  /** Waits until a condition holds; returns false if the timeout passes first. */
  async waitUntil(timeoutMs: number, condition: () => Promise<boolean>): Promise<boolean> {
    const endMs = sharedMs() + timeoutMs;
    while (sharedMs() < endMs) {
      if (this.#memoryExceeded) throw new Error('the processes of the run exceeded the memory limit');
      if (await condition()) return true;
      await pause(POLL_MS);
    }
    return false;
  }

  /** Waits until all followers have the same table up to the same row, and the newest revision. */
  async waitUntilSettled(timeoutMs: number): Promise<boolean> {
    return this.waitUntil(timeoutMs, async () => {
      const stats = await this.stats();
      return (
        stats.ready === stats.followers &&
        stats.tableIds.length === 1 &&
        stats.newestRow === stats.oldestRow &&
        stats.minRevision === this.#revision
      );
    });
  }

  /** Index of the coordinating core according to the cores' logs, or -1. */
  coordinatorIndex(): number {
    let coordinator = -1;
    let newest = -1;
    for (const [index] of this.#cores.entries()) {
      const lines = this.log(`core-${index}`).filter((line) => line['msg'] === 'coordination');
      const last = lines.at(-1);
      if (last?.['leading'] !== true || Number(last['epoch']) <= newest || this.#cores[index]?.alive !== true)
        continue;
      newest = Number(last['epoch']);
      coordinator = index;
    }
    return coordinator;
  }

  /** Parsed log lines of a process. */
  log(name: string): LogLine[] {
    const lines = readFileSync(join(this.#plan.folder, `${name}.log`), 'utf8').split('\n');
    return lines
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line) as LogLine);
  }

  /** Size of one core's disk folder in bytes. */
  diskBytes(): number {
    const folder = join(this.#plan.folder, 'core-0.disk');
    return readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
  }

  async #waitForProcesses(): Promise<void> {
    await this.waitUntil(20_000, async () => (await this.stats()).followers === 0);
  }

  #start(name: string, script: string, args: readonly string[], execArgv: readonly string[] = []): Child {
    const child = new Child(name, script, args, join(this.#plan.folder, `${name}.log`), execArgv);
    this.#children.push(child);
    return child;
  }

  #checkMemory(): void {
    const rssMb = this.#children.reduce((sum, child) => sum + child.resourceUsage.rssMb, 0);
    this.#mostRssMb = Math.max(this.#mostRssMb, rssMb);
    if (rssMb < this.#plan.mostMb || this.#memoryExceeded) return;
    this.#memoryExceeded = true;
    this.#plan.print(`stopped: ${rssMb.toFixed(0)} MB held, at most ${this.#plan.mostMb} are allowed`);
    for (const child of this.#children) void child.kill();
  }

  #coreHosts(): string[] {
    return Array.from({ length: CORE_COUNT }, (_, index) => `127.77.0.${1 + index}`);
  }

  #settings(name: string, index: number, host: string): string {
    const { port, folder } = this.#plan;
    const path = join(folder, `${name}.json`);
    const settings = {
      name,
      zone: zoneOf(index),
      regions: regions(),
      host,
      ports: [port, port + 10],
      seeds: this.#coreHosts(),
      founding: true,
      folder: join(folder, `${name}.disk`),
      lossesBorne: 1,
      listen: {
        clients: `${host}:${port + 4}`,
        readiness: `${host}:${port + 5}`,
        operators: `${host}:${port + 2}`,
      },
      provider: { address: `127.77.2.1:${port + 3}`, callsPerS: 10, lagMs: 1000 },
      retries: { ratio: 0.2, extra: 200 },
      quota: { windowMs: 5000, overshoot: 0.1, slack: 20 },
      revocation: { strict: false, withinMs: 2500 },
      graceMs: 8000,
      memoryMb: 350,
      openFiles: 4096,
    };
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}
