/**
 * Guards against a rename of messages, fields or classes that makes the data
 * folders of earlier builds unreadable. Each fixture is the complete data folder
 * of a core that ran alone, written by the build of commit 897331f.
 */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { fault, type RandomSource, type Fault } from '@rainrun/common';
import { PROTOCOL_LEVELS } from '@rainrun/messages';
import { Acceptor, GROUP_TIMES, readRecords } from '@rainrun/process-group';
import { STRICT_QUOTA_BOUNDS } from '@rainrun/quotas';
import { RecordStore, type RecordKind, type Records, type RecordWriter } from '@rainrun/storage';
import { expect } from 'earl';
import { Result, type Unit } from 'true-myth';
import { ClusterNode } from './cluster-node.js';
import { CoreReplica } from './core-replica.js';

const TICK_MS = 20;
const START_MS = 6000;
const ANSWER_MS = 1000;
const ADDRESS = '127.0.0.1:1';

/** A record writer that reports each record as synced immediately. */
class ImmediateRecordWriter implements RecordWriter {
  store(_kind: RecordKind, _bytes: Uint8Array, done: (result: Result<Unit, Fault>) => void): void {
    done(Result.ok());
  }
}

/** Opens the data folder in a fixture as a node does when it starts. */
async function openFixture(name: string): Promise<Records> {
  const text = await readFile(new URL(`../fixtures/${name}`, import.meta.url), 'utf8');
  const folder = await mkdtemp(join(tmpdir(), 'older-disk-'));
  try {
    for (const [file, base64] of Object.entries(JSON.parse(text) as Record<string, string>))
      await writeFile(join(folder, file), Buffer.from(base64, 'base64'));
    return (await RecordStore.open(folder)).unwrapOrElse(fail).records;
  } finally {
    await rm(folder, { recursive: true });
  }
}

function fail(why: Fault): never {
  throw new Error(`${why.kind}: ${why.detail}`);
}

function acceptorOf(records: Records, deployment: string): Acceptor {
  const opening = readRecords(records, 'a fresh disk').unwrapOrElse(fail);
  expect(opening.disk).toEqual('disk-a');
  expect(opening.deployment).toEqual(deployment);
  expect(opening.promisedEpoch).toEqual(1);
  return new Acceptor(opening, new ImmediateRecordWriter(), deployment, fail);
}

/** Clock and randomness of a node that runs alone, and the dependencies that all nodes share. */
class SingleNodeHarness {
  #nowMs = 0;
  #seed = 7;
  #chance: RandomSource = { next: () => this.#nextChance() };

  dependencies(acceptor: Acceptor, deployment: string) {
    return {
      name: 'core-1',
      address: ADDRESS,
      zone: 'coast',
      deployment,
      seeds: [ADDRESS],
      founders: [ADDRESS],
      desiredVoterCount: 1,
      clock: { nowMs: () => this.#nowMs },
      chance: this.#chance,
      times: GROUP_TIMES,
      acceptor,
      protocolLevels: PROTOCOL_LEVELS,
      send: () => undefined,
      onNewIncarnation: () => undefined,
      onStateChange: () => undefined,
      onJoinRejected: (why: string) => fail(fault('not-admitting', why)),
    };
  }

  run(node: { tick(): void }, forMs: number): void {
    for (const endMs = this.#nowMs + forMs; this.#nowMs < endMs; this.#nowMs += TICK_MS) node.tick();
  }

  #nextChance(): number {
    this.#seed = (this.#seed * 16_807) % 2_147_483_647;
    return this.#seed / 2_147_483_647;
  }
}

describe('the data folder of an earlier build', () => {
  it('restores the deployment of a core, which then commits further operations', async () => {
    const harness = new SingleNodeHarness();
    const acceptor = acceptorOf(await openFixture('core-disk.json'), 'system');
    const replica = new CoreReplica({
      ...harness.dependencies(acceptor, 'system'),
      quota: STRICT_QUOTA_BOUNDS,
      order: () => undefined,
      report: () => undefined,
      onPlacementDecision: () => undefined,
    });
    harness.run(replica, START_MS);
    const { edition, revision, evacuated, zones, document } = replica.state;
    expect({ edition, revision, evacuated, zones }).toEqual({
      edition: 2,
      revision: 4,
      evacuated: ['north'],
      zones: { north: 2 },
    });
    expect(document?.['note']).toEqual({ kept: true });
    const answers: string[] = [];
    replica.submit('zone.return', { zone: 'north', seen: edition }, (answer) => answers.push(answer.kind));
    harness.run(replica, ANSWER_MS);
    expect(answers).toEqual(['agreed']);
    expect(replica.state.evacuated).toEqual([]);
    expect(replica.group.epoch).toEqual(2);
  });

  it('restores the spec of a cluster node, which does not repeat an operation answered before', async () => {
    const harness = new SingleNodeHarness();
    const acceptor = acceptorOf(await openFixture('cluster-node-disk.json'), 'site');
    const node = new ClusterNode({
      ...harness.dependencies(acceptor, 'site'),
      order: () => undefined,
      onCast: () => undefined,
      answerQuery: () => ({ status: 404, body: {} }),
    });
    harness.run(node, START_MS);
    const { spec, evacuatedZones: evacuated, changedInVersion: changedIn } = node.state;
    expect(spec?.version).toEqual(1);
    expect(spec?.spec.models.map((model) => model.name)).toEqual(['model-1']);
    expect(evacuated).toEqual(['inland']);
    expect(changedIn['zones/coast']).toEqual(1);
    const answers: string[] = [];
    node.submit('op-2', 'zone.empty', JSON.stringify({ zone: 'coast' }), ({ detail }) =>
      answers.push(detail),
    );
    harness.run(node, ANSWER_MS);
    expect(answers).toEqual(['zone inland emptied']);
    expect(node.state.evacuatedZones).toEqual(['inland']);
  });
});
