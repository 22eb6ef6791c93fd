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
  ZONE_ORDER_DELAY_MS,
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
class StandInReplica implements OperatorReplica {
  state: Deployment = EMPTY_DEPLOYMENT;
  currentAsOfMs = -Infinity;
  coordinated = true;
  readonly submitted: Submitted[] = [];
  readonly abandoned: string[] = [];
  readonly group = { currentAsOfMs: () => this.currentAsOfMs };

  submit(kind: string, payload: unknown, done: (answer: Answer) => void): Result<string, Fault> {
    if (!this.coordinated) return Result.err(fault('unreached', 'no coordinator'));
    const id = `o${this.submitted.length}`;
    this.submitted.push({ id, kind, payload, done });
    return Result.ok(id);
  }

  abandon(id: string): void {
    this.abandoned.push(id);
  }

  agree(place: number): void {
    const { id, kind, payload, done } = this.submitted[place] as Submitted;
    const { state, outcome } = applyToDeployment(this.state, { kind, payload: JSON.stringify(payload) });
    this.state = state;
    done(create(AnswerSchema, { id, ...outcome }));
  }
}

class Bench {
  nowMs = 5000;
  readonly replica = new StandInReplica();
  readonly service = new OperatorService({
    replica: this.replica,
    clock: { nowMs: () => this.nowMs },
    format: {
      writeDocument: (document) => JSON.stringify(document),
      statusOf: (why) => (why.kind === 'conflict' ? 412 : why.kind === 'bad-spec' ? 400 : undefined),
    },
    status: () => STATUS,
  });

  /** The status of the answer, once there is one; the list shows each answer. */
  ask(call: OperatorCall): OperatorReply[] {
    const replies: OperatorReply[] = [];
    this.service.answer(call, (reply) => replies.push(reply));
    return replies;
  }

  pass(ms: number): void {
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
    const bench = new Bench();
    bench.replica.state = applyToDeployment(EMPTY_DEPLOYMENT, {
      kind: 'configuration.put',
      payload: JSON.stringify(VALID),
    }).state;
    bench.replica.currentAsOfMs = bench.nowMs - 1;
    const read = bench.ask({ kind: 'read' });
    bench.pass(ANSWER_TIMEOUT_MS - 1);
    const early = [...read];
    bench.pass(25);
    expect([early.length, ...statuses(read), bench.nowMs < 5000 + 1000]).toEqual([0, [503], true]);
  });

  it('answers a question only once a majority was heard after it, 404 before the first configuration too', () => {
    const bench = new Bench();
    const none = bench.ask({ kind: 'read' });
    bench.pass(100);
    const before = [...none];
    bench.replica.currentAsOfMs = 5000;
    bench.pass(25);
    bench.replica.state = applyToDeployment(EMPTY_DEPLOYMENT, {
      kind: 'configuration.put',
      payload: JSON.stringify(VALID),
    }).state;
    const read = bench.ask({ kind: 'read' });
    bench.pass(25);
    const early = [...read];
    bench.replica.currentAsOfMs = bench.nowMs;
    bench.pass(25);
    expect([before.length, early.length, ...statuses(none, read)]).toEqual([0, 0, [404], [200]]);
    expect(read[0]?.body).toEqual(JSON.stringify(DOCUMENT));
  });

  it('shows how its group stands only as what it knew last', () => {
    const bench = new Bench();
    const view = bench.ask({ kind: 'status' });
    bench.pass(ANSWER_TIMEOUT_MS);
    bench.replica.currentAsOfMs = Infinity;
    const current = bench.ask({ kind: 'status' });
    const [stale, fresh] = [view, current].map((replies) => JSON.parse(replies[0]?.body ?? '{}') as object);
    expect(statuses(view, current)).toEqual([[503], [200]]);
    expect([Object.keys(stale ?? {}), fresh]).toEqual([['error', 'lastKnown'], STATUS]);
  });

  it('leaves every valid order unclear within a second, and does not send it on any more', () => {
    const bench = new Bench();
    const orders = [
      VALID,
      { kind: 'patch', base: 1, patch: { revision: 2 } },
      { kind: 'evacuate', zone: 'west' },
      { kind: 'return', zone: 'west' },
    ] as const;
    const replies = orders.map((order) => bench.ask(order));
    bench.pass(ANSWER_TIMEOUT_MS);
    expect(statuses(...replies)).toEqual([[503], [503], [503], [503]]);
    expect(bench.replica.submitted.map(({ kind }) => kind)).toEqual([
      'configuration.put',
      'configuration.patch',
      'zone.evacuate',
      'zone.return',
    ]);
    expect(bench.replica.abandoned).toEqual(['o0', 'o1', 'o2', 'o3']);
  });

  it('answers at once with 503 where no coordinator is known', () => {
    const bench = new Bench();
    bench.replica.coordinated = false;
    const replies = [bench.ask(VALID), bench.ask({ kind: 'evacuate', zone: 'west' })];
    bench.pass(ZONE_ORDER_DELAY_MS);
    expect(statuses(...replies)).toEqual([[503], [503]]);
  });

  it('refuses at once what is invalid in every state', () => {
    const bench = new Bench();
    bench.replica.coordinated = false;
    const replies = [
      INVALID,
      { kind: 'patch', base: 0, patch: { revision: 'x' } },
      { kind: 'evacuate', zone: '' },
      { kind: 'none' },
    ] as const;
    expect(statuses(...replies.map((call) => bench.ask(call)))).toEqual([[400], [400], [400], [404]]);
    expect(bench.replica.submitted).toEqual([]);
  });

  it('says what happens to an order only as it was agreed, and says it once', () => {
    const bench = new Bench();
    const taken = bench.ask(VALID);
    const again = bench.ask(VALID);
    const other = bench.ask({ ...VALID, document: { ...DOCUMENT, more: 1 } });
    for (const place of [0, 1, 2]) bench.replica.agree(place);
    const late = bench.ask(VALID);
    bench.pass(ANSWER_TIMEOUT_MS);
    bench.replica.agree(3);
    expect(statuses(taken, again, other, late)).toEqual([[200], [200], [412], [503]]);
  });

  it('takes no call once it is about to leave, and still tells what was agreed before', () => {
    const bench = new Bench();
    const order = bench.ask(VALID);
    bench.service.drain();
    bench.replica.currentAsOfMs = Infinity;
    const late = [bench.ask(VALID), bench.ask({ kind: 'read' })];
    bench.replica.agree(0);
    expect(statuses(order, ...late)).toEqual([[200], [503], [503]]);
  });
});

