import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  PrepareSchema,
  EntrySchema,
  ProposeSchema,
  VersionSchema,
  type Accepted,
  type Promise as PromiseMessage,
} from '@rainrun/messages';
import type { RecordKind, RecordWriter } from '@rainrun/storage';
import type { Fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result, type Unit } from 'true-myth';
import { Acceptor, readRecords } from './acceptor.js';

/** A disk that completes its writes only when `sync` is called. */
class ManualSyncDisk implements RecordWriter {
  readonly unsynced: (() => void)[] = [];
  store(_kind: RecordKind, _bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    this.unsynced.push(() => done(Result.ok()));
  }
  sync(): void {
    for (const done of this.unsynced.splice(0)) done();
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

function proposal(epoch: number, number: number) {
  return create(ProposeSchema, {
    disk: 'leader',
    version: create(VersionSchema, { epoch, number, entry: create(EntrySchema) }),
  });
}

describe('the acceptor of a voter', () => {
  it('answers a prepare and a proposal only after their sync', () => {
    const disk = new ManualSyncDisk();
    const answers: (PromiseMessage | Accepted)[] = [];
    const acceptor = acceptorOn(disk);
    acceptor.prepare(create(PrepareSchema, { epoch: 3, disk: 'leader' }), (promise) => answers.push(promise));
    acceptor.accept(proposal(3, 1), (accepted) => answers.push(accepted));
    expect(answers.length).toEqual(0);
    disk.sync();
    expect(answers.length).toEqual(2);
  });

  it('promises an epoch to only one candidate, and rejects prepares and proposals of older epochs', () => {
    const disk = new ManualSyncDisk();
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
    acceptor.accept(proposal(2, 9), (accepted) => rejected.push(accepted.rejected));
    disk.sync();
    expect(granted).toEqual([false, false, true]);
    expect(rejected).toEqual([true]);
  });

  it('is not opened from a disk that has lost the state it once held', () => {
    const disk = new ManualSyncDisk();
    const acceptor = acceptorOn(disk);
    const records: Uint8Array[] = [];
    const recorder: RecordWriter = {
      store: (kind, bytes, done) => {
        if (kind === 'disk') records.push(bytes);
        done(Result.ok());
      },
    };
    const recording = acceptorOn(recorder);
    recording.accept(proposal(1, 1), () => undefined);
    const opening = readRecords({ disk: records[0] ?? new Uint8Array() }, 'fresh');
    expect(acceptor.disk).toEqual('disk-1');
    expect(opening.isErr && opening.error.kind).toEqual('damaged');
  });
});
