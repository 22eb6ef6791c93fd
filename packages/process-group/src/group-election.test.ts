import { describe, it } from 'node:test';
import { create, toBinary } from '@bufbuild/protobuf';
import {
  DiskRecordSchema,
  EntrySchema,
  SPEAKS,
  StateSchema,
  VersionSchema,
  ViewSchema,
  VoterSchema,
  type Frame,
  type Version,
} from '@rainrun/messages';
import { Dice } from '@rainrun/common';
import type { RecordKind, Records, Vault } from '@rainrun/storage';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { Acceptor, readRecords } from './acceptor.js';
import { Group } from './group.js';
import { GROUP_TIMES } from './times.js';

const TICK_MS = 25;
const LINK_MS = 1;
const TIMES = {
  ...GROUP_TIMES,
  replaceMs: 1500,
  suspectMs: 900,
  grantMs: 600,
  helloMs: 100,
  graceMs: 100,
};

interface Node {
  readonly name: string;
  readonly records: Records;
  group: Group<number>;
  stalled: boolean;
  writes: (() => void)[];
  running: boolean;
}

/** Real groups over a network and disks in memory, in virtual time. */
class Cluster {
  nowMs = 0;
  readonly nodes = new Map<string, Node>();
  #names: readonly string[];
  #founders: readonly string[];
  #dice = new Dice(7);
  #inFlight: { dueMs: number; to: string; frame: Frame }[] = [];

  constructor(names: readonly string[], founders: readonly string[]) {
    this.#names = names;
    this.#founders = founders;
  }

  start(name: string, records: Records = {}): Node {
    const opening = readRecords(records, name);
    const node: Partial<Node> & { records: Records } = {
      name,
      records,
      stalled: false,
      writes: [],
      running: true,
    };
    const vault: Vault = {
      store: (kind: RecordKind, bytes, done) =>
        void node.writes?.push(() => {
          node.records[kind] = bytes;
          done(Result.ok());
        }),
    };
    const acceptor = new Acceptor(
      opening.unwrapOr({ disk: name, deployment: '', promisedEpoch: 0, promisedTo: '', accepted: undefined }),
      vault,
      'test',
      () => undefined,
    );
    node.group = this.#group(name, acceptor);
    this.nodes.set(name, node as Node);
    return node as Node;
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += LINK_MS;
      this.#deliver();
      for (const node of this.nodes.values()) {
        if (!node.running) continue;
        if (!node.stalled) for (const write of node.writes.splice(0)) write();
        if (this.nowMs % TICK_MS === 0) node.group.tick();
      }
    }
  }

  /** Runs until something holds, and says how long that took. */
  runUntil(holds: () => boolean, mostMs: number): number {
    const startMs = this.nowMs;
    while (!holds() && this.nowMs - startMs < mostMs) this.run(TICK_MS);
    return this.nowMs - startMs;
  }

  leader(): Node | undefined {
    return [...this.nodes.values()].find(
      ({ running, group }) => running && group.leading && group.dutyEpoch() !== undefined,
    );
  }

  #deliver(): void {
    const due = this.#inFlight.filter(({ dueMs }) => dueMs <= this.nowMs);
    this.#inFlight = this.#inFlight.filter(({ dueMs }) => dueMs > this.nowMs);
    for (const { to, frame } of due) {
      const node = this.nodes.get(to);
      if (node?.running === true) node.group.receive(frame);
    }
  }

  #group(name: string, acceptor: Acceptor): Group<number> {
    return new Group<number>({
      name,
      address: name,
      zone: '',
      deployment: 'test',
      seeds: this.#names,
      founders: this.#founders,
      clock: { nowMs: () => this.nowMs },
      chance: this.#dice,
      times: TIMES,
      play: {
        empty: () => 0,
        encode: (state) => ({ play: new Uint8Array([state]), extra: new Uint8Array() }),
        decode: ({ play }) => Result.ok(play[0] ?? 0),
        plain: (state) => state,
        apply: (state) => ({ state: state + 1, outcome: { kind: 'agreed', detail: '' } }),
      },
      acceptor,
      speaks: SPEAKS,
      audience: {
        onVersion: () => undefined,
        onCast: () => undefined,
        onAnswer: () => undefined,
        onReborn: () => undefined,
        onFrame: () => undefined,
        onRefused: () => undefined,
      },
      post: (to, frame) => void this.#inFlight.push({ dueMs: this.nowMs + LINK_MS, to, frame }),
    });
  }
}

function founded(names: readonly string[]): Cluster {
  const cluster = new Cluster(names, names);
  for (const name of names) cluster.start(name);
  cluster.runUntil(() => cluster.leader() !== undefined, 10_000);
  cluster.run(2000);
  return cluster;
}

function versionOf(number: number, voters: readonly string[]): Version {
  return create(VersionSchema, {
    epoch: 1,
    number,
    entry: create(EntrySchema),
    state: create(StateSchema, {
      deployment: 'test',
      view: create(ViewSchema, { epoch: 1, number: 1 }),
      voters: voters.map((disk) => create(VoterSchema, { disk, name: disk })),
      play: new Uint8Array([0]),
    }),
  });
}

function diskWith(disk: string, version: Version): Records {
  return {
    disk: toBinary(DiskRecordSchema, create(DiskRecordSchema, { disk, deployment: 'test' })),
    version: toBinary(VersionSchema, version),
  };
}

describe('control safety, point 3: an election after losses', () => {
  it('elects a coordinator though its first voter missed the last change of voters', () => {
    const before = versionOf(4, ['a', 'b', 'c', 'f', 'g']);
    const after = versionOf(5, ['a', 'b', 'd', 'f', 'g']);
    const cluster = new Cluster(['a', 'b', 'c', 'd', 'f', 'g'], []);
    cluster.start('b', diskWith('b', before));
    cluster.start('d', diskWith('d', after));
    cluster.start('g', diskWith('g', after));
    const tookMs = cluster.runUntil(() => cluster.leader() !== undefined, 20_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 5000);
  });

  it('elects the next voter where the disk of the first one stalls', () => {
    const cluster = founded(['a', 'b', 'c', 'd', 'e']);
    const leader = cluster.leader();
    const [next] = [...cluster.nodes.values()].filter((node) => node !== leader);
    if (leader !== undefined) leader.running = false;
    if (next !== undefined) next.stalled = true;
    const tookMs = cluster.runUntil(() => {
      const now = cluster.leader();
      return now !== undefined && now !== leader;
    }, 20_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 3500);
  });
});
