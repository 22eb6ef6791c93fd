/** Starts, drives and ends the processes of a simulated system, which run the production code. */
import { CoreReplica, EdgeReplica } from '@rainrun/cluster-node';
import { randomId, type SeededRandom } from '@rainrun/common';
import { PROTOCOL_LEVELS } from '@rainrun/messages';
import { Acceptor, PLATFORM_TIMES, readRecords } from '@rainrun/process-group';
import type { VirtualTime } from '../world.js';
import type { Demand } from './demand.js';
import type { Machine, Process } from './machine.js';
import type { Network } from './network.js';
import { newOperatorService } from './operator-desk.js';
import { QUOTA_BOUNDS } from './quota-load.js';
import type { SystemSize } from './size.js';
import type { WorkerCalls } from './worker-calls.js';
import { type WorkerPool } from './workers.js';

/** Maximum time for which a replaced coordinator still believes to be the coordinator. */
export const LEASE_MS = PLATFORM_TIMES.leaseMs;
const CORE_TICK_MS = 20;
const EDGE_TICK_MS = 25;
const LIST_POLL_MS = 500;
const SHUTDOWN_MS = 150;
const SEED_COUNT = 3;

/** The parts of the system that processes use. */
export interface ProcessContext {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly size: SystemSize;
  readonly network: Network;
  readonly workers: WorkerPool;
  readonly calls: WorkerCalls;
  readonly demand: Demand;
  /** Cores that a settings file written now would name. */
  listedCores(): readonly Machine[];
  /** Restarts the time bounds for a machine, and for all machines if it is a core. */
  recordDisturbance(machine: Machine): void;
  note(node: string, text: string): void;
  breach(rule: string, detail: string): void;
}

/**
 * The processes of all machines.
 * @example
 * processes.boot(machine);
 */
export class Processes {
  #context: ProcessContext;
  #founders: readonly string[] = [];

  constructor(context: ProcessContext) {
    this.#context = context;
  }

  /** Sets the cores that are the founders of the group at its first start. */
  setFounders(cores: readonly Machine[]): void {
    this.#founders = cores.slice(0, SEED_COUNT).map((core) => core.address);
  }

  boot(machine: Machine, founding = false): void {
    if (machine.running !== undefined || machine.removed) return;
    const { random } = this.#context;
    const skewMs = random.next() * 1e6;
    if (machine.disk === undefined) this.#run(machine, skewMs, undefined, this.#follower(machine, skewMs));
    else {
      const acceptor = this.#openDisk(machine);
      if (acceptor === undefined) return;
      this.#run(machine, skewMs, this.#replica(machine, skewMs, acceptor, founding), undefined);
    }
    this.#context.recordDisturbance(machine);
    this.#context.note(machine.name, 'boots');
  }

  #openDisk(machine: Machine): Acceptor | undefined {
    const { disk } = machine;
    if (disk === undefined) return undefined;
    const records = disk.open();
    const opening = readRecords(records, randomId(this.#context.random));
    if (opening.isErr) {
      this.#context.breach('disk reads back', `${machine.name}: ${opening.error.detail}`);
      return undefined;
    }
    const acceptor = new Acceptor(opening.value, disk, 'system', (failed) => {
      this.#context.note(machine.name, `disk: ${failed.detail}`);
      this.kill(machine);
    });
    if (records.disk === undefined) acceptor.writeDiskRecord();
    return acceptor;
  }

  /** Ends the process at once; the machine keeps what the process has written. */
  kill(machine: Machine): void {
    if (machine.running === undefined) return;
    machine.disk?.endProcess();
    this.#end(machine, 'killed');
  }

  /** Cuts the machine's power: what its disk has not synced may be lost. */
  losePower(machine: Machine): void {
    machine.disk?.losePower();
    if (machine.running !== undefined) this.#end(machine, 'loses power');
  }

  #end(machine: Machine, why: string): void {
    machine.running = undefined;
    this.#context.recordDisturbance(machine);
    this.#context.note(machine.name, why);
  }

