import { describe, it } from 'node:test';
import { SeededRandom } from '@rainrun/common';
import { PrepareSchema } from '@rainrun/messages';
import { create } from '@bufbuild/protobuf';
import { Acceptor, readRecords } from '@rainrun/process-group';
import { expect } from 'earl';
import { SimDisk, VirtualTime } from '../world.js';

const EPOCH = 5;

function openAcceptor(disk: SimDisk): Acceptor {
  const opening = readRecords(disk.open(), 'disk-1');
  if (opening.isErr) throw new Error(opening.error.detail);
  return new Acceptor(opening.value, disk, 'system', () => undefined);
}

/** Whether the acceptor promises the epoch to a candidate. */
function isPromised(disk: SimDisk, time: VirtualTime, candidate: string): boolean {
  let granted = false;
  openAcceptor(disk).prepare(create(PrepareSchema, { epoch: EPOCH, disk: candidate }), (promise) => {
    granted = promise.granted;
  });
  time.runUntil(time.nowMs() + 1000);
  return granted;
}

/** Kills the process between the rename of a promise file and the sync of its folder. */
function killedWhileStoring(time: VirtualTime, disk: SimDisk): void {
  disk.onStep = (step) => {
    if (step === 'renamed') disk.endProcess();
  };
  openAcceptor(disk).prepare(create(PrepareSchema, { epoch: EPOCH, disk: 'one' }), () => undefined);
  time.runUntil(1000);
  disk.onStep = undefined;
}

describe('an acceptor that was killed before its folder was synced', () => {
  it('promises no epoch to two candidates, also when power is lost after its next promise', () => {
    const outcomes = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) => {
      const time = new VirtualTime();
      const disk = new SimDisk(time, new SeededRandom(seed));
      killedWhileStoring(time, disk);
      const first = isPromised(disk, time, 'one');
      disk.losePower();
      return first && isPromised(disk, time, 'two');
    });
    expect(outcomes.filter((bothPromised) => bothPromised)).toEqual([]);
  });
});
