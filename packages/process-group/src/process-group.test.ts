import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  PrepareSchema,
  EntrySchema,
  OperationSchema,
  ProposeSchema,
  MemberSchema,
  VersionSchema,
  ViewSchema,
  type Accepted,
  type Cast,
  type Promise as Promised,
} from '@rainrun/messages';
import type { RecordKind, RecordWriter } from '@rainrun/storage';
import { fault, type Fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result, type Unit } from 'true-myth';
import { Acceptor, readRecords } from './agreement/acceptor.js';
import { CausalOrder, flushedCastsOf } from './multicast/causal-order.js';
import { LeaseAcknowledgements } from './leases/lease-acknowledgements.js';
import { advance, ANSWER_RETENTION_MS, type GroupState } from './agreement/group-state.js';
import type { StateMachine } from './agreement/state-machine.js';
import { levelOf, levelMismatch } from './membership/protocol-levels.js';

const VIEW = create(ViewSchema, {
  epoch: 1,
  number: 1,
  members: ['a', 'b', 'c'].map((incarnation) => create(MemberSchema, { incarnation, name: incarnation })),
});

function member(incarnation: string): { causal: CausalOrder; heard: string[] } {
  const heard: string[] = [];
  const causal = new CausalOrder(VIEW, incarnation, (cast) => heard.push(`${cast.sender}${cast.sequence}`));
  return { causal, heard };
}

const EMPTY = new Uint8Array();

describe('causal order', () => {
  it('buffers a cast until what its sender had delivered has arrived', () => {
    const [a, b, c] = [member('a'), member('b'), member('c')];
    const first = a.causal.send(EMPTY);
    b.causal.receive(first);
    const answer = b.causal.send(EMPTY);
    c.causal.receive(answer);
    expect(c.heard).toEqual([]);
    c.causal.receive(first);
    expect(c.heard).toEqual(['a1', 'b1']);
  });

  it('carries only what changed in the context record', () => {
    const [a, b] = [member('a'), member('b')];
    b.causal.receive(a.causal.send(EMPTY));
    const first = b.causal.send(EMPTY);
    const second = b.causal.send(EMPTY);
    expect([first.contextRank, second.contextRank]).toEqual([[0], []]);
  });

  it('retains a cast until all have it, and hands it on in a flush', () => {
    const [a, b] = [member('a'), member('b')];
    const cast = a.causal.send(EMPTY);
    b.causal.receive(cast);
    expect(b.causal.unstableCount).toEqual(1);
    b.causal.learnDelivered('a', [1, 0, 0]);
    expect(b.causal.unstableCount).toEqual(1);
    b.causal.learnDelivered('c', [1, 0, 0]);
    expect(b.causal.unstableCount).toEqual(0);
  });

  it('drops what the collector reports as delivered everywhere', () => {
    const [a, b] = [member('a'), member('b')];
    b.causal.receive(a.causal.send(EMPTY));
    a.causal.learnDelivered('b', [1, 0, 0]);
    const early = a.causal.stable;
    a.causal.learnDelivered('c', [1, 0, 0]);
    b.causal.learnStable(early);
    const kept = b.causal.unstableCount;
    b.causal.learnStable(a.causal.stable);
    expect([early, kept, b.causal.unstableCount]).toEqual([[0, 0, 0], 1, 0]);
  });

  it('ends a view with the same casts everywhere, though their sender is gone', () => {
    const [a, b, c] = [member('a'), member('b'), member('c')];
    const one = a.causal.send(EMPTY);
    const two = a.causal.send(EMPTY);
    b.causal.receive(one);
    b.causal.receive(two);
    c.causal.receive(one);
    const flushedCasts = flushedCastsOf(VIEW, [b.causal.stop(), c.causal.stop()]);
    const late = b.causal.stop();
    for (const { causal } of [b, c]) causal.finish(flushedCasts);
    expect(late.length).toEqual(2);
    expect([b.heard, c.heard]).toEqual([
      ['a1', 'a2'],
      ['a1', 'a2'],
    ]);
  });

  it('delivers nothing after it stopped but what was agreed', () => {
    const [a, b] = [member('a'), member('b')];
    b.causal.stop();
    b.causal.receive(a.causal.send(EMPTY));
    b.causal.finish([]);
    expect(b.heard).toEqual([]);
  });

  it('orders flushed casts causally, with those whose predecessors are lost at the end', () => {
    function full(sender: string, sequence: number, context: number[]): Cast {
      const cast = member(sender).causal.send(EMPTY);
      return { ...cast, sequence, contextRank: [0, 1, 2], contextCount: context };
    }
    const cut = flushedCastsOf(VIEW, [
      [full('b', 1, [1, 1, 0]), full('c', 1, [0, 5, 1])],
      [full('a', 1, [1, 0, 0])],
    ]);
    expect(cut.map((cast) => cast.sender)).toEqual(['a', 'b', 'c']);
  });
});

