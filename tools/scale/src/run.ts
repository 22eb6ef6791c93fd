import { mkdirSync, readdirSync, readFileSync, statSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { PATHS } from './dialect.js';
import { noTraffic, type Held, type Traffic } from './hollow.js';
import { Child, sharedMs } from './ipc.js';
import {
  LETTER,
  timesOf,
  type FollowerTraffic,
  type Phase,
  type Point,
  type RoleUse,
  type Unsettled,
} from './point.js';
import { partsOf, type Part } from './profile.js';
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

type Listed<K> = (Held & { readonly key: K })[];

interface HollowNotes {
  readonly leader: Traffic;
  readonly other: Traffic;
  readonly revisions: Listed<number>;
  readonly tables: Listed<string>;
  readonly leaders: Listed<string>;
  readonly edges: Listed<number>;
  readonly gone: Listed<number>;
  readonly joinsMs: number[];
  readonly placedMs: number[];
  readonly followers: number;
  readonly ready: number;
  readonly informed: number;
  readonly least: number;
  readonly newestRow: number;
  readonly oldestRow: number;
  readonly tablesHeld: string[];
  readonly asking: number;
}

/** A change that was sent. */
interface Made {
  readonly revision: number;
  readonly sentMs: number;
  /** Undefined where no core said that it is agreed. */
  readonly agreedMs: number | undefined;
}

const CORES = 3;
const PER_PROCESS = 440;
const HOLLOW_HEAP_MB = 5000;
const POLL_MS = 100;
const WATCH_MS = 500;
const S_PER_DAY = 86_400;
const COUNTERS_MS = 10_000;
/** So long after it took over, a coordinator takes what the list says for certain, and tells every row once more. */
const SURE_MS = 5000;
/** The quiet phase is longer, so that counters of the cores fall into it twice. */
const QUIET_PHASES = 2.1;

/**
 * One size played through: cores and one edge as the real programs, the other
 * edges hollow, the workers behind one stand-in.
 * @example
 * const point = await new Run(size, plan).play();
 */
export class Run {
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
  #profiled = false;

  constructor(size: Size, plan: Plan) {
    this.#size = size;
    this.#plan = plan;
  }

  play(): Promise<Point | Unsettled> {
    return this.#watched(() => this.#play());
  }

  /** Plays joins, quiet and loads, and says where the coordinator's time went. */
  profile(): Promise<Part[]> {
    this.#profiled = true;
    return this.#watched(async () => {
      await this.#startCores();
      await this.#join();
      await this.#quiet();
      await this.#loads();
      const place = Math.max(0, this.#leading());
      await this.#cores[place]?.kill('SIGTERM');
      return partsOf(join(this.#plan.folder, `core-${place}.profile`));
    });
  }

  async #watched<T>(play: () => Promise<T>): Promise<T> {
    mkdirSync(this.#plan.folder, { recursive: true });
    const watch = setInterval(() => this.#watch(), WATCH_MS);
    try {
      return await play();
    } finally {
      clearInterval(watch);
      await Promise.all(this.#children.map((child) => child.kill()));
    }
  }

  async #play(): Promise<Point | Unsettled> {
    const { size } = this;
    await this.#startCores();
    const join = await this.#join();
    if (!join.settled) return { size, join, mostRssMb: this.#mostRssMb };
    const quiet = await this.#quiet();
    const chooseUs = await (this.#hollow[0] as Child).ask<number>('choose');
    const loads = await this.#loads();
    const changes = await this.#changes();
    const restarts = await this.#restarts();
    const parted = await this.#parted();
    const killedEdge = await this.#killEdge();
    const zone = await this.#loseZone();
    const killedCoordinator = await this.#killCoordinator();
    const { listBytes } = await (this.#standIn as Child).ask<{ listBytes: number }>('counts');
    const stateBytes = changes.stateTells === 0 ? 0 : Math.round(changes.stateBytes / changes.stateTells);
    return {
      size,
      stateBytes,
      listBytes,
      diskBytes: this.#diskBytes(),
      chooseUs,
      join,
      quiet,
      loads,
      changes,
      restarts,
      zone,
      parted,
      killedEdge,
      killedCoordinator,
      mostRssMb: this.#mostRssMb,
    };
  }

  get size(): Size {
    return this.#size;
  }

  // Processes.

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
      graceMs: 8000,
      memoryMb: 256,
    };
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }

  async #startCores(): Promise<void> {
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
          this.#profiled
            ? ['--cpu-prof', `--cpu-prof-dir=${join(this.#plan.folder, `${name}.profile`)}`]
            : [],
        ),
      );
    }
    await this.#until(30_000, async () => (await this.#call('PUT', configuration(this.#size))) === 200);
  }

  // The operators' side.

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
  async #change(): Promise<Made> {
    this.#revision += 1;
    const revision = this.#revision;
    const sentMs = sharedMs();
    const status = await this.#call('PATCH', {
      revision,
      set: { routes: [route(revision % Math.max(1, this.#size.routes), revision)] },
    });
    return { revision, sentMs, agreedMs: status === 200 ? sharedMs() : undefined };
  }

  // Measuring.

  async #notes(): Promise<HollowNotes> {
    const all = await Promise.all(this.#hollow.map((child) => child.ask<HollowNotes>('notes')));
    return all.reduce((one, other) => ({
      leader: added(one.leader, other.leader),
      other: added(one.other, other.other),
      revisions: merged(one.revisions, other.revisions),
      tables: merged(one.tables, other.tables),
      leaders: merged(one.leaders, other.leaders),
      edges: merged(one.edges, other.edges),
      gone: merged(one.gone, other.gone),
      joinsMs: [...one.joinsMs, ...other.joinsMs],
      placedMs: [...one.placedMs, ...other.placedMs],
      followers: one.followers + other.followers,
      ready: one.ready + other.ready,
      informed: one.informed + other.informed,
      least: Math.min(one.least, other.least),
      newestRow: Math.max(one.newestRow, other.newestRow),
      oldestRow: Math.min(one.oldestRow, other.oldestRow),
      tablesHeld: [...new Set([...one.tablesHeld, ...other.tablesHeld])],
      asking: one.asking + other.asking,
    }));
  }

  async #mark(): Promise<void> {
    await Promise.all(this.#hollow.map((child) => child.ask('mark')));
  }

  async #until(mostMs: number, is: () => Promise<boolean>): Promise<boolean> {
    const endMs = sharedMs() + mostMs;
    while (sharedMs() < endMs) {
      if (this.#tooMuch) throw new Error('the run held too much memory');
      if (await is()) return true;
      await pause(POLL_MS);
    }
    return false;
  }

  /** All followers hold the same table up to the same row, and the newest revision. */
  async #settled(mostMs: number): Promise<boolean> {
    return this.#until(mostMs, async () => {
      const notes = await this.#notes();
      return (
        notes.ready === notes.followers &&
        notes.tablesHeld.length === 1 &&
        notes.newestRow === notes.oldestRow &&
        notes.least === this.#revision
      );
    });
  }

  /** Which core coordinates, by what the cores logged. */
  #leading(): number {
    let leading = -1;
    let newest = -1;
    for (const [place] of this.#cores.entries()) {
      const lines = this.#log(`core-${place}`).filter((line) => line['msg'] === 'coordination');
      const last = lines.at(-1);
      if (last?.['leading'] !== true || Number(last['epoch']) <= newest || this.#cores[place]?.alive !== true)
        continue;
      newest = Number(last['epoch']);
      leading = place;
    }
    return leading;
  }

  #log(name: string): Record<string, unknown>[] {
    const lines = readFileSync(join(this.#plan.folder, `${name}.log`), 'utf8').split('\n');
    return lines
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Plays something, and measures every role meanwhile. */
  async #phase<T>(
    name: string,
    during: () => Promise<T>,
  ): Promise<{ phase: Phase; notes: HollowNotes; value: T }> {
    await this.#mark();
    const place = Math.max(0, this.#leading());
    const before = new Map(this.#children.map((child) => [child, child.used]));
    const beganMs = sharedMs();
    const value = await during();
    const windowMs = sharedMs() - beganMs;
    const uses = new Map(
      [...before].map(([child, { cpuMs }]) => [
        child,
        { cpuMsPerS: ((child.used.cpuMs - cpuMs) / windowMs) * 1000, rssMb: child.used.rssMb },
      ]),
    );
    const notes = await this.#notes();
    const none: RoleUse = { cpuMsPerS: 0, rssMb: 0 };
    const others = this.#cores
      .filter((child, nth) => nth !== place && child.alive)
      .map((child) => uses.get(child) ?? none);
    const hollow = this.#hollow.map((child) => uses.get(child) ?? none);
    const phase: Phase = {
      windowMs,
      coordinator: uses.get(this.#cores[place] as Child) ?? none,
      otherCore: averaged(others, others.length),
      edge: this.#edge === undefined ? none : (uses.get(this.#edge) ?? none),
      hollow: averaged(hollow, notes.followers),
      withCoordinator: perFollower(notes.leader, notes.followers, windowMs),
      withOthers: perFollower(notes.other, notes.followers, windowMs),
      processors: [...uses.values()].reduce((sum, use) => sum + use.cpuMsPerS, 0) / 1000,
    };
    this.#plan.note(
      `  ${name}: ${(windowMs / 1000).toFixed(1)} s, coordinator ${phase.coordinator.cpuMsPerS.toFixed(1)} ms/s, all ${phase.processors.toFixed(2)} processors, ${notes.ready} of ${notes.followers} ready`,
    );
    return { phase, notes, value };
  }

  // The phases.

  async #join(): Promise<Point['join']> {
    const { nodes } = this.#size;
    const { port } = this.#plan;
    const hollow = nodes - 1;
    const processes = Math.ceil(hollow / PER_PROCESS);
    for (let nth = 0; nth < processes; nth += 1) {
      const args = [
        JSON.stringify(this.#size),
        `127.77.1.${1 + nth}`,
        this.#coreHosts()
          .map((host) => `${host}:${port}`)
          .join(','),
        String(nth * 100_000),
        String(this.#plan.keptBy),
      ];
      this.#hollow.push(
        this.#start(`hollow-${nth}`, './hollow-child.js', args, [`--max-old-space-size=${HOLLOW_HEAP_MB}`]),
      );
    }
    await this.#notesOfNone();
    const { phase, notes, value } = await this.#phase('join', async () => {
      const counts = this.#hollow.map(
        (_, nth) => Math.floor(hollow / processes) + (nth < hollow % processes ? 1 : 0),
      );
      await Promise.all(this.#hollow.map((child, nth) => child.ask('grow', counts[nth])));
      return this.#settled(60_000);
    });
    this.#edge = this.#start('edge', './system-child.js', ['edge', this.#settings('edge', 1, '127.77.3.1')]);
    await pause(SURE_MS);
    await this.#settled(20_000);
    const joined = Math.max(1, notes.joinsMs.length);
    return {
      settled: value,
      times: timesOf(notes.joinsMs),
      tableBytes: notes.leader.wholes === 0 ? 0 : Math.round(notes.leader.wholeBytes / notes.leader.wholes),
      coordinatorCpuMs: (phase.coordinator.cpuMsPerS * phase.windowMs) / 1000 / joined,
      phase,
    };
  }

  async #notesOfNone(): Promise<void> {
    await this.#until(20_000, async () => (await this.#notes()).followers === 0);
  }

  async #quiet(): Promise<Point['quiet']> {
    const began = Date.now();
    const { phase } = await this.#phase('quiet', () => pause(this.#plan.seconds * QUIET_PHASES * 1000));
    const others = this.#cores.flatMap((_, place) =>
      place === this.#leading() ? [] : [this.#framesIn(`core-${place}`, began)],
    );
    const rates = others.filter((rate) => rate !== undefined);
    const groupFrames =
      rates.length === 0
        ? undefined
        : rates.reduce((sum, rate) => sum + rate, 0) / rates.length -
          phase.withOthers.framesOut * (this.#size.nodes / (CORES - 1));
    return { ...phase, groupFramesInPerS: groupFrames };
  }

  /** Frames a second that a core counted between its last two counters, where both fall into the phase. */
  #framesIn(name: string, sinceMs: number): number | undefined {
    const [one, other] = this.#log(name)
      .filter((line) => line['msg'] === 'counters' && Number(line['time']) >= sinceMs)
      .slice(-2);
    if (one === undefined || other === undefined) return undefined;
    return ((framesOf(other) - framesOf(one)) / COUNTERS_MS) * 1000;
  }

  async #loads(): Promise<Point['loads']> {
    const askedPerS = LETTER.loadsPerH / 3600;
    const standIn = this.#standIn as Child;
    const before = await standIn.ask<{ orders: number; reports: number }>('counts');
    const { phase, notes } = await this.#phase('loads', async () => {
      await Promise.all(this.#hollow.map((child) => child.ask('loads', askedPerS / this.#hollow.length)));
      await pause(this.#plan.seconds * 1000);
      await Promise.all(this.#hollow.map((child) => child.ask('loads', 0)));
      await this.#until(5000, async () => (await this.#notes()).asking === 0);
    });
    const after = await standIn.ask<{ orders: number; reports: number }>('counts');
    const { changes, changeBytes, rows } = notes.leader;
    return {
      ...phase,
      askedPerS,
      orders: after.orders - before.orders,
      reports: after.reports - before.reports,
      placed: timesOf(notes.placedMs),
      tellsWithRows: changes,
      tellBytes: changeBytes,
      rows,
    };
  }

  async #changes(): Promise<Point['changes']> {
    const { changesFactor: factor, seconds } = this.#plan;
    const everyMs = (S_PER_DAY / LETTER.changesPerDay / factor) * 1000;
    const { phase, notes, value } = await this.#phase('changes', async () => {
      const made: Promise<Made>[] = [];
      const beganMs = sharedMs();
      while (sharedMs() - beganMs < seconds * 1000) {
        made.push(this.#change());
        await pause(Math.max(0, beganMs + made.length * everyMs - sharedMs()));
      }
      const all = await Promise.all(made);
      await this.#settled(10_000);
      return all;
    });
    const agreed = value.filter(({ agreedMs }) => agreedMs !== undefined);
    const held = agreed.map(({ revision, sentMs }) => {
      const known = notes.revisions.find(({ key }) => key === revision);
      return known?.count === notes.followers ? known.lastMs - sentMs : Infinity;
    });
    const finite = held.filter((ms) => ms !== Infinity);
    return {
      ...phase,
      factor,
      made: value.length,
      agreed: timesOf(agreed.map(({ agreedMs = 0, sentMs }) => agreedMs - sentMs)),
      held: timesOf(finite),
      heldByAll: finite.length === value.length,
      stateTells: notes.leader.states + notes.other.states,
      stateBytes: notes.leader.stateBytes + notes.other.stateBytes,
    };
  }

  async #restarts(): Promise<Point['restarts']> {
    const { restartsFactor: factor, seconds } = this.#plan;
    const everyMs = (S_PER_DAY / LETTER.restartsPerDay / factor) * 1000;
    const made = Math.max(1, Math.round((seconds * 1000) / everyMs));
    const { phase, notes } = await this.#phase('restarts', async () => {
      await (this.#hollow[0] as Child).ask('restart', { count: made, everyMs });
      await this.#settled(10_000);
    });
    return {
      ...phase,
      factor,
      made,
      join: timesOf(notes.joinsMs),
      wholes: notes.leader.wholes + notes.other.wholes,
      taken: notes.tables.reduce((sum, { count }) => sum + count, 0),
    };
  }

  /** One region of six loses the cores for a while, and a change is made meanwhile. */
  async #parted(): Promise<Point['parted']> {
    await this.#mark();
    const cutMs = sharedMs();
    const counts = await Promise.all(
      this.#hollow.map((child) => child.ask<number>('cut', { share: 1 / 6, cut: true })),
    );
    const followers = counts.reduce((sum, count) => sum + count, 0);
    await this.#until(10_000, async () => {
      const notes = await this.#notes();
      return notes.informed === notes.followers - followers;
    });
    const uninformedMs = sharedMs() - cutMs;
    await this.#change();
    await pause(1000);
    const healedMs = sharedMs();
    await Promise.all(this.#hollow.map((child) => child.ask('cut', { share: 1 / 6, cut: false })));
    const settled = await this.#settled(20_000);
    const { revisions } = await this.#notes();
    const last = revisions.find(({ key }) => key === this.#revision)?.lastMs ?? sharedMs();
    return { followers, uninformedMs, currentMs: last - healedMs, settled };
  }

  /** One edge ends without a word: until every other counts one less. */
  async #killEdge(): Promise<Point['killedEdge']> {
    await this.#mark();
    const killedMs = sharedMs();
    await (this.#hollow[0] as Child).ask('kill', 1);
    let lastMs = killedMs;
    const settled = await this.#until(15_000, async () => {
      const notes = await this.#notes();
      const known = notes.edges.find(({ key }) => key === this.#size.nodes - 1);
      lastMs = known?.lastMs ?? killedMs;
      return (known?.count ?? 0) >= notes.followers;
    });
    return { settled, knownMs: lastMs - killedMs };
  }

  async #loseZone(): Promise<Point['zone']> {
    await this.#mark();
    const lostMs = sharedMs();
    const rows = await (this.#standIn as Child).ask<number>('lose', zoneOf(0));
    let lastMs = lostMs;
    const settled = await this.#until(30_000, async () => {
      const notes = await this.#notes();
      const known = notes.gone.find(({ key }) => key === rows);
      lastMs = known?.lastMs ?? lostMs;
      return (known?.count ?? 0) >= notes.followers;
    });
    const { leader } = await this.#notes();
    return { settled, rows, heldMs: lastMs - lostMs, bytes: leader.changeBytes };
  }

  async #killCoordinator(): Promise<Point['killedCoordinator']> {
    await this.#mark();
    const place = this.#leading();
    const before = (await this.#notes()).tablesHeld;
    const killedMs = sharedMs();
    const killedAt = Date.now();
    await this.#cores[place]?.kill();
    let lines: Record<string, unknown>[] = [];
    await this.#until(30_000, () => {
      lines = this.#cores.flatMap((child, nth) =>
        child.alive
          ? this.#log(`core-${nth}`).filter(
              (line) =>
                line['msg'] === 'coordination' && line['leading'] === true && Number(line['time']) > killedAt,
            )
          : [],
      );
      return Promise.resolve(lines.length > 0);
    });
    const renewed = await this.#until(
      40_000,
      async () => !(await this.#notes()).tablesHeld.some((table) => before.includes(table)),
    );
    const settled = renewed && (await this.#settled(20_000));
    const notes = await this.#notes();
    const known = notes.leaders.reduce((most, { lastMs }) => Math.max(most, lastMs), killedMs);
    const table = notes.tables.reduce((most, { lastMs }) => Math.max(most, lastMs), killedMs);
    this.#plan.note(
      `  coordinator killed: ${settled ? 'settled' : 'NOT settled'}, ${notes.tables.length} tables, ${notes.leader.wholes} whole tables sent`,
    );
    return {
      settled,
      leadsMs: Number(lines[0]?.['time'] ?? killedAt) - killedAt,
      knownMs: known - killedMs,
      tableMs: table - killedMs,
      tables: notes.tables.length,
      wholes: notes.leader.wholes + notes.other.wholes,
      wholeBytes: notes.leader.wholeBytes + notes.other.wholeBytes,
    };
  }

  /** Bytes of one core's disk. */
  #diskBytes(): number {
    const folder = join(this.#plan.folder, 'core-0.disk');
    return readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
  }
}

