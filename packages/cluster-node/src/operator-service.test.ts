import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { AnswerSchema, type Answer } from '@rainrun/messages';
import { applyToDeployment, EMPTY_DEPLOYMENT, type Deployment } from '@rainrun/configuration';
import { fault, type Fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result } from 'true-myth';
import type { CoreStatus } from './core-status.js';
import {
  ANSWER_TIMEOUT_MS,
  OperatorService,
  ZONE_CHANGE_DELAY_MS,
  type OperatorCall,
  type OperatorReply,
  type OperatorReplica,
} from './operator-service.js';

const DOCUMENT = {
  revision: 1,
  routes: [{ name: 'one', host: 'a.example', prefix: '/', service: 'assist', timeoutMs: 100 }],
  services: [{ name: 'assist' }],
};
const VALID: OperatorCall = { kind: 'put', base: 0, document: DOCUMENT };
const INVALID: OperatorCall = { kind: 'put', base: 0, document: { ...DOCUMENT, services: [] } };

const STATUS: CoreStatus = {
  node: 'core-1',
  zone: 'north',
  epoch: 3,
  coordinator: 'core-2',
  version: 41,
  agreed: 41,
  revision: 7,
  evacuated: [],
  edges: 9,
  members: [],
  voters: [],
};

interface Submitted {
  readonly id: string;
  readonly kind: string;
  readonly payload: unknown;
  readonly done: (answer: Answer) => void;
}

/** A replica whose group agrees when the test says so, and confirms a quorum when the test says so. */
class FakeReplica implements OperatorReplica {
  state: Deployment = EMPTY_DEPLOYMENT;
  currentAsOfMs = -Infinity;
  hasCoordinator = true;
  readonly submitted: Submitted[] = [];
  readonly abandoned: string[] = [];
  readonly group = { currentAsOfMs: () => this.currentAsOfMs };

  submit(kind: string, payload: unknown, done: (answer: Answer) => void): Result<string, Fault> {
    if (!this.hasCoordinator) return Result.err(fault('unreached', 'no coordinator'));
    const id = `o${this.submitted.length}`;
    this.submitted.push({ id, kind, payload, done });
    return Result.ok(id);
  }

  abandon(id: string): void {
    this.abandoned.push(id);
  }

  commit(index: number): void {
    const { id, kind, payload, done } = this.submitted[index] as Submitted;
    const { state, outcome } = applyToDeployment(this.state, { kind, payload: JSON.stringify(payload) });
    this.state = state;
    done(create(AnswerSchema, { id, ...outcome }));
  }
}

class OperatorHarness {
  nowMs = 5000;
  readonly replica = new FakeReplica();
  readonly service = new OperatorService({
    replica: this.replica,
    clock: { nowMs: () => this.nowMs },
    format: {
      writeDocument: (document) => JSON.stringify(document),
      statusOf: (cause) => (cause.kind === 'conflict' ? 412 : cause.kind === 'bad-spec' ? 400 : undefined),
    },
    status: () => STATUS,
  });

  /** The status of the answer, once there is one; the list shows each answer. */
  call(call: OperatorCall): OperatorReply[] {
    const replies: OperatorReply[] = [];
    this.service.answer(call, (reply) => replies.push(reply));
    return replies;
  }

  advance(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      this.nowMs += Math.min(25, endMs - this.nowMs);
      this.service.tick();
    }
  }
}

function statuses(...lists: OperatorReply[][]): number[][] {
  return lists.map((replies) => replies.map(({ status }) => status));
}

