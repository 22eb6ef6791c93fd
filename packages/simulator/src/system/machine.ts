/** Simulated machines and the processes that run on them. */
import type { CoreReplica, EdgeReplica, OperatorService } from '@rainrun/cluster-node';
import type { SimDisk } from '../world.js';

/** A running process. */
export interface Process {
  /** Offset of the process's clock from virtual time. */
  readonly skewMs: number;
  readonly startedMs: number;
  /** Present on a core. */
  readonly replica: CoreReplica | undefined;
  /** Serves operators; present on a core. */
  readonly operators: OperatorService | undefined;
  /** Present on an edge. */
  readonly follower: EdgeReplica | undefined;
  frozen: boolean;
  /** Calls that arrived while the process was frozen; they run when it thaws. */
  queuedCalls: (() => void)[];
  leading: boolean;
  listReadMs: number;
  /** Newest edition of the state that the process has held. */
  edition: number;
  /** Time since which it is undisturbed and connected both ways to every core that reaches a majority. */
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
  /** True once the machine is removed permanently. */
  removed = false;

  constructor(name: string, zone: string, address: string, disk: SimDisk | undefined) {
    this.name = name;
    this.zone = zone;
    this.address = address;
    this.disk = disk;
  }

  /** Runs a call in a process: now, after the process thaws, or never if it has ended. */
  runInProcess(process: Process, call: () => void): void {
    if (this.running !== process) return;
    if (process.frozen) process.queuedCalls.push(call);
    else call();
  }
}