function framesOf(line: Record<string, unknown>): number {
  return (line['counters'] as Record<string, number>)['framesIn'] ?? 0;
}

function added(one: Traffic, other: Traffic): Traffic {
  const sum = noTraffic();
  for (const key of Object.keys(sum) as (keyof Traffic)[]) sum[key] = one[key] + other[key];
  return sum;
}

function merged<K>(one: Listed<K>, other: Listed<K>): Listed<K> {
  const held = new Map(one.map((entry) => [entry.key, entry]));
  for (const entry of other) {
    const known = held.get(entry.key);
    if (known === undefined) held.set(entry.key, entry);
    else
      held.set(entry.key, {
        key: entry.key,
        count: known.count + entry.count,
        firstMs: Math.min(known.firstMs, entry.firstMs),
        lastMs: Math.max(known.lastMs, entry.lastMs),
      });
  }
  return [...held.values()];
}

function averaged(uses: readonly RoleUse[], count: number): RoleUse {
  const among = Math.max(1, count);
  return {
    cpuMsPerS: uses.reduce((sum, use) => sum + use.cpuMsPerS, 0) / among,
    rssMb: uses.reduce((sum, use) => sum + use.rssMb, 0) / among,
  };
}

function perFollower(traffic: Traffic, followers: number, windowMs: number): FollowerTraffic {
  const each = 1000 / windowMs / Math.max(1, followers);
  return {
    framesOut: traffic.follows * each,
    framesIn: traffic.tells * each,
    bytesOut: traffic.followBytes * each,
    bytesIn: traffic.tellBytes * each,
  };
}
