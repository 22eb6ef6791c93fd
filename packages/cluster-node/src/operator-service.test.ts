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

/** A replica whose group commits operations and confirms reads only when the test makes it do so. */
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

  /** Makes a call; each reply to it is added to the returned list. */
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

describe('control safety, point 1: operator calls on a core that may be cut off from the majority', () => {
  it('answers a read of a known configuration with 503 within a second if no majority confirms it', () => {
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

  it('answers a read, also with 404, only once a majority has confirmed it after its arrival', () => {
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

  it('returns the group status as last known only, if no majority confirms the read', () => {
    const harness = new OperatorHarness();
    const view = harness.call({ kind: 'status' });
    harness.advance(ANSWER_TIMEOUT_MS);
    harness.replica.currentAsOfMs = Infinity;
    const current = harness.call({ kind: 'status' });
    const [stale, fresh] = [view, current].map((replies) => JSON.parse(replies[0]?.body ?? '{}') as object);
    expect(statuses(view, current)).toEqual([[503], [200]]);
    expect([Object.keys(stale ?? {}), fresh]).toEqual([['error', 'lastKnown'], STATUS]);
  });

  it('answers every valid change with 503 within a second if it is not committed, and abandons it', () => {
    const harness = new OperatorHarness();
    const changes = [
      VALID,
      { kind: 'patch', base: 1, patch: { revision: 2 } },
      { kind: 'evacuate', zone: 'west' },
      { kind: 'return', zone: 'west' },
    ] as const;
    const replies = changes.map((change) => harness.call(change));
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

  it('answers a change with 503 without waiting for the time-out if no coordinator is known', () => {
    const harness = new OperatorHarness();
    harness.replica.hasCoordinator = false;
    const replies = [harness.call(VALID), harness.call({ kind: 'evacuate', zone: 'west' })];
    harness.advance(ZONE_CHANGE_DELAY_MS);
    expect(statuses(...replies)).toEqual([[503], [503]]);
  });

  it('rejects a call that is invalid in every state, without submitting an operation', () => {
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

  it('answers each change once, with the committed outcome', () => {
    const harness = new OperatorHarness();
    const first = harness.call(VALID);
    const repeated = harness.call(VALID);
    const conflicting = harness.call({ ...VALID, document: { ...DOCUMENT, more: 1 } });
    for (const index of [0, 1, 2]) harness.replica.commit(index);
    const late = harness.call(VALID);
    harness.advance(ANSWER_TIMEOUT_MS);
    harness.replica.commit(3);
    expect(statuses(first, repeated, conflicting, late)).toEqual([[200], [200], [412], [503]]);
  });

  it('rejects calls after it was drained, but still answers a change submitted before', () => {
    const harness = new OperatorHarness();
    const change = harness.call(VALID);
    harness.service.drain();
    harness.replica.currentAsOfMs = Infinity;
    const late = [harness.call(VALID), harness.call({ kind: 'read' })];
    harness.replica.commit(0);
    expect(statuses(change, ...late)).toEqual([[200], [503], [503]]);
  });
});

describe('control safety, point 2: an evacuation', () => {
  it('carries the edition in force when it arrived, so that a delayed one cannot undo a later return', () => {
    const harness = new OperatorHarness();
    const first = harness.call({ kind: 'evacuate', zone: 'west' });
    const delayed = harness.call({ kind: 'evacuate', zone: 'west' });
    harness.advance(ZONE_CHANGE_DELAY_MS);
    harness.replica.commit(0);
    const back = harness.call({ kind: 'return', zone: 'west' });
    harness.advance(ZONE_CHANGE_DELAY_MS);
    harness.replica.commit(2);
    harness.replica.commit(1);
    expect([...statuses(first, back, delayed), harness.replica.state.evacuated]).toEqual([
      [200],
      [200],
      [504],
      [],
    ]);
  });

  it('is answered with 503 and not submitted if the process was suspended past the time-out', () => {
    const harness = new OperatorHarness();
    const replies = harness.call({ kind: 'evacuate', zone: 'west' });
    harness.nowMs += 20_000;
    harness.service.tick();
    expect([...statuses(replies), harness.replica.submitted.length]).toEqual([[503], 0]);
  });

  it('is not submitted after its caller has gone, even on a node that knows of a later return', () => {
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
