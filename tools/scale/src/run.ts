/** One size of fleet played through, phase by phase. */
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { sharedMs, type Child } from './ipc.js';
import { measurePhase, phaseLine, type MeasuredPhase } from './phase-meter.js';
import { LETTER, timesOf, type Point, type Unsettled } from './point.js';
import { partsOf, type Part } from './profile.js';
import { zoneOf, type Size } from './site.js';
import { CORES, Testbed, type LogLine, type Made, type Plan } from './testbed.js';

const S_PER_DAY = 86_400;
const COUNTERS_MS = 10_000;
/** So long after it took over, a coordinator takes what the list says for certain, and tells every row once more. */
const SURE_MS = 5000;
/** The quiet phase is longer, so that counters of the cores fall into it twice. */
const QUIET_PHASES = 2.1;
/** The part of the edges that loses the cores. */
const PARTED_SHARE = 1 / 6;

/** What the stand-in for the workers counted. */
interface StandInCounts {
  readonly orders: number;
  readonly reports: number;
  readonly listBytes: number;
}

/**
 * One size played through: cores and one edge as the real programs, the other
 * edges hollow, the workers behind one stand-in.
 * @example
 * const point = await new Run(size, plan).play();
 */
export class Run {
  #size: Size;
  #plan: Plan;
  #testbed: Testbed;

  constructor(size: Size, plan: Plan) {
    this.#size = size;
    this.#plan = plan;
    this.#testbed = new Testbed(size, plan);
  }

  play(): Promise<Point | Unsettled> {
    return this.#testbed.watched(() => this.#play());
  }

  /** Plays joins, quiet and loads, and says where the coordinator's time went. */
  profile(): Promise<Part[]> {
    return this.#testbed.watched(async () => {
      await this.#testbed.startCores(true);
      await this.#join();
      await this.#quiet();
      await this.#loads();
      const place = Math.max(0, this.#testbed.leading());
      await this.#testbed.cores[place]?.kill('SIGTERM');
      return partsOf(join(this.#plan.folder, `core-${place}.profile`));
    });
  }

  async #play(): Promise<Point | Unsettled> {
    const size = this.#size;
    await this.#testbed.startCores();
    const join = await this.#join();
    if (!join.settled) return { size, join, mostRssMb: this.#testbed.mostRssMb };
    const quiet = await this.#quiet();
    const chooseUs = await this.#firstHollow().ask<number>('choose');
    const loads = await this.#loads();
    const changes = await this.#changes();
    const restarts = await this.#restarts();
    const parted = await this.#parted();
    const killedEdge = await this.#killEdge();
    const zone = await this.#loseZone();
    const killedCoordinator = await this.#killCoordinator();
    const { listBytes } = await this.#testbed.standIn.ask<StandInCounts>('counts');
    const stateBytes = changes.stateTells === 0 ? 0 : Math.round(changes.stateBytes / changes.stateTells);
    return {
      size,
      stateBytes,
      listBytes,
      diskBytes: this.#testbed.diskBytes(),
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
      mostRssMb: this.#testbed.mostRssMb,
    };
  }

  async #phase<T>(name: string, during: () => Promise<T>): Promise<MeasuredPhase<T>> {
    const measured = await measurePhase(this.#testbed, during);
    this.#plan.note(`  ${phaseLine(name, measured)}`);
    return measured;
  }

  #firstHollow(): Child {
    return this.#testbed.hollow[0] as Child;
  }

