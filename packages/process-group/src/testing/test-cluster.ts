/** Test cluster of real groups over a network and disks in memory, in virtual time. */
import { create, fromBinary } from '@bufbuild/protobuf';
import {
  FRAME_MAX_BYTES,
  OperationSchema,
  encodeFrame,
  PROTOCOL_LEVELS,
  VersionSchema,
  type Frame,
  type Version,
} from '@rainrun/messages';
import { SeededRandom } from '@rainrun/common';
import type { RecordKind, Records, RecordWriter } from '@rainrun/storage';
import { Result } from 'true-myth';
import { Acceptor, readRecords } from '../agreement/acceptor.js';
import { Group } from '../group.js';
import type { StateMachine } from '../agreement/state-machine.js';
import { PLATFORM_TIMES } from '../times.js';

const TICK_MS = 25;
const LINK_MS = 1;

/** Interval between the operations that probe whether the group commits again. */
const RECOVERY_PROBE_MS = 100;

/** State machine whose state is the ids of the applied operations, in order. */
const STATE_MACHINE: StateMachine<readonly string[]> = {
  empty: () => [],
  encode: (state) => ({
    application: new TextEncoder().encode(JSON.stringify(state)),
    applicationExtension: new Uint8Array(),
  }),
  decode: ({ application: bytes }) => Result.ok(JSON.parse(new TextDecoder().decode(bytes)) as string[]),
  withoutExtension: (state) => state,
  apply: (state, { id }) => ({ state: [...state, id], outcome: { kind: 'agreed', detail: '' } }),
};

/** One process on a machine. */
export interface TestNode {
  readonly name: string;
  readonly records: Records;
  readonly group: Group<readonly string[]>;
  /** Writes that are not synced yet, and when each is due. */
  readonly writes: { readonly dueMs: number; readonly sync: () => void }[];
  /** How long this disk takes to sync a write. */
  syncMs: number;
  stalled: boolean;
  running: boolean;
}

/**
 * Real groups in virtual time. A restarted node keeps its records, or starts
 * without any and with a new disk id, as after the loss of its disk.
 * @example
 * const cluster = new TestCluster(['a', 'b', 'c'], 1);
 * cluster.found();
 */
export class TestCluster {
  nowMs = 0;
  readonly nodes = new Map<string, TestNode>();
  /** Ids of the operations that were acknowledged. */
  readonly acknowledged = new Set<string>();
  readonly severedLinks = new Set<string>();
  #seeds: readonly string[];
  #founders: readonly string[] = [];
  #desiredVoterCount: number;
  #random: SeededRandom;
  #disksCreated = 0;
  #operationsCreated = 0;
  #inFlight: { readonly dueMs: number; readonly from: string; readonly to: string; readonly frame: Frame }[] =
    [];

  constructor(seeds: readonly string[], faultTolerance: number, seed = 7) {
    this.#seeds = seeds;
    this.#desiredVoterCount = 2 * faultTolerance + 1;
    this.#random = new SeededRandom(seed);
  }

