import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { SeededRandom } from '@rainrun/common';
import {
  applyToDeployment,
  EMPTY_DEPLOYMENT,
  encodeForSubscribers,
  type Deployment,
} from '@rainrun/configuration';
import { FrameSchema, MemberSchema, StateUpdateSchema, WIRE_VERSION, type Frame } from '@rainrun/messages';
import { WorkerTable } from '@rainrun/placement';
import { expect } from 'earl';
import { EdgeReplica } from './edge-replica.js';
import { UpdatePublisher } from './update-publisher.js';

const CORE = create(MemberSchema, {
  name: 'core-1',
  incarnation: 'core-incarnation',
  address: 'core-1:1',
  disk: 'disk-1',
  zone: 'north',
});
const STEP_MS = 5;
const EDGE_TICK_MS = 20;
const LATENCY_MS = 5;

function route(name: string): Record<string, unknown> {
  return { name, host: 'a.example', prefix: `/${name}/`, service: 'assist', timeoutMs: 100 };
}

/** The state after a change that replaces the route and the tenant by new ones. */
function nextState(state: Deployment): Deployment {
  const revision = state.revision + 1;
  const document = {
    revision,
    routes: [route(`route-${revision}`)],
    services: [{ name: 'assist' }],
    tenants: [{ name: `tenant-${revision}`, apiKeys: [`key-${revision}`] }],
  };
  const applied = applyToDeployment(state, {
    kind: 'configuration.put',
    payload: JSON.stringify({ base: state.revision, document }),
  });
  expect(applied.outcome.kind).toEqual('agreed');
  return applied.state;
}

/** One coordinator and the edges that subscribe to it, connected by links that may lose frames. */
class TestSite {
  nowMs = 10_000;
  state = nextState(EMPTY_DEPLOYMENT);
  lossRatio = 0;
  /** Whether the links from the core to the edges are cut. */
  isCut = false;
  readonly edges: EdgeReplica[] = [];
  #chance: SeededRandom;
  #inTransit: { readonly atMs: number; readonly deliver: () => void }[] = [];
  #publisher: UpdatePublisher;

  constructor(seed: number, edges: number) {
    this.#chance = new SeededRandom(seed);
    const placement = { workerTable: new WorkerTable(), tableId: '' };
    this.#publisher = new UpdatePublisher({
      deployment: 'site',
      group: {
        isCoordinator: true,
        self: CORE,
        view: { epoch: 1, number: 1, members: [CORE] },
        coordinatorIncarnation: CORE.incarnation,
        holdsLease: () => true,
      },
      state: () => this.state,
      placement: () => placement,
      send: (address, frame) => this.#toEdge(address, frame),
    });
    for (let index = 0; index < edges; index += 1) this.edges.push(this.#newEdge(index));
  }

  /**
   * Runs the site, with a change every `changeEveryMs`; returns the longest time for which an edge lacked a
   * change.
   */
  run(forMs: number, changeEveryMs: number): number {
    const changes: { readonly revision: number; readonly atMs: number }[] = [];
    const endMs = this.nowMs + forMs;
    let changedMs = this.nowMs;
    let longestMs = 0;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      if (this.nowMs - changedMs >= changeEveryMs) {
        changedMs = this.nowMs;
        this.state = nextState(this.state);
        changes.push({ revision: this.state.revision, atMs: this.nowMs });
      }
      this.#step();
      for (const edge of this.edges) {
        const firstMissing = changes.find(({ revision }) => revision > edge.state.revision);
        if (firstMissing !== undefined) longestMs = Math.max(longestMs, this.nowMs - firstMissing.atMs);
      }
    }
    return longestMs;
  }

  #step(): void {
    this.#publisher.expire(this.nowMs);
    this.#publisher.sendDueUpdates(this.nowMs);
    if (this.nowMs % EDGE_TICK_MS === 0) for (const edge of this.edges) edge.tick();
    const due = this.#inTransit.filter(({ atMs }) => atMs <= this.nowMs);
    this.#inTransit = this.#inTransit.filter(({ atMs }) => atMs > this.nowMs);
    for (const { deliver } of due) deliver();
  }

  #newEdge(index: number): EdgeReplica {
    return new EdgeReplica({
      name: `edge-${index}`,
      zone: 'north',
      address: `edge-${index}:1`,
      deployment: 'site',
      seeds: [CORE.address],
      clock: { nowMs: () => this.nowMs },
      chance: this.#chance,
      send: (_address, frame) => this.#toCore(frame),
      demands: () => [],
      outcomes: () => [],
      quota: { windowMs: 5000, overshoot: 0, slack: 0 },
      onChange: () => undefined,
    });
  }

  #toEdge(address: string, frame: Frame): void {
    if (this.isCut) return;
    this.#transmit(() => this.edges.find((_, index) => address === `edge-${index}:1`)?.receive(frame));
  }

  #toCore(frame: Frame): void {
    const { body } = frame;
    if (body.case !== 'subscribe') return;
    const { value } = body;
    this.#transmit(() => {
      if (value.subscriber === undefined) return;
      const subscriber = this.#publisher.onSubscribe(value, value.subscriber, this.nowMs);
      this.#publisher.answer(subscriber, this.nowMs);
    });
  }

  #transmit(deliver: () => void): void {
    if (this.#chance.next() < this.lossRatio) return;
    this.#inTransit.push({ atMs: this.nowMs + LATENCY_MS, deliver });
  }
}

