import { describe, it } from 'node:test';
import { create, toBinary } from '@bufbuild/protobuf';
import {
  DiskRecordSchema,
  EntrySchema,
  StateSchema,
  VersionSchema,
  ViewSchema,
  VoterSchema,
  type Version,
} from '@rainrun/messages';
import type { Records } from '@rainrun/storage';
import { expect } from 'earl';
import { TestCluster } from '../testing/test-cluster.js';

function versionOf(number: number, voters: readonly string[]): Version {
  return create(VersionSchema, {
    epoch: 1,
    number,
    entry: create(EntrySchema),
    state: create(StateSchema, {
      deployment: 'test',
      view: create(ViewSchema, { epoch: 1, number: 1 }),
      voters: voters.map((disk) => create(VoterSchema, { disk, name: disk })),
      application: new TextEncoder().encode('[]'),
    }),
  });
}

function recordsOf(disk: string, version: Version): Records {
  return {
    disk: toBinary(DiskRecordSchema, create(DiskRecordSchema, { disk, deployment: 'test' })),
    version: toBinary(VersionSchema, version),
  };
}

describe('an election after the loss of voters', () => {
  it('elects a coordinator although the first voter missed the last change of voters', () => {
    const before = versionOf(4, ['a', 'b', 'c', 'f', 'g']);
    const after = versionOf(5, ['a', 'b', 'd', 'f', 'g']);
    const cluster = new TestCluster(['a', 'b', 'c', 'd', 'f', 'g'], 2);
    cluster.start('b', recordsOf('b', before));
    cluster.start('d', recordsOf('d', after));
    cluster.start('g', recordsOf('g', after));
    const tookMs = cluster.runUntil(() => cluster.leader() !== undefined, 20_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 5000);
  });

  it('elects the next voter in order if the disk of the first one stalls', () => {
    const cluster = new TestCluster(['a', 'b', 'c', 'd', 'e'], 2);
    cluster.found();
    const leader = cluster.leader();
    const [next] = cluster.running.filter((node) => node !== leader);
    if (leader !== undefined) leader.running = false;
    if (next !== undefined) next.stalled = true;
    const tookMs = cluster.runUntil(() => cluster.leader() !== undefined, 20_000);
    expect(tookMs).toSatisfy((ms: number) => ms < 3500);
  });
});