describe('control safety, point 1: a core that hears no majority', () => {
  it('answers a question with 503 within a second, though it holds a configuration', () => {
    const harness = new OperatorHarness();
    harness.replica.state = applyToDeployment(EMPTY_DEPLOYMENT, {
      kind: 'configuration.put',
      payload: JSON.stringify(VALID),
    }).state;
    harness.replica.currentAsOfMs = harness.nowMs - 1;
    const read = harness.call({ kind: 'read' });
    harness.advance(ANSWER_TIMEOUT_MS - 1);
    const early = [...read];
    harness.advance(25);
    expect([early.length, ...statuses(read), harness.nowMs < 5000 + 1000]).toEqual([0, [503], true]);
  });

  it('answers a question only once a majority was heard after it, 404 before the first configuration too', () => {
    const harness = new OperatorHarness();
    const none = harness.call({ kind: 'read' });
    harness.advance(100);
    const before = [...none];
    harness.replica.currentAsOfMs = 5000;
    harness.advance(25);
    harness.replica.state = applyToDeployment(EMPTY_DEPLOYMENT, {
      kind: 'configuration.put',
      payload: JSON.stringify(VALID),
    }).state;
    const read = harness.call({ kind: 'read' });
    harness.advance(25);
    const early = [...read];
    harness.replica.currentAsOfMs = harness.nowMs;
    harness.advance(25);
    expect([before.length, early.length, ...statuses(none, read)]).toEqual([0, 0, [404], [200]]);
    expect(read[0]?.body).toEqual(JSON.stringify(DOCUMENT));
  });

  it('shows how its group stands only as what it knew last', () => {
    const harness = new OperatorHarness();
    const view = harness.call({ kind: 'status' });
    harness.advance(ANSWER_TIMEOUT_MS);
    harness.replica.currentAsOfMs = Infinity;
    const current = harness.call({ kind: 'status' });
    const [stale, fresh] = [view, current].map((replies) => JSON.parse(replies[0]?.body ?? '{}') as object);
    expect(statuses(view, current)).toEqual([[503], [200]]);
    expect([Object.keys(stale ?? {}), fresh]).toEqual([['error', 'lastKnown'], STATUS]);
  });

  it('leaves every valid order unclear within a second, and does not send it on any more', () => {
    const harness = new OperatorHarness();
    const orders = [
      VALID,
      { kind: 'patch', base: 1, patch: { revision: 2 } },
      { kind: 'evacuate', zone: 'west' },
      { kind: 'return', zone: 'west' },
    ] as const;
    const replies = orders.map((order) => harness.call(order));
    harness.advance(ANSWER_TIMEOUT_MS);
    expect(statuses(...replies)).toEqual([[503], [503], [503], [503]]);
    expect(harness.replica.submitted.map(({ kind }) => kind)).toEqual([
      'configuration.put',
      'configuration.patch',
      'zone.evacuate',
      'zone.return',
    ]);
    expect(harness.replica.abandoned).toEqual(['o0', 'o1', 'o2', 'o3']);
  });

  it('answers at once with 503 where no coordinator is known', () => {
    const harness = new OperatorHarness();
    harness.replica.hasCoordinator = false;
    const replies = [harness.call(VALID), harness.call({ kind: 'evacuate', zone: 'west' })];
    harness.advance(ZONE_CHANGE_DELAY_MS);
    expect(statuses(...replies)).toEqual([[503], [503]]);
  });

  it('refuses at once what is invalid in every state', () => {
    const harness = new OperatorHarness();
    harness.replica.hasCoordinator = false;
    const replies = [
      INVALID,
      { kind: 'patch', base: 0, patch: { revision: 'x' } },
      { kind: 'evacuate', zone: '' },
      { kind: 'none' },
    ] as const;
    expect(statuses(...replies.map((call) => harness.call(call)))).toEqual([[400], [400], [400], [404]]);
    expect(harness.replica.submitted).toEqual([]);
  });

  it('says what happens to an order only as it was agreed, and says it once', () => {
    const harness = new OperatorHarness();
    const taken = harness.call(VALID);
    const again = harness.call(VALID);
    const other = harness.call({ ...VALID, document: { ...DOCUMENT, more: 1 } });
    for (const index of [0, 1, 2]) harness.replica.commit(index);
    const late = harness.call(VALID);
    harness.advance(ANSWER_TIMEOUT_MS);
    harness.replica.commit(3);
    expect(statuses(taken, again, other, late)).toEqual([[200], [200], [412], [503]]);
  });

  it('takes no call once it is about to leave, and still tells what was agreed before', () => {
    const harness = new OperatorHarness();
    const order = harness.call(VALID);
    harness.service.drain();
    harness.replica.currentAsOfMs = Infinity;
    const late = [harness.call(VALID), harness.call({ kind: 'read' })];
    harness.replica.commit(0);
    expect(statuses(order, ...late)).toEqual([[200], [503], [503]]);
  });
});

describe('control safety, point 2: an evacuation', () => {
  it('carries the edition that this node held as it came, so that a late one undoes nothing', () => {
    const harness = new OperatorHarness();
    const first = harness.call({ kind: 'evacuate', zone: 'west' });
    const heldUp = harness.call({ kind: 'evacuate', zone: 'west' });
    harness.advance(ZONE_CHANGE_DELAY_MS);
    harness.replica.commit(0);
    const back = harness.call({ kind: 'return', zone: 'west' });
    harness.advance(ZONE_CHANGE_DELAY_MS);
    harness.replica.commit(2);
    harness.replica.commit(1);
    expect([...statuses(first, back, heldUp), harness.replica.state.evacuated]).toEqual([
      [200],
      [200],
      [504],
      [],
    ]);
  });

  it('is left unclear and not submitted where this process was frozen meanwhile', () => {
    const harness = new OperatorHarness();
    const replies = harness.call({ kind: 'evacuate', zone: 'west' });
    harness.nowMs += 20_000;
    harness.service.tick();
    expect([...statuses(replies), harness.replica.submitted.length]).toEqual([[503], 0]);
  });

  it('is not submitted once its caller has gone, also where it reaches a node that knows the later return', () => {
    const harness = new OperatorHarness();
    for (const kind of ['evacuate', 'return'] as const) {
      harness.call({ kind, zone: 'west' });
      harness.advance(ZONE_CHANGE_DELAY_MS);
      harness.replica.commit(harness.replica.submitted.length - 1);
    }
    let gone = false;
    harness.service.answer(
      { kind: 'evacuate', zone: 'west' },
      () => undefined,
      () => gone,
    );
    harness.advance(ZONE_CHANGE_DELAY_MS / 2);
    gone = true;
    harness.advance(ANSWER_TIMEOUT_MS);
    expect([harness.replica.submitted.length, harness.replica.state.evacuated]).toEqual([2, []]);
  });
});