/** Names of the routes and tenants that an edge serves. */
function servedNames(edge: EdgeReplica): unknown {
  const { routes, tenants } = edge.configuration ?? { routes: [], tenants: [] };
  return [...routes, ...(tenants ?? [])].map(({ name }) => name);
}

function expectedNames({ revision }: Deployment): unknown {
  return [`route-${revision}`, `tenant-${revision}`];
}

describe('a confirmed change', () => {
  it('is in force at every edge within 250 ms at twenty changes per second', () => {
    const site = new TestSite(1, 12);
    site.run(1000, Infinity);
    expect(site.run(10_000, 50) <= 250).toEqual(true);
    site.run(300, Infinity);
    expect(site.edges.map(servedNames)).toEqual(site.edges.map(() => expectedNames(site.state)));
  });

  it('is in force at every edge within 2 s while three of ten frames are lost', () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const site = new TestSite(seed, 12);
      site.run(2000, Infinity);
      site.lossRatio = 0.3;
      expect(site.run(10_000, 50) <= 2000).toEqual(true);
      site.lossRatio = 0;
      site.run(1000, Infinity);
      expect(site.edges.map(servedNames)).toEqual(site.edges.map(() => expectedNames(site.state)));
    }
  });

  it('is in force at every edge within 500 ms after cut links are restored, if it is the newest', () => {
    const site = new TestSite(3, 4);
    site.run(1000, Infinity);
    site.isCut = true;
    site.run(6000, 100);
    // The updates of the last change are lost as well, and no further change follows.
    site.run(600, Infinity);
    site.isCut = false;
    site.run(500, Infinity);
    expect(site.edges.map(servedNames)).toEqual(site.edges.map(() => expectedNames(site.state)));
  });
});

function updateOf(edge: EdgeReplica, state: Deployment, bytes = encodeForSubscribers(state)): Frame {
  const frame = create(FrameSchema, {
    wire: WIRE_VERSION,
    deployment: 'site',
    from: CORE.incarnation,
    to: edge.incarnation,
  });
  const value = create(StateUpdateSchema, { edition: state.edition, hasLease: true, state: bytes });
  frame.body = { case: 'stateUpdate', value };
  return frame;
}

describe('a confirmed change that an edge holds', () => {
  const first = nextState(EMPTY_DEPLOYMENT);
  const second = nextState(first);
  const third = nextState(second);

  function edgeAt(state: Deployment): EdgeReplica {
    const [edge] = new TestSite(1, 1).edges;
    if (edge === undefined) throw new Error('a site has an edge');
    edge.receive(updateOf(edge, state));
    return edge;
  }

  it('is not reverted by an update that is late or repeated, or that a lagging core sends', () => {
    const edge = edgeAt(second);
    for (const older of [first, second, EMPTY_DEPLOYMENT]) edge.receive(updateOf(edge, older));
    expect([edge.state.revision, servedNames(edge)]).toEqual([2, expectedNames(second)]);
    edge.receive(updateOf(edge, third));
    edge.receive(updateOf(edge, second));
    expect([edge.state.revision, servedNames(edge)]).toEqual([3, expectedNames(third)]);
  });

  it('stays in force after an update that cannot be decoded, until that is sent again intact', () => {
    const edge = edgeAt(second);
    edge.receive(updateOf(edge, third, new TextEncoder().encode('{"edition":3,')));
    expect([edge.state.revision, servedNames(edge)]).toEqual([2, expectedNames(second)]);
    edge.receive(updateOf(edge, third));
    expect(servedNames(edge)).toEqual(expectedNames(third));
  });
});
