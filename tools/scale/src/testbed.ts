/** The processes of a run, and what is asked of them: three cores, an edge, hollow edges, a stand-in for workers. */
import { mkdirSync, readdirSync, readFileSync, statSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { PATHS } from './dialect.js';
import { mergeNotes, type HollowNotes } from './hollow-notes.js';
import { Child, sharedMs } from './ipc.js';
import { configuration, regions, route, zoneOf, type Size } from './site.js';

/** How a run is played. */
export interface Plan {
  readonly port: number;
  readonly folder: string;
  /** Length of each phase. */
  readonly seconds: number;
  /** By so much changes of configuration come faster than the letter's. */
  readonly changesFactor: number;
  /** By so much restarts come faster than the letter's. */
  readonly restartsFactor: number;
  /** The run ends when all its processes hold more. */
  readonly mostMb: number;
  /** One in so many hollow edges keeps the rows of its table; all are told them. */
  readonly keptBy: number;
  note(text: string): void;
}

/** A change that was sent. */
export interface Made {
  readonly revision: number;
  readonly sentMs: number;
  /** Undefined where no core said that it is agreed. */
  readonly agreedMs: number | undefined;
}

/** How many cores there are. */
export const CORES = 3;
const EDGES_PER_PROCESS = 440;
const HOLLOW_HEAP_MB = 5000;
const POLL_MS = 100;
const WATCH_MS = 500;

/** One line of a program's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/**
 * Starts the processes of one size and speaks with them. Whatever it started
 * it ends.
 * @example
 * const testbed = new Testbed(size, plan);
 * await testbed.watched(() => testbed.startCores());
 */
export class Testbed {
  #size: Size;
  #plan: Plan;
  #cores: Child[] = [];
  #hollow: Child[] = [];
  #edge: Child | undefined;
  #standIn: Child | undefined;
  #children: Child[] = [];
  #revision = 1;
  #mostRssMb = 0;
  #tooMuch = false;

  constructor(size: Size, plan: Plan) {
    this.#size = size;
    this.#plan = plan;
  }

  get cores(): readonly Child[] {
    return this.#cores;
  }

  /** Processes of hollow edges. */
  get hollow(): readonly Child[] {
    return this.#hollow;
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

  /** Keeps an eye on memory while something is played, and ends all processes after it. */
  async watched<T>(play: () => Promise<T>): Promise<T> {
    mkdirSync(this.#plan.folder, { recursive: true });
    const watch = setInterval(() => this.#watch(), WATCH_MS);
    try {
      return await play();
    } finally {
      clearInterval(watch);
      await Promise.all(this.#children.map((child) => child.kill()));
    }
  }

  /** Starts the stand-in and the cores, and puts the configuration in force. */
  async startCores(profiled = false): Promise<void> {
    const { port } = this.#plan;
    this.#standIn = this.#start('stand-in', './stand-in.js', [JSON.stringify(this.#size), String(port + 3)]);
    await this.#standIn.ask('counts');
    for (const [place, host] of this.#coreHosts().entries()) {
      const name = `core-${place}`;
      this.#cores.push(
        this.#start(
          name,
          './system-child.js',
          ['core', this.#settings(name, place, host)],
          profiled ? ['--cpu-prof', `--cpu-prof-dir=${join(this.#plan.folder, `${name}.profile`)}`] : [],
        ),
      );
    }
    await this.until(30_000, async () => (await this.#call('PUT', configuration(this.#size))) === 200);
  }

  /** Starts the processes of the hollow edges, without edges in them yet. */
  async startHollow(): Promise<void> {
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
      this.#hollow.push(
        this.#start(`hollow-${nth}`, './hollow-child.js', args, [`--max-old-space-size=${HOLLOW_HEAP_MB}`]),
      );
    }
    await this.#notesOfNone();
  }

  /** Lets the hollow edges begin, spread evenly over their processes. */
  async growHollow(): Promise<void> {
    const edges = this.#size.nodes - 1;
    const processes = this.#hollow.length;
    const counts = this.#hollow.map(
      (_, nth) => Math.floor(edges / processes) + (nth < edges % processes ? 1 : 0),
    );
    await Promise.all(this.#hollow.map((child, nth) => child.ask('grow', counts[nth])));
  }

  /** Starts the edge that runs the real program. */
  startEdge(): void {
    this.#edge = this.#start('edge', './system-child.js', ['edge', this.#settings('edge', 1, '127.77.3.1')]);
  }

  async #call(method: 'PUT' | 'PATCH', body: object): Promise<number> {
    for (const [place, host] of this.#coreHosts().entries()) {
      if (this.#cores[place]?.alive !== true) continue;
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

  /** Changes one route; the next number is taken whether it is agreed or not. */
  async change(): Promise<Made> {
    this.#revision += 1;
    const revision = this.#revision;
    const sentMs = sharedMs();
    const status = await this.#call('PATCH', {
      revision,
      set: { routes: [route(revision % Math.max(1, this.#size.routes), revision)] },
    });
    return { revision, sentMs, agreedMs: status === 200 ? sharedMs() : undefined };
  }

  /** What all hollow edges noted since the last mark. */
  async notes(): Promise<HollowNotes> {
    const all = await Promise.all(this.#hollow.map((child) => child.ask<HollowNotes>('notes')));
    return all.reduce(mergeNotes);
  }

  /** Lets the hollow edges begin their notes anew. */
  async mark(): Promise<void> {
    await Promise.all(this.#hollow.map((child) => child.ask('mark')));
  }

  /** Waits until something is so; false: it was not in time. */
  async until(mostMs: number, is: () => Promise<boolean>): Promise<boolean> {
    const endMs = sharedMs() + mostMs;
    while (sharedMs() < endMs) {
      if (this.#tooMuch) throw new Error('the run held too much memory');
      if (await is()) return true;
      await pause(POLL_MS);
    }
    return false;
  }

  /** All followers hold the same table up to the same row, and the newest revision. */
  async settled(mostMs: number): Promise<boolean> {
    return this.until(mostMs, async () => {
      const notes = await this.notes();
      return (
        notes.ready === notes.followers &&
        notes.tablesHeld.length === 1 &&
        notes.newestRow === notes.oldestRow &&
        notes.least === this.#revision
      );
    });
  }

  /** Which core coordinates, by what the cores logged. */
  leading(): number {
    let leading = -1;
    let newest = -1;
    for (const [place] of this.#cores.entries()) {
      const lines = this.log(`core-${place}`).filter((line) => line['msg'] === 'coordination');
      const last = lines.at(-1);
      if (last?.['leading'] !== true || Number(last['epoch']) <= newest || this.#cores[place]?.alive !== true)
        continue;
      newest = Number(last['epoch']);
      leading = place;
    }
    return leading;
  }

  /** What a process has logged. */
  log(name: string): LogLine[] {
    const lines = readFileSync(join(this.#plan.folder, `${name}.log`), 'utf8').split('\n');
    return lines
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line) as LogLine);
  }

  /** Bytes of one core's disk. */
  diskBytes(): number {
    const folder = join(this.#plan.folder, 'core-0.disk');
    return readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
  }

  async #notesOfNone(): Promise<void> {
    await this.until(20_000, async () => (await this.notes()).followers === 0);
  }

  #start(name: string, script: string, args: readonly string[], execArgv: readonly string[] = []): Child {
    const child = new Child(name, script, args, join(this.#plan.folder, `${name}.log`), execArgv);
    this.#children.push(child);
    return child;
  }

  #watch(): void {
    const rssMb = this.#children.reduce((sum, child) => sum + child.used.rssMb, 0);
    this.#mostRssMb = Math.max(this.#mostRssMb, rssMb);
    if (rssMb < this.#plan.mostMb || this.#tooMuch) return;
    this.#tooMuch = true;
    this.#plan.note(`stopped: ${rssMb.toFixed(0)} MB held, at most ${this.#plan.mostMb} are allowed`);
    for (const child of this.#children) void child.kill();
  }

  #coreHosts(): string[] {
    return Array.from({ length: CORES }, (_, place) => `127.77.0.${1 + place}`);
  }

  #settings(name: string, place: number, host: string): string {
    const { port, folder } = this.#plan;
    const path = join(folder, `${name}.json`);
    const settings = {
      name,
      zone: zoneOf(place),
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
      memoryMb: 256,
    };
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}