  /** Shuts the process down gracefully: it drains, leaves the group, and ends. */
  stop(machine: Machine): void {
    const running = machine.running;
    if (running === undefined) return;
    this.#context.recordDisturbance(machine);
    this.#context.note(machine.name, 'stops');
    machine.runInProcess(running, () => {
      running.operators?.drain();
      running.replica?.group.leave();
      running.follower?.leave();
    });
    this.#context.time.after(SHUTDOWN_MS, () => {
      if (machine.running === running) this.kill(machine);
    });
  }

  freeze(machine: Machine, waitMs: number): void {
    const running = machine.running;
    if (running === undefined || running.frozen) return;
    running.frozen = true;
    this.#context.recordDisturbance(machine);
    this.#context.note(machine.name, `frozen ${waitMs.toFixed(0)}`);
    this.#context.time.after(waitMs, () => {
      if (machine.running !== running) return;
      running.frozen = false;
      this.#context.recordDisturbance(machine);
      this.#context.note(machine.name, 'thaws');
      const { queuedCalls } = running;
      running.queuedCalls = [];
      for (const call of queuedCalls) machine.runInProcess(running, call);
    });
  }

  #run(
    machine: Machine,
    skewMs: number,
    replica: CoreReplica | undefined,
    follower: EdgeReplica | undefined,
  ): void {
    const { time, random } = this.#context;
    const running: Process = {
      skewMs,
      startedMs: time.nowMs(),
      replica,
      operators: replica && newOperatorService(replica, { nowMs: () => time.nowMs() + skewMs }),
      follower,
      frozen: false,
      queuedCalls: [],
      leading: false,
      listReadMs: -Infinity,
      edition: 0,
      undisturbedSinceMs: time.nowMs(),
    };
    machine.running = running;
    time.after(random.next() * CORE_TICK_MS, () => this.#tick(machine, running));
  }

  /** Picks addresses of random cores from the operators' list; some of these cores may be gone. */
  #seeds(): string[] {
    const { random } = this.#context;
    const listed = [...this.#context.listedCores()];
    const seeds: string[] = [];
    while (seeds.length < SEED_COUNT && listed.length > 0) {
      const [chosen] = listed.splice(Math.floor(random.next() * listed.length), 1);
      if (chosen !== undefined) seeds.push(chosen.address);
    }
    return seeds;
  }

  #replica(machine: Machine, skewMs: number, acceptor: Acceptor, founding: boolean): CoreReplica {
    const { time, random, size, network, calls } = this.#context;
    const { name, zone, address } = machine;
    const replica: CoreReplica = new CoreReplica({
      name,
      address,
      zone,
      deployment: 'system',
      seeds: founding ? this.#founders : this.#seeds(),
      founders: founding ? this.#founders : [],
      desiredVoterCount: 2 * size.lossesBorne + 1,
      clock: { nowMs: () => time.nowMs() + skewMs },
      chance: random,
      quota: QUOTA_BOUNDS,
      times: PLATFORM_TIMES,
      acceptor,
      protocolLevels: PROTOCOL_LEVELS,
      send: (to, frame) => network.send(machine, to, frame),
      order: (row, order, done) => calls.order(machine, replica, row, order, done),
      report: (row, done) => calls.report(machine, row, done),
      onStateChange: () => undefined,
      onNewIncarnation: () => this.#context.note(name, 'dropped, rejoins'),
      onJoinRejected: (why) => this.#context.note(name, `refused: ${why}`),
      onPlacementDecision: (text) => this.#context.note(name, text),
    });
    return replica;
  }

  #follower(machine: Machine, skewMs: number): EdgeReplica {
    const { time, random, network, demand } = this.#context;
    const { name, zone, address } = machine;
    const follower: EdgeReplica = new EdgeReplica({
      name,
      zone,
      address,
      deployment: 'system',
      seeds: this.#seeds(),
      clock: { nowMs: () => time.nowMs() + skewMs },
      chance: random,
      quota: QUOTA_BOUNDS,
      send: (to, frame) => network.send(machine, to, frame),
      outcomes: () => [],
      demands: () => demand.demandsOf(follower),
      onChange: (what) => {
        if (what === 'state')
          this.#context.note(name, `edition ${follower.state.edition}, revision ${follower.state.revision}`);
      },
    });
    return follower;
  }

  #tick(machine: Machine, running: Process): void {
    if (machine.running !== running) return;
    const { time, random, size, demand } = this.#context;
    const { replica, follower } = running;
    const everyMs = size.heartbeatMs ?? (replica === undefined ? EDGE_TICK_MS : CORE_TICK_MS);
    time.after(everyMs * (0.9 + random.next() * 0.2), () => this.#tick(machine, running));
    if (running.frozen) return;
    if (follower !== undefined) {
      if (demand.isUnserved(follower)) follower.reportDemandSoon();
      follower.tick();
    }
    if (replica === undefined) return;
    running.operators?.tick();
    replica.tick();
    this.#noteCoordination(machine, running, replica);
    if (running.leading) this.#readList(machine, running, replica);
  }

  #noteCoordination(machine: Machine, running: Process, replica: CoreReplica): void {
    const { isCoordinator: leading, epoch } = replica.group;
    if (leading === running.leading) return;
    this.#context.note(machine.name, leading ? `leads epoch ${epoch}` : 'resigns');
    running.leading = leading;
    running.listReadMs = -Infinity;
  }

  /** Reads the platform's list of workers every `LIST_POLL_MS`. */
  #readList(machine: Machine, running: Process, replica: CoreReplica): void {
    const { time, random, workers, calls } = this.#context;
    if (time.nowMs() - running.listReadMs < LIST_POLL_MS) return;
    running.listReadMs = time.nowMs();
    time.after(2 + random.next() * 8, () => {
      if (!calls.canReadList()) return;
      const list = workers.list();
      time.after(2 + random.next() * 8, () =>
        machine.runInProcess(running, () => replica.updateWorkerList(list)),
      );
    });
  }
}