  /** Starts all machines for the first time. */
  startFirst(): void {
    this.#founders = this.#seeds.slice(0, 3);
    for (const name of this.#seeds) this.start(name);
    this.#founders = [];
  }

  /** Starts all machines for the first time and waits until the group has its voters. */
  found(): void {
    this.startFirst();
    this.runUntil(() => this.leader()?.group.state?.voters.length === this.#desiredVoterCount, 20_000);
    this.run(1000);
  }

  start(name: string, records?: Records): TestNode {
    this.#disksCreated += 1;
    const writes: TestNode['writes'] = [];
    const disk: Records = { ...records };
    const read = readRecords(disk, `${name}-${this.#disksCreated}`);
    const writer: RecordWriter = {
      store: (kind: RecordKind, bytes, done) => {
        writes.push({
          dueMs: this.nowMs + node.syncMs,
          sync: () => {
            disk[kind] = bytes;
            done(Result.ok());
          },
        });
      },
    };
    const emptyRecords = {
      disk: name,
      deployment: '',
      promisedEpoch: 0,
      promisedTo: '',
      accepted: undefined,
      founders: [],
    };
    const opened = read.unwrapOr(emptyRecords);
    const founders = records?.disk === undefined ? this.#founders : opened.founders;
    const acceptor = new Acceptor({ ...opened, founders }, writer, 'test', () => undefined);
    const group = this.#group(name, acceptor);
    const node: TestNode = { name, records: disk, group, writes, syncMs: 1, stalled: false, running: true };
    if (records?.disk === undefined) acceptor.writeDiskRecord();
    this.nodes.set(name, node);
    return node;
  }

  node(name: string): TestNode {
    return this.nodes.get(name) as TestNode;
  }

  /** Stops a process; the records that its disk had synced stay in the returned node. */
  stop(name: string): TestNode {
    const node = this.node(name);
    node.running = false;
    return node;
  }

  /** Kills a process and restarts it with the records that its disk had synced. */
  restart(name: string): TestNode {
    return this.start(name, this.stop(name).records);
  }

  /**
   * Submits operations at every running core repeatedly until one of them is
   * acknowledged; returns how long that took.
   */
  recover(timeoutMs: number): number {
    const earlier = this.#operationsCreated;
    let probedMs = -Infinity;
    return this.runUntil(() => {
      if (this.nowMs - probedMs >= RECOVERY_PROBE_MS) {
        probedMs = this.nowMs;
        for (const { name } of this.running) this.submit(name);
      }
      return [...this.acknowledged].some((id) => Number(id.slice(1)) > earlier);
    }, timeoutMs);
  }

  /** Submits an operation at a node; returns whether it was sent. */
  submit(name: string, payloadBytes = 0): boolean {
    this.#operationsCreated += 1;
    const id = `o${this.#operationsCreated}`;
    const payload = new Uint8Array(payloadBytes);
    return this.node(name).group.submit(
      create(OperationSchema, { id, kind: 'add', payload, transient: true }),
    );
  }

  /** Isolates a machine from all others, or reconnects it. */
  setIsolated(name: string, isIsolated: boolean): void {
    for (const other of this.nodes.keys())
      for (const link of [`${name} ${other}`, `${other} ${name}`]) {
        if (isIsolated) this.severedLinks.add(link);
        else this.severedLinks.delete(link);
      }
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += LINK_MS;
      this.#deliver();
      for (const node of this.nodes.values()) if (node.running) this.#runNode(node);
    }
  }

  /** Runs until the condition holds or the time is up; returns how long that took. */
  runUntil(condition: () => boolean, timeoutMs: number): number {
    const startMs = this.nowMs;
    while (!condition() && this.nowMs - startMs < timeoutMs) this.run(TICK_MS);
    return this.nowMs - startMs;
  }

  get running(): TestNode[] {
    return [...this.nodes.values()].filter((node) => node.running);
  }

  /** The accepted versions that the disks of running nodes have synced. */
  acceptedVersions(): Version[] {
    return this.running.flatMap(({ records }) =>
      records.version === undefined ? [] : [fromBinary(VersionSchema, records.version)],
    );
  }

  /** The node that holds the coordinator's lease. */
  leader(): TestNode | undefined {
    return this.running.find(({ group }) => group.isCoordinator && group.singletonEpoch() !== undefined);
  }

  /** Acknowledged operations that a node's state lacks. */
  missingOperations(name: string): string[] {
    const state = this.node(name).group.state?.application ?? [];
    return [...this.acknowledged].filter((id) => !state.includes(id));
  }

  #runNode(node: TestNode): void {
    while (!node.stalled && (node.writes[0]?.dueMs ?? Infinity) <= this.nowMs) node.writes.shift()?.sync();
    if (this.nowMs % TICK_MS === 0) node.group.tick();
  }

  /** Queues a frame for delivery; drops one that is so large that the receiver would reject it. */
  #send(from: string, to: string, frame: Frame): void {
    const mayBeLarge = frame.body.case === 'sequenced' || frame.body.case === 'propose';
    if (!mayBeLarge || encodeFrame(frame).length <= FRAME_MAX_BYTES)
      this.#inFlight.push({ dueMs: this.nowMs + LINK_MS, from, to, frame });
  }

  #deliver(): void {
    while ((this.#inFlight[0]?.dueMs ?? Infinity) <= this.nowMs) {
      const next = this.#inFlight.shift();
      if (next === undefined || this.severedLinks.has(`${next.from} ${next.to}`)) continue;
      const node = this.nodes.get(next.to);
      if (node?.running === true) node.group.receive(next.frame);
    }
  }

  #group(name: string, acceptor: Acceptor): Group<readonly string[]> {
    return new Group<readonly string[]>({
      name,
      address: name,
      zone: '',
      deployment: 'test',
      seeds: this.#seeds,
      founders: acceptor.founders,
      desiredVoterCount: this.#desiredVoterCount,
      clock: { nowMs: () => this.nowMs },
      chance: this.#random,
      times: PLATFORM_TIMES,
      stateMachine: STATE_MACHINE,
      acceptor,
      protocolLevels: PROTOCOL_LEVELS,
      listener: {
        onVersion: () => undefined,
        onCast: () => undefined,
        onAnswer: ({ id, kind }) => {
          if (kind === 'agreed') this.acknowledged.add(id);
        },
        onNewIncarnation: () => undefined,
        onFrame: () => undefined,
        onJoinRejected: () => undefined,
      },
      send: (to, frame) => this.#send(name, to, frame),
    });
  }
}