describe('lease acknowledgements', () => {
  it('last a second from the moment the heartbeats to the majority were sent', () => {
    const acknowledgements = new LeaseAcknowledgements(1000);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 1, 500)).toEqual(-Infinity);
    acknowledgements.acknowledge('b', 400, 1);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 1, 500)).toEqual(1400);
  });

  it('do not count while the acknowledging member has applied more than this node', () => {
    const acknowledgements = new LeaseAcknowledgements(1000);
    acknowledgements.acknowledge('b', 400, 2);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 1, 500)).toEqual(-Infinity);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 2, 500)).toEqual(1400);
  });
});

class SlowVault implements RecordWriter {
  readonly waiting: (() => void)[] = [];
  store(_kind: RecordKind, _bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    this.waiting.push(() => done(Result.ok()));
  }
  sync(): void {
    for (const done of this.waiting.splice(0)) done();
  }
}

function acceptorOn(records: RecordWriter): Acceptor {
  const opening = readRecords({}, 'disk-1');
  return new Acceptor(
    opening.isOk
      ? opening.value
      : { disk: '', deployment: '', promisedEpoch: 0, promisedTo: '', accepted: undefined },
    records,
    'test',
    () => undefined,
  );
}

function version(epoch: number, number: number) {
  return create(ProposeSchema, {
    disk: 'leader',
    version: create(VersionSchema, { epoch, number, entry: create(EntrySchema) }),
  });
}

describe('voter', () => {
  it('answers only after the sync', () => {
    const disk = new SlowVault();
    const answers: (Promised | Accepted)[] = [];
    const acceptor = acceptorOn(disk);
    acceptor.prepare(create(PrepareSchema, { epoch: 3, disk: 'leader' }), (promise) => answers.push(promise));
    acceptor.accept(version(3, 1), (accepted) => answers.push(accepted));
    expect(answers.length).toEqual(0);
    disk.sync();
    expect(answers.length).toEqual(2);
  });

  it('promises an epoch to one candidate and rejects what is older', () => {
    const disk = new SlowVault();
    const acceptor = acceptorOn(disk);
    const granted: boolean[] = [];
    const rejected: boolean[] = [];
    acceptor.prepare(create(PrepareSchema, { epoch: 3, disk: 'leader' }), (promise) =>
      granted.push(promise.granted),
    );
    acceptor.prepare(create(PrepareSchema, { epoch: 3, disk: 'other' }), (promise) =>
      granted.push(promise.granted),
    );
    acceptor.prepare(create(PrepareSchema, { epoch: 2, disk: 'leader' }), (promise) =>
      granted.push(promise.granted),
    );
    acceptor.accept(version(2, 9), (accepted) => rejected.push(accepted.rejected));
    disk.sync();
    expect(granted).toEqual([false, false, true]);
    expect(rejected).toEqual([true]);
  });

  it('is rejected when its disk has lost the state it once held', () => {
    const disk = new SlowVault();
    const acceptor = acceptorOn(disk);
    const records: Uint8Array[] = [];
    const replica: RecordWriter = {
      store: (kind, bytes, done) => {
        if (kind === 'disk') records.push(bytes);
        done(Result.ok());
      },
    };
    const kept = acceptorOn(replica);
    kept.accept(version(1, 1), () => undefined);
    const opening = readRecords({ disk: records[0] ?? EMPTY }, 'fresh');
    expect(acceptor.disk).toEqual('disk-1');
    expect(opening.isErr && opening.error.kind).toEqual('damaged');
  });
});

