import { describe, it } from 'node:test';
import { inspect } from 'node:util';
import { create } from '@bufbuild/protobuf';
import { EMPTY_DEPLOYMENT, encodeForSubscribers } from '@rainrun/configuration';
import { SeededRandom } from '@rainrun/common';
import { FrameSchema, StateUpdateSchema, WIRE_VERSION, type Frame } from '@rainrun/messages';
import { STRICT_QUOTA_BOUNDS } from '@rainrun/quotas';
import { expect } from 'earl';
import { EdgeReplica } from './edge-replica.js';

const KEY = 'key-in-plain';

/** An edge's replica, and the means to send it states as a core does. */
class ReplicaHarness {
  readonly sent: Frame[] = [];
  changes = 0;
  #edition = 0;
  readonly replica = new EdgeReplica({
    name: 'edge-1',
    zone: 'north',
    address: '10.0.0.1:7001',
    deployment: 'system',
    seeds: ['10.0.0.2:7000'],
    clock: { nowMs: () => 1000 },
    chance: new SeededRandom(4),
    quota: STRICT_QUOTA_BOUNDS,
    send: (_address, frame) => void this.sent.push(frame),
    demands: () => [],
    outcomes: () => [],
    onChange: () => {
      this.changes += 1;
    },
  });

  receiveState(document: Readonly<Record<string, unknown>>): void {
    this.#edition += 1;
    const edition = this.#edition;
    const state = encodeForSubscribers({ ...EMPTY_DEPLOYMENT, edition, revision: edition, document });
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: 'system',
      from: 'core-1',
      to: this.replica.incarnation,
    });
    frame.body = { case: 'stateUpdate', value: create(StateUpdateSchema, { edition, state }) };
    this.replica.receive(frame);
  }

  holderOf(key: string): string | undefined {
    return this.replica.tenants?.holderOf(key)?.name;
  }
}

function document(tenants?: unknown): Readonly<Record<string, unknown>> {
  return { revision: 1, routes: [], services: [], ...(tenants === undefined ? {} : { tenants }) };
}

describe('API keys in plain text', () => {
  it("are not held in an edge's state, its configuration or any other part of its replica", () => {
    const harness = new ReplicaHarness();
    harness.receiveState(document([{ name: 'one', apiKeys: [KEY], note: 'kept' }]));
    harness.replica.tick();
    const { replica, sent } = harness;
    const shown = [replica, replica.state, replica.configuration, replica.tenants, sent].map((value) =>
      inspect(value, { depth: null, showHidden: true }),
    );
    expect([shown.filter((text) => text.includes(KEY)), harness.holderOf(KEY)]).toEqual([[], 'one']);
    expect(replica.state.document?.['tenants']).toEqual([{ name: 'one', note: 'kept' }]);
  });

  it('are not held after a state that is no valid configuration either', () => {
    const harness = new ReplicaHarness();
    harness.receiveState({ tenants: [{ name: 'one', apiKeys: [KEY] }] });
    const shown = inspect(harness.replica.state, { depth: null });
    expect([shown.includes(KEY), harness.replica.configuration]).toEqual([false, undefined]);
  });
});

describe('the tenants of an edge', () => {
  it('change with the state in which a key is moved, removed or added', () => {
    const harness = new ReplicaHarness();
    harness.receiveState(document([{ name: 'one', apiKeys: ['a', 'b'] }]));
    const before = ['a', 'b', 'c'].map((key) => harness.holderOf(key));
    harness.receiveState(document([{ name: 'two', apiKeys: ['a', 'c'] }]));
    const after = ['a', 'b', 'c'].map((key) => harness.holderOf(key));
    expect([before, after]).toEqual([
      ['one', 'one', undefined],
      ['two', undefined, 'two'],
    ]);
  });

  it('are an empty list, so that requests need a key, or undefined, so that requests need none', () => {
    const harness = new ReplicaHarness();
    const seen = [document(), document([]), document(null), document([])].map((next) => {
      harness.receiveState(next);
      return harness.replica.tenants !== undefined;
    });
    expect(seen).toEqual([false, true, false, true]);
  });
});
