import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  FRAME_MAX_BYTES,
  OperationSchema,
  encodeFrame,
  PROTOCOL_LEVELS,
  type Answer,
  type Frame,
} from '@rainrun/messages';
import { SeededRandom, type Fault } from '@rainrun/common';
import type { RecordKind, RecordWriter } from '@rainrun/storage';
import { expect } from 'earl';
import { Result, type Unit } from 'true-myth';
import { Acceptor, readRecords } from './agreement/acceptor.js';
import { Group } from './group.js';
import type { StateMachine } from './agreement/state-machine.js';
import { GROUP_TIMES } from './times.js';

const NAMES = ['a', 'b', 'c'];
const TICK_MS = 20;

/** A disk that syncs every write at once. */
class ImmediateDisk implements RecordWriter {
  store(_kind: RecordKind, _bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    done(Result.ok());
  }
}

/** A state machine that counts the payload bytes of the operations applied. */
const BYTE_COUNTER: StateMachine<number> = {
  empty: () => 0,
  encode: (state) => ({
    application: new TextEncoder().encode(String(state)),
    applicationExtension: new Uint8Array(),
  }),
  decode: ({ application: bytes }) => Result.ok(Number(new TextDecoder().decode(bytes))),
  apply: (state, { payload }) => ({
    state: state + payload.length,
    outcome: { kind: 'agreed', detail: '' },
  }),
  withoutExtension: (state) => state,
};

/** Three cores on a network without delay, in virtual time. */
class Cluster {
  nowMs = 1000;
  maxFrameBytes = 0;
  readonly answers: Answer[] = [];
  readonly cutLinks = new Set<string>();
  readonly groups = new Map<string, Group<number>>();
  #frames: { to: string; frame: Frame }[] = [];

  constructor() {
    const random = new SeededRandom(3);
    for (const name of NAMES) {
      const opening = readRecords({}, `disk-${name}`);
      if (opening.isErr) continue;
      const group = new Group<number>({
        name,
        address: name,
        zone: 'z',
        deployment: 'd',
        seeds: NAMES,
        founders: NAMES,
        clock: { nowMs: () => this.nowMs },
        chance: random,
        times: GROUP_TIMES,
        stateMachine: BYTE_COUNTER,
        acceptor: new Acceptor(opening.value, new ImmediateDisk(), 'd', () => undefined),
        protocolLevels: PROTOCOL_LEVELS,
        listener: {
          onVersion: () => undefined,
          onCast: () => undefined,
          onAnswer: (answer) => this.answers.push(answer),
          onNewIncarnation: () => undefined,
          onFrame: () => undefined,
          onJoinRejected: () => undefined,
        },
        send: (to, frame) => this.#enqueue(name, to, frame),
      });
      this.groups.set(name, group);
    }
  }

  get coordinator(): string {
    return NAMES.find((name) => this.group(name).isCoordinator) ?? '';
  }

  group(name: string): Group<number> {
    return this.groups.get(name) as Group<number>;
  }

  run(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += TICK_MS) {
      for (const group of this.groups.values()) group.tick();
      this.#deliver();
    }
  }

  cutLink(one: string, other: string): void {
    this.cutLinks.add(`${one} ${other}`).add(`${other} ${one}`);
  }

  #enqueue(from: string, to: string, frame: Frame): void {
    this.maxFrameBytes = Math.max(this.maxFrameBytes, encodeFrame(frame).length);
    if (!this.cutLinks.has(`${from} ${to}`)) this.#frames.push({ to, frame });
  }

  #deliver(): void {
    for (let next = this.#frames.shift(); next !== undefined; next = this.#frames.shift())
      this.groups.get(next.to)?.receive(next.frame);
  }
}

describe('a member that has said goodbye', () => {
  it('renews neither its own lease nor that of a member that can reach only it', () => {
    const cluster = new Cluster();
    cluster.run(3000);
    const { coordinator } = cluster;
    const [leaving, cutOff] = NAMES.filter((name) => name !== coordinator) as [string, string];
    const before = NAMES.map((name) => cluster.group(name).holdsLease());
    cluster.cutLink(coordinator, cutOff);
    cluster.group(leaving).leave();
    const leftMs = cluster.nowMs;
    cluster.run(150);
    const isCurrent = [leaving, cutOff].map((name) => cluster.group(name).currentAsOfMs() > leftMs);
    expect([before, isCurrent]).toEqual([
      [true, true, true],
      [false, false],
    ]);
  });
});

describe('large operations submitted at once', () => {
  it('are agreed in versions that each fit into one frame', () => {
    const cluster = new Cluster();
    cluster.run(3000);
    const payloadBytes = 2 * 1024 * 1024;
    for (let index = 0; index < 8; index += 1) {
      const operation = create(OperationSchema, {
        id: `o${index}`,
        kind: 'k',
        payload: new Uint8Array(payloadBytes),
        transient: true,
      });
      expect(cluster.group('b').submit(operation)).toEqual(true);
    }
    cluster.run(3000);
    expect([cluster.answers.length, cluster.maxFrameBytes < FRAME_MAX_BYTES]).toEqual([8, true]);
    expect(NAMES.map((name) => cluster.group(name).state?.application)).toEqual(
      NAMES.map(() => 8 * payloadBytes),
    );
  });
});