describe('control safety, point 2: an evacuation', () => {
  it('carries the edition that this node held as it came, so that a late one undoes nothing', () => {
    const bench = new Bench();
    const first = bench.ask({ kind: 'evacuate', zone: 'west' });
    const heldUp = bench.ask({ kind: 'evacuate', zone: 'west' });
    bench.pass(ZONE_ORDER_DELAY_MS);
    bench.replica.agree(0);
    const back = bench.ask({ kind: 'return', zone: 'west' });
    bench.pass(ZONE_ORDER_DELAY_MS);
    bench.replica.agree(2);
    bench.replica.agree(1);
    expect([...statuses(first, back, heldUp), bench.replica.state.evacuated]).toEqual([
      [200],
      [200],
      [504],
      [],
    ]);
  });

  it('is left unclear and not submitted where this process was frozen meanwhile', () => {
    const bench = new Bench();
    const replies = bench.ask({ kind: 'evacuate', zone: 'west' });
    bench.nowMs += 20_000;
    bench.service.tick();
    expect([...statuses(replies), bench.replica.submitted.length]).toEqual([[503], 0]);
  });

  it('is not submitted once its caller has gone, also where it reaches a node that knows the later return', () => {
    const bench = new Bench();
    for (const kind of ['evacuate', 'return'] as const) {
      bench.ask({ kind, zone: 'west' });
      bench.pass(ZONE_ORDER_DELAY_MS);
      bench.replica.agree(bench.replica.submitted.length - 1);
    }
    let gone = false;
    bench.service.answer(
      { kind: 'evacuate', zone: 'west' },
      () => undefined,
      () => gone,
    );
    bench.pass(ZONE_ORDER_DELAY_MS / 2);
    gone = true;
    bench.pass(ANSWER_TIMEOUT_MS);
    expect([bench.replica.submitted.length, bench.replica.state.evacuated]).toEqual([2, []]);
  });
});
