/**
 * A deterministic group of cores in one process, with simulated clock, random
 * source, network and disks. What the cores write is the same byte for byte in
 * every run, as long as neither the formats nor the behaviour change.
 */
import type { RandomSource, Clock, Fault } from '@rainrun/common';
import { encodeFrame, PROTOCOL_LEVELS, decodeFrame, type Frame } from '@rainrun/messages';
import { Acceptor, GROUP_TIMES, readRecords } from '@rainrun/process-group';
import type { RecordKind, Records, RecordWriter } from '@rainrun/storage';
import { Result, type Unit } from 'true-myth';

const TICK_MS = 20;
const VOTER_COUNT = 3;
const MODULUS = 2_147_483_647;
const MULTIPLIER = 16_807;

/** The names of the cores that found a group. */
export const FOUNDERS = ['core-1', 'core-2', 'core-3'] as const;

/** The zones of the cores; a core that is not listed is in `DEFAULT_ZONE`. */
const ZONE_BY_CORE: Readonly<Record<string, string>> = { 'core-1': 'coast', 'core-2': 'inland' };
const DEFAULT_ZONE = 'north';

/** The random seeds of the first run of a group, and of the run after a restart of all its cores. */
export const SEEDS = { first: 7, afterRestart: 8 } as const;

/** One record that a core wrote. */
export interface WrittenRecord {
  readonly kind: RecordKind;
  readonly bytes: Uint8Array;
}

/** A disk in memory that syncs at once and keeps every write in order. */
class MemoryRecordWriter implements RecordWriter {
  readonly written: WrittenRecord[] = [];

  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    this.written.push({ kind, bytes });
    done(Result.ok());
  }
}

/** The pseudorandom number generator of Park and Miller (a Lehmer generator). */
class SeededRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = seed;
  }

  next(): number {
    this.#state = (this.#state * MULTIPLIER) % MODULUS;
    return this.#state / MODULUS;
  }
}

/** The part of a node that the script uses. */
export interface ScriptedNode {
  readonly group: { readonly isCoordinator: boolean; holdsLease(): boolean };
  receive(frame: Frame): void;
  tick(): void;
}

/** Dependencies that every node of the group gets. */
export interface CommonDependencies {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly deployment: string;
  readonly seeds: readonly string[];
  readonly founders: readonly string[];
  readonly desiredVoterCount: number;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly times: typeof GROUP_TIMES;
  readonly acceptor: Acceptor;
  readonly protocolLevels: typeof PROTOCOL_LEVELS;
  send(address: string, frame: Frame): void;
}

/** One core of the group, with its disk. */
export interface ScriptedCore<N> {
  readonly name: string;
  readonly node: N;
  readonly acceptor: Acceptor;
  /** The records that the core wrote to its disk, in order. */
  readonly written: readonly WrittenRecord[];
}

/** Throws an error for a fault that must not occur in a run. */
export function fail(fault: Fault): never {
  throw new Error(`${fault.kind}: ${fault.detail}`);
}

/**
 * A group of scripted cores. Frames between them are encoded to and decoded from their binary form.
 * @example
 * const group = new ScriptedGroup('system', SEEDS.first, (common) => new CoreReplica({ ...common, ...rest }));
 * group.add('core-1', {});
 * group.run(5000);
 */
export class ScriptedGroup<N extends ScriptedNode> {
  #deployment: string;
  #makeNode: (common: CommonDependencies) => N;
  #nowMs = 0;
  #random: RandomSource;
  #cores = new Map<string, ScriptedCore<N>>();
  #inFlight: { readonly address: string; readonly bytes: Uint8Array }[] = [];

  constructor(deployment: string, seed: number, makeNode: (common: CommonDependencies) => N) {
    this.#random = new SeededRandom(seed);
    this.#deployment = deployment;
    this.#makeNode = makeNode;
  }

  /** The running cores, in the order in which they were added. */
  get cores(): ScriptedCore<N>[] {
    return [...this.#cores.values()];
  }

  /** The core that is coordinator and holds the lease, that is, reaches a majority. */
  get leader(): N {
    const leader = this.cores.find(({ node }) => node.group.isCoordinator && node.group.holdsLease());
    if (leader === undefined) throw new Error('no core is coordinator and holds the lease');
    return leader.node;
  }

  /** Starts a core whose disk holds these records. */
  add(name: string, records: Records): void {
    const recordWriter = new MemoryRecordWriter();
    const recovered = readRecords(records, `disk-of-${name}`).unwrapOrElse(fail);
    const acceptor = new Acceptor(recovered, recordWriter, this.#deployment, fail);
    if (records.disk === undefined) acceptor.writeDiskRecord();
    const node = this.#makeNode({
      name,
      address: addressOf(name),
      zone: ZONE_BY_CORE[name] ?? DEFAULT_ZONE,
      deployment: this.#deployment,
      seeds: FOUNDERS.map(addressOf),
      founders: FOUNDERS,
      desiredVoterCount: VOTER_COUNT,
      clock: { nowMs: () => this.#nowMs },
      chance: this.#random,
      times: GROUP_TIMES,
      acceptor,
      protocolLevels: PROTOCOL_LEVELS,
      send: (address, frame) => void this.#inFlight.push({ address, bytes: encodeFrame(frame) }),
    });
    this.#cores.set(addressOf(name), { name, node, acceptor, written: recordWriter.written });
  }

  /** Stops a core without notifying the others, like a crash. */
  kill(name: string): void {
    this.#cores.delete(addressOf(name));
  }

  /** Advances the simulated time by `durationMs`. */
  run(durationMs: number): void {
    for (const endMs = this.#nowMs + durationMs; this.#nowMs < endMs;) this.#step();
  }

  /** Advances the simulated time until the condition holds, and throws an error after `timeoutMs`. */
  runUntil(condition: () => boolean, timeoutMs: number): void {
    const endMs = this.#nowMs + timeoutMs;
    while (!condition()) {
      if (this.#nowMs >= endMs) throw new Error(`the condition does not hold after ${timeoutMs} ms`);
      this.#step();
    }
  }

  #step(): void {
    this.#nowMs += TICK_MS;
    const arrivingFrames = this.#inFlight;
    this.#inFlight = [];
    for (const { address, bytes } of arrivingFrames) {
      const decoded = decodeFrame(bytes, this.#deployment);
      if (decoded.isErr) fail(decoded.error);
      else this.#cores.get(address)?.node.receive(decoded.value);
    }
    for (const { node } of this.#cores.values()) node.tick();
  }
}

function addressOf(name: string): string {
  return `10.0.0.${name.slice(name.lastIndexOf('-') + 1)}:7600`;
}
