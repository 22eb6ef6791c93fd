import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  PrepareSchema,
  EntrySchema,
  ProposeSchema,
  VersionSchema,
  type Accepted,
  type Promise as Promised,
} from '@rainrun/messages';
import type { RecordKind, RecordWriter } from '@rainrun/storage';
import type { Fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result, type Unit } from 'true-myth';
import { Acceptor, readRecords } from './acceptor.js';

class SlowDisk implements RecordWriter {
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
      : { disk: '', deployment: '', promisedEpoch: 0, promisedTo: '', accepted: undefined, founders: [] },
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
    const disk = new SlowDisk();
    const answers: (Promised | Accepted)[] = [];
    const acceptor = acceptorOn(disk);
    acceptor.prepare(create(PrepareSchema, { epoch: 3, disk: 'leader' }), (promise) => answers.push(promise));
    acceptor.accept(version(3, 1), (accepted) => answers.push(accepted));
    expect(answers.length).toEqual(0);
    disk.sync();
    expect(answers.length).toEqual(2);
  });

  it('promises an epoch to one candidate and rejects what is older', () => {
    const disk = new SlowDisk();
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
    const disk = new SlowDisk();
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
    const opening = readRecords({ disk: records[0] ?? new Uint8Array() }, 'fresh');
    expect(acceptor.disk).toEqual('disk-1');
    expect(opening.isErr && opening.error.kind).toEqual('damaged');
  });
});