describe('agreed operations', () => {
  const counter: StateMachine<number> = {
    empty: () => 0,
    encode: (state) => ({ application: new Uint8Array([state]), applicationExtension: new Uint8Array() }),
    decode: ({ application: bytes }) => Result.ok(bytes[0] ?? 0),
    withoutExtension: (state) => state,
    apply: (state, operation) =>
      operation.kind === 'add'
        ? { state: state + 1, outcome: { kind: 'agreed', detail: '' } }
        : { state, outcome: fault('bad-request', 'no such kind') },
  };
  const start: GroupState<number> = {
    epoch: 1,
    number: 1,
    deployment: 'd',
    view: VIEW,
    previousView: undefined,
    voters: [],
    previousVoters: [],
    application: 0,
    answers: [],
    level: 1,
    clockMs: 0,
  };

  it('take effect once for each id, and a rejected one never', () => {
    const operations = ['x', 'x', 'y'].map((id) =>
      create(OperationSchema, { id, kind: id === 'y' ? 'no' : 'add' }),
    );
    const once = advance(counter, start, 1, create(EntrySchema, { operations }));
    const again = advance(counter, once, 1, create(EntrySchema, { operations }));
    expect([once.application, again.application, again.number]).toEqual([1, 1, 3]);
    expect(again.answers.map((answer) => `${answer.id} ${answer.kind}@${answer.number}`)).toEqual([
      'x agreed@2',
      'y bad-request@2',
    ]);
  });

  it("are retained by their ids for ten minutes of the group's clock, placements for less", () => {
    function add(
      state: GroupState<number>,
      id: string,
      elapsedMs: number,
      transient = false,
    ): GroupState<number> {
      return advance(
        counter,
        state,
        1,
        create(EntrySchema, {
          level: 2,
          elapsedMs,
          operations: [create(OperationSchema, { id, kind: 'add', transient })],
        }),
      );
    }
    let state = add(start, 'first', 5);
    for (let place = 0; place < 600; place += 1) state = add(state, `place-${place}`, 900, true);
    const soon = add(state, 'first', ANSWER_RETENTION_MS - 600 * 900);
    const late = add(state, 'first', ANSWER_RETENTION_MS - 600 * 900 + 1);
    expect([state.application, soon.application, late.application, state.answers.length]).toEqual([
      601, 601, 602, 65,
    ]);
  });

  it('follow the rules that all members speak, and no joiner comes in whom they cannot reach', () => {
    expect([
      levelOf([{ maxLevel: 2 }, { maxLevel: 0 }]),
      levelOf([{ maxLevel: 3 }, { maxLevel: 2 }]),
    ]).toEqual([1, 2]);
    const group = [
      { maxLevel: 2, minLevel: 1 },
      { maxLevel: 3, minLevel: 2 },
    ];
    expect(levelMismatch({ maxLevel: 2, minLevel: 1 }, group)).toEqual(undefined);
    expect(levelMismatch({ maxLevel: 0, minLevel: 0 }, group)).toEqual(
      'it speaks levels 1 to 1 of the protocol, the group 2 to 2',
    );
    expect(levelMismatch({ maxLevel: 4, minLevel: 3 }, group)).toEqual(
      'it speaks levels 3 to 4 of the protocol, the group 2 to 2',
    );
  });
});
