/** Simulated machines and the processes that run on them. */
import type { CoreReplica, EdgeReplica, OperatorService } from '@rainrun/cluster-node';
import type { SimDisk } from '../world.js';

/** A process between its start and its end. */
export interface Process {
  readonly skewMs: number;
  readonly startedMs: number;
  /** Present on a core. */
  readonly replica: CoreReplica | undefined;
  /** Answers operators; present on a core. */
  readonly operators: OperatorService | undefined;
  /** Present on an edge. */
  readonly follower: EdgeReplica | undefined;
  frozen: boolean;
  /** What arrived while the process was frozen. */
  queuedCalls: (() => void)[];
  leading: boolean;
  listReadMs: number;
  /** Newest edition that the process has held. */
  edition: number;
  /** Since when it runs undisturbed, connected both ways to every core that reaches most of them. */
  undisturbedSinceMs: number;
}

/** A machine of the simulated system, with or without a process on it. */
export class Machine {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  /** Present on cores. */
  readonly disk: SimDisk | undefined;
  running: Process | undefined;
  /** Taken out for good. */
  removed = false;

  constructor(name: string, zone: string, address: string, disk: SimDisk | undefined) {
    this.name = name;
    this.zone = zone;
    this.address = address;
    this.disk = disk;
  }

  /** Runs an act in a process: now, when it thaws, or never if it has ended. */
  runInProcess(process: Process, act: () => void): void {
    if (this.running !== process) return;
    if (process.frozen) process.queuedCalls.push(act);
    else act();
  }
}
