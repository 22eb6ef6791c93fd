/** A group of one voter, as in a deployment that need not tolerate the loss of a node. */
import { describe, it } from 'node:test';
import type { Fault } from '@rainrun/common';
import { PROTOCOL_LEVELS } from '@rainrun/messages';
import type { RecordKind, Records, RecordWriter } from '@rainrun/storage';
import { expect } from 'earl';
import { Result, type Unit } from 'true-myth';
import { Acceptor, readRecords } from './acceptor.js';
import { Group } from '../group.js';
import type { StateMachine } from './state-machine.js';
import { GROUP_TIMES } from '../times.js';

const TICK_MS = 20;
const STABLE_AFTER_MS = 6000;
const ADDRESS = '127.0.0.1:1';

const NO_STATE: StateMachine<undefined> = {
  empty: () => undefined,
  encode: () => ({ application: new Uint8Array(), applicationExtension: new Uint8Array() }),
  decode: () => Result.ok(undefined),
  apply: () => ({ state: undefined, outcome: { kind: 'agreed', detail: '' } }),
  withoutExtension: () => undefined,
};

/** A disk that syncs at once and keeps its records when its node stops. */
class ImmediateDisk implements RecordWriter {
  records: Records = {};

  store(kind: RecordKind, bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    this.records[kind] = bytes;
    done(Result.ok());
  }
}

function throwFault(reason: Fault): never {
  throw new Error(`${reason.kind}: ${reason.detail}`);
}

/** Starts the only core on a disk, and runs it long enough for it to become coordinator. */
function startCore(records: ImmediateDisk): Group<undefined> {
  let nowMs = 0;
  let seed = 7;
  const opening = readRecords(records.records, 'disk-a').unwrapOrElse(throwFault);
  const group = new Group<undefined>({
    name: 'core-1',
    address: ADDRESS,
    zone: 'coast',
    deployment: 'site',
    seeds: [ADDRESS],
    founders: [ADDRESS],
    desiredVoterCount: 1,
    clock: { nowMs: () => nowMs },
    chance: { next: () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647 },
    times: GROUP_TIMES,
    stateMachine: NO_STATE,
    acceptor: new Acceptor(opening, records, 'site', throwFault),
    protocolLevels: PROTOCOL_LEVELS,
    listener: {
      onVersion: () => undefined,
      onCast: () => undefined,
      onAnswer: () => undefined,
      onNewIncarnation: () => undefined,
      onFrame: () => undefined,
      onJoinRejected: () => undefined,
    },
    send: () => undefined,
  });
  for (; nowMs < STABLE_AFTER_MS; nowMs += TICK_MS) group.tick();
  return group;
}

describe('a group of one voter', () => {
  it('has its core as coordinator again, in a newer epoch, after a restart', () => {
    const records = new ImmediateDisk();
    const founded = startCore(records);
    expect([founded.isCoordinator, founded.epoch]).toEqual([true, 1]);
    const restarted = startCore(records);
    expect([restarted.isCoordinator, restarted.epoch]).toEqual([true, 2]);
    expect(restarted.holdsLease()).toEqual(true);
  });
});
