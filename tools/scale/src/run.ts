/** Measures one fleet size, phase by phase. */
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { sharedMs, type Child } from './ipc.js';
import { measurePhase, phaseLine, type MeasuredPhase } from './phase-meter.js';
import { REFERENCE, timesOf, type Point, type Unsettled } from './point.js';
import { functionSharesOf, type FunctionShare } from './profile.js';
import { zoneOf, type Size } from './site.js';
import { CORE_COUNT, Testbed, type LogLine, type ConfigurationChange, type Plan } from './testbed.js';

const S_PER_DAY = 86_400;
const COUNTERS_INTERVAL_MS = 10_000;
/** A new coordinator treats the worker list as reliable only after this time, then resends every row. */
const RESYNC_MS = 5000;
/** Length of the quiet phase in phases: long enough for the cores to log their counters twice. */
const QUIET_PHASES = 2.1;
/** Share of the edges that loses its connection to the cores. */
const PARTITIONED_SHARE = 1 / 6;

/** Counters of the stand-in for the workers. */
interface StandInCounts {
  readonly orders: number;
  readonly reports: number;
  readonly listBytes: number;
}

/**
 * Measures one fleet size: the cores and one edge run the real programs, the other
 * edges are simulated, and one stand-in answers for all workers.
 * @example
 * const point = await new Run(size, plan).measure();
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

  measure(): Promise<Point | Unsettled> {
    return this.#testbed.withMemoryLimit(() => this.#measure());
  }

  /** Runs the join, quiet and loads phases and returns the coordinator's processor profile. */
  profile(): Promise<FunctionShare[]> {
    return this.#testbed.withMemoryLimit(async () => {
      await this.#testbed.startCores(true);
      await this.#join();
      await this.#quiet();
      await this.#loads();
      const index = Math.max(0, this.#testbed.coordinatorIndex());
      await this.#testbed.cores[index]?.kill('SIGTERM');
      return functionSharesOf(join(this.#plan.folder, `core-${index}.profile`));
    });
  }

  async #measure(): Promise<Point | Unsettled> {
    const size = this.#size;
    await this.#testbed.startCores();
    const join = await this.#join();
    if (!join.settled) return { size, join, mostRssMb: this.#testbed.mostRssMb };
    const quiet = await this.#quiet();
    const chooseUs = await this.#firstSimulated().call<number>('measureChoiceUs');
    const loads = await this.#loads();
    const changes = await this.#changes();
    const restarts = await this.#restarts();
    const parted = await this.#partition();
    const killedEdge = await this.#killEdge();
    const zone = await this.#loseZone();
    const killedCoordinator = await this.#killCoordinator();
    const { listBytes } = await this.#testbed.standIn.call<StandInCounts>('counts');
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
    this.#plan.print(`  ${phaseLine(name, measured)}`);
    return measured;
  }

  #firstSimulated(): Child {
    return this.#testbed.simulated[0] as Child;
  }

  async #join(): Promise<Point['join']> {
    await this.#testbed.startSimulated();
    const { phase, stats, value } = await this.#phase('join', async () => {
      await this.#testbed.addSimulatedEdges();
      return this.#testbed.waitUntilSettled(60_000);
    });
    this.#testbed.startEdge();
    await pause(RESYNC_MS);
    await this.#testbed.waitUntilSettled(20_000);
    const joined = Math.max(1, stats.joinTimesMs.length);
    return {
      settled: value,
      times: timesOf(stats.joinTimesMs),
      tableBytes:
        stats.leader.snapshots === 0 ? 0 : Math.round(stats.leader.snapshotBytes / stats.leader.snapshots),
      coordinatorCpuMs: (phase.coordinator.cpuMsPerS * phase.windowMs) / 1000 / joined,
      phase,
    };
  }

  async #quiet(): Promise<Point['quiet']> {
    const began = Date.now();
    const { phase } = await this.#phase('quiet', () => pause(this.#plan.seconds * QUIET_PHASES * 1000));
    const others = this.#testbed.cores.flatMap((_, index) =>
      index === this.#testbed.coordinatorIndex() ? [] : [this.#framesIn(`core-${index}`, began)],
    );
    const rates = others.filter((rate) => rate !== undefined);
    const groupFrames =
      rates.length === 0
        ? undefined
        : rates.reduce((sum, rate) => sum + rate, 0) / rates.length -
          phase.withOthers.framesOut * (this.#size.nodes / (CORE_COUNT - 1));
    return { ...phase, groupFramesInPerS: groupFrames };
  }

  /** Frames per second between the last two counters that a core logged, if both lie within the phase. */
  #framesIn(name: string, sinceMs: number): number | undefined {
    const [one, other] = this.#testbed
      .log(name)
      .filter((line) => line['msg'] === 'counters' && Number(line['time']) >= sinceMs)
      .slice(-2);
    if (one === undefined || other === undefined) return undefined;
    return ((framesOf(other) - framesOf(one)) / COUNTERS_INTERVAL_MS) * 1000;
  }

  async #loads(): Promise<Point['loads']> {
    const askedPerS = REFERENCE.loadsPerH / 3600;
    const standIn = this.#testbed.standIn;
    const before = await standIn.call<StandInCounts>('counts');
    const { phase, stats } = await this.#phase('loads', async () => {
      await Promise.all(
        this.#testbed.simulated.map((child) =>
          child.call('setLoadRate', askedPerS / this.#testbed.simulated.length),
        ),
      );
      await pause(this.#plan.seconds * 1000);
      await Promise.all(this.#testbed.simulated.map((child) => child.call('setLoadRate', 0)));
      await this.#testbed.waitUntil(5000, async () => (await this.#testbed.stats()).pendingDemands === 0);
    });
    const after = await standIn.call<StandInCounts>('counts');
    const { deltas, deltaBytes, rows } = stats.leader;
    return {
      ...phase,
      askedPerS,
      orders: after.orders - before.orders,
      reports: after.reports - before.reports,
      placed: timesOf(stats.placementTimesMs),
      tellsWithRows: deltas,
      tellBytes: deltaBytes,
      rows,
    };
  }

  async #changes(): Promise<Point['changes']> {
    const { changesFactor: factor, seconds } = this.#plan;
    const everyMs = (S_PER_DAY / REFERENCE.changesPerDay / factor) * 1000;
    const { phase, stats, value } = await this.#phase('changes', async () => {
      const made: Promise<ConfigurationChange>[] = [];
      const beganMs = sharedMs();
      while (sharedMs() - beganMs < seconds * 1000) {
        made.push(this.#testbed.changeRoute());
        await pause(Math.max(0, beganMs + made.length * everyMs - sharedMs()));
      }
      const all = await Promise.all(made);
      await this.#testbed.waitUntilSettled(10_000);
      return all;
    });
    const agreed = value.filter(({ agreedMs }) => agreedMs !== undefined);
    const held = agreed.map(({ revision, sentMs }) => {
      const known = stats.revisions.find(({ key }) => key === revision);
      return known?.count === stats.followers ? known.lastMs - sentMs : Infinity;
    });
    const finite = held.filter((ms) => ms !== Infinity);
    return {
      ...phase,
      factor,
      made: value.length,
      agreed: timesOf(agreed.map(({ agreedMs = 0, sentMs }) => agreedMs - sentMs)),
      held: timesOf(finite),
      heldByAll: finite.length === value.length,
      stateTells: stats.leader.states + stats.other.states,
      stateBytes: stats.leader.stateBytes + stats.other.stateBytes,
    };
  }

  async #restarts(): Promise<Point['restarts']> {
    const { restartsFactor: factor, seconds } = this.#plan;
    const everyMs = (S_PER_DAY / REFERENCE.restartsPerDay / factor) * 1000;
    const made = Math.max(1, Math.round((seconds * 1000) / everyMs));
    const { phase, stats } = await this.#phase('restarts', async () => {
      await this.#firstSimulated().call('restartEdges', { count: made, everyMs });
      await this.#testbed.waitUntilSettled(10_000);
    });
    return {
      ...phase,
      factor,
      made,
      join: timesOf(stats.joinTimesMs),
      wholes: stats.leader.snapshots + stats.other.snapshots,
      taken: stats.tables.reduce((sum, { count }) => sum + count, 0),
    };
  }

  /** Partitions one region of six from the cores for a while and changes a route meanwhile. */
  async #partition(): Promise<Point['parted']> {
    await this.#testbed.resetStats();
    const cutMs = sharedMs();
    const counts = await Promise.all(
      this.#testbed.simulated.map((child) =>
        child.call<number>('partition', { share: PARTITIONED_SHARE, enabled: true }),
      ),
    );
    const followers = counts.reduce((sum, count) => sum + count, 0);
    await this.#testbed.waitUntil(10_000, async () => {
      const stats = await this.#testbed.stats();
      return stats.informed === stats.followers - followers;
    });
    const uninformedMs = sharedMs() - cutMs;
    await this.#testbed.changeRoute();
    await pause(1000);
    const healedMs = sharedMs();
    await Promise.all(
      this.#testbed.simulated.map((child) =>
        child.call('partition', { share: PARTITIONED_SHARE, enabled: false }),
      ),
    );
    const settled = await this.#testbed.waitUntilSettled(20_000);
    const { revisions } = await this.#testbed.stats();
    const last = revisions.find(({ key }) => key === this.#testbed.revision)?.lastMs ?? sharedMs();
    return { followers, uninformedMs, currentMs: last - healedMs, settled };
  }

  /** Kills one edge and waits until every other edge counts one edge less. */
  async #killEdge(): Promise<Point['killedEdge']> {
    await this.#testbed.resetStats();
    const killedMs = sharedMs();
    await this.#firstSimulated().call('killEdges', 1);
    let lastMs = killedMs;
    const settled = await this.#testbed.waitUntil(15_000, async () => {
      const stats = await this.#testbed.stats();
      const known = stats.edgeCounts.find(({ key }) => key === this.#size.nodes - 1);
      lastMs = known?.lastMs ?? killedMs;
      return (known?.count ?? 0) >= stats.followers;
    });
    return { settled, knownMs: lastMs - killedMs };
  }

  async #loseZone(): Promise<Point['zone']> {
    await this.#testbed.resetStats();
    const lostMs = sharedMs();
    const rows = await this.#testbed.standIn.call<number>('removeZone', zoneOf(0));
    let lastMs = lostMs;
    const settled = await this.#testbed.waitUntil(30_000, async () => {
      const stats = await this.#testbed.stats();
      const known = stats.removedRows.find(({ key }) => key === rows);
      lastMs = known?.lastMs ?? lostMs;
      return (known?.count ?? 0) >= stats.followers;
    });
    const { leader } = await this.#testbed.stats();
    return { settled, rows, heldMs: lastMs - lostMs, bytes: leader.deltaBytes };
  }

  async #killCoordinator(): Promise<Point['killedCoordinator']> {
    await this.#testbed.resetStats();
    const index = this.#testbed.coordinatorIndex();
    const oldTableIds = (await this.#testbed.stats()).tableIds;
    const killedMs = sharedMs();
    const killedAt = Date.now();
    await this.#testbed.cores[index]?.kill();
    let lines: LogLine[] = [];
    await this.#testbed.waitUntil(30_000, () => {
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
    const renewed = await this.#testbed.waitUntil(
      40_000,
      async () => !(await this.#testbed.stats()).tableIds.some((table) => oldTableIds.includes(table)),
    );
    const settled = renewed && (await this.#testbed.waitUntilSettled(20_000));
    const stats = await this.#testbed.stats();
    const known = stats.leaders.reduce((most, { lastMs }) => Math.max(most, lastMs), killedMs);
    const table = stats.tables.reduce((most, { lastMs }) => Math.max(most, lastMs), killedMs);
    this.#plan.print(
      `  coordinator killed: ${settled ? 'settled' : 'NOT settled'}, ${stats.tables.length} tables, ${stats.leader.snapshots} whole tables sent`,
    );
    return {
      settled,
      leadsMs: Number(lines[0]?.['time'] ?? killedAt) - killedAt,
      knownMs: known - killedMs,
      tableMs: table - killedMs,
      tables: stats.tables.length,
      wholes: stats.leader.snapshots + stats.other.snapshots,
      wholeBytes: stats.leader.snapshotBytes + stats.other.snapshotBytes,
    };
  }
}

function framesOf(line: LogLine): number {
  return (line['counters'] as Record<string, number>)['framesIn'] ?? 0;
}