  async #join(): Promise<Point['join']> {
    await this.#testbed.startHollow();
    const { phase, notes, value } = await this.#phase('join', async () => {
      await this.#testbed.growHollow();
      return this.#testbed.settled(60_000);
    });
    this.#testbed.startEdge();
    await pause(SURE_MS);
    await this.#testbed.settled(20_000);
    const joined = Math.max(1, notes.joinsMs.length);
    return {
      settled: value,
      times: timesOf(notes.joinsMs),
      tableBytes: notes.leader.wholes === 0 ? 0 : Math.round(notes.leader.wholeBytes / notes.leader.wholes),
      coordinatorCpuMs: (phase.coordinator.cpuMsPerS * phase.windowMs) / 1000 / joined,
      phase,
    };
  }

  async #quiet(): Promise<Point['quiet']> {
    const began = Date.now();
    const { phase } = await this.#phase('quiet', () => pause(this.#plan.seconds * QUIET_PHASES * 1000));
    const others = this.#testbed.cores.flatMap((_, place) =>
      place === this.#testbed.leading() ? [] : [this.#framesIn(`core-${place}`, began)],
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
    const [one, other] = this.#testbed
      .log(name)
      .filter((line) => line['msg'] === 'counters' && Number(line['time']) >= sinceMs)
      .slice(-2);
    if (one === undefined || other === undefined) return undefined;
    return ((framesOf(other) - framesOf(one)) / COUNTERS_MS) * 1000;
  }

  async #loads(): Promise<Point['loads']> {
    const askedPerS = LETTER.loadsPerH / 3600;
    const standIn = this.#testbed.standIn;
    const before = await standIn.ask<StandInCounts>('counts');
    const { phase, notes } = await this.#phase('loads', async () => {
      await Promise.all(
        this.#testbed.hollow.map((child) => child.ask('loads', askedPerS / this.#testbed.hollow.length)),
      );
      await pause(this.#plan.seconds * 1000);
      await Promise.all(this.#testbed.hollow.map((child) => child.ask('loads', 0)));
      await this.#testbed.until(5000, async () => (await this.#testbed.notes()).asking === 0);
    });
    const after = await standIn.ask<StandInCounts>('counts');
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
        made.push(this.#testbed.change());
        await pause(Math.max(0, beganMs + made.length * everyMs - sharedMs()));
      }
      const all = await Promise.all(made);
      await this.#testbed.settled(10_000);
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
      await this.#firstHollow().ask('restart', { count: made, everyMs });
      await this.#testbed.settled(10_000);
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
    await this.#testbed.mark();
    const cutMs = sharedMs();
    const counts = await Promise.all(
      this.#testbed.hollow.map((child) => child.ask<number>('cut', { share: PARTED_SHARE, cut: true })),
    );
    const followers = counts.reduce((sum, count) => sum + count, 0);
    await this.#testbed.until(10_000, async () => {
      const notes = await this.#testbed.notes();
      return notes.informed === notes.followers - followers;
    });
    const uninformedMs = sharedMs() - cutMs;
    await this.#testbed.change();
    await pause(1000);
    const healedMs = sharedMs();
    await Promise.all(
      this.#testbed.hollow.map((child) => child.ask('cut', { share: PARTED_SHARE, cut: false })),
    );
    const settled = await this.#testbed.settled(20_000);
    const { revisions } = await this.#testbed.notes();
    const last = revisions.find(({ key }) => key === this.#testbed.revision)?.lastMs ?? sharedMs();
    return { followers, uninformedMs, currentMs: last - healedMs, settled };
  }

  /** One edge ends without a word: until every other counts one less. */
  async #killEdge(): Promise<Point['killedEdge']> {
    await this.#testbed.mark();
    const killedMs = sharedMs();
    await this.#firstHollow().ask('kill', 1);
    let lastMs = killedMs;
    const settled = await this.#testbed.until(15_000, async () => {
      const notes = await this.#testbed.notes();
      const known = notes.edges.find(({ key }) => key === this.#size.nodes - 1);
      lastMs = known?.lastMs ?? killedMs;
      return (known?.count ?? 0) >= notes.followers;
    });
    return { settled, knownMs: lastMs - killedMs };
  }

  async #loseZone(): Promise<Point['zone']> {
    await this.#testbed.mark();
    const lostMs = sharedMs();
    const rows = await this.#testbed.standIn.ask<number>('lose', zoneOf(0));
    let lastMs = lostMs;
    const settled = await this.#testbed.until(30_000, async () => {
      const notes = await this.#testbed.notes();
      const known = notes.gone.find(({ key }) => key === rows);
      lastMs = known?.lastMs ?? lostMs;
      return (known?.count ?? 0) >= notes.followers;
    });
    const { leader } = await this.#testbed.notes();
    return { settled, rows, heldMs: lastMs - lostMs, bytes: leader.changeBytes };
  }

  async #killCoordinator(): Promise<Point['killedCoordinator']> {
    await this.#testbed.mark();
    const place = this.#testbed.leading();
    const before = (await this.#testbed.notes()).tablesHeld;
    const killedMs = sharedMs();
    const killedAt = Date.now();
    await this.#testbed.cores[place]?.kill();
    let lines: LogLine[] = [];
    await this.#testbed.until(30_000, () => {
      lines = this.#testbed.cores.flatMap((child, nth) =>
        child.alive
          ? this.#testbed
              .log(`core-${nth}`)
              .filter(
                (line) =>
                  line['msg'] === 'coordination' &&
                  line['leading'] === true &&
                  Number(line['time']) > killedAt,
              )
          : [],
      );
      return Promise.resolve(lines.length > 0);
    });
    const renewed = await this.#testbed.until(
      40_000,
      async () => !(await this.#testbed.notes()).tablesHeld.some((table) => before.includes(table)),
    );
    const settled = renewed && (await this.#testbed.settled(20_000));
    const notes = await this.#testbed.notes();
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
}

function framesOf(line: LogLine): number {
  return (line['counters'] as Record<string, number>)['framesIn'] ?? 0;
}
