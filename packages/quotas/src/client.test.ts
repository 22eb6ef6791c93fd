import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { SeededRandom } from '@rainrun/common';
import {
  MemberSchema,
  QuotaAnswerSchema,
  QuotaGrantSchema,
  type Member,
  type QuotaAnswer,
  type QuotaDraw,
} from '@rainrun/messages';
import { expect } from 'earl';
import { allocatorOf } from './allocator-choice.js';
import type { QuotaView } from './allocator.js';
import { QuotaClient } from './client.js';
import type { PermitAnswer } from './permits.js';

const BOUNDS = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const EDGE = create(MemberSchema, { name: 'edge-1', incarnation: 'edge-1' });
const CORES = ['a', 'b', 'c'].map((name) => create(MemberSchema, { name, incarnation: name, disk: name }));
const VIEW: QuotaView = { epoch: 1, number: 1, members: CORES };
const LIFETIME_MS = 400;

/** A client, what it has sent and how its requests were answered. */
class Edge {
  nowMs = 1000;
  readonly sent: { to: Member; draw: QuotaDraw }[] = [];
  readonly answers: PermitAnswer[] = [];
  readonly client = new QuotaClient({
    clock: { nowMs: () => this.nowMs },
    chance: new SeededRandom(1),
    bounds: BOUNDS,
    self: () => EDGE,
    send: (to, draw) => this.sent.push({ to, draw }),
  });

  acquire(tenant = 'tenant-1'): () => void {
    return this.client.acquire(tenant, (answer) => this.answers.push(answer));
  }

  /** Asked permits of the last draw. */
  lastNeeds(): [string, number][] {
    return (this.sent.at(-1)?.draw.needs ?? []).map(({ tenant, permits }) => [tenant, permits]);
  }

  answer(
    parts: Partial<Pick<QuotaAnswer, 'granted' | 'retryAfterMs' | 'unavailable'>>,
    draw = this.sent.at(-1)?.draw.draw ?? 0,
  ): void {
    const answer = create(QuotaAnswerSchema, { tenant: 'tenant-1', ...parts });
    this.client.receive(create(QuotaGrantSchema, { draw, answers: [answer] }), this.nowMs);
  }

  pass(ms: number): void {
    this.nowMs += ms;
    this.client.tick(this.nowMs);
  }
}

function edgeInView(): Edge {
  const edge = new Edge();
  edge.client.learnView(VIEW);
  return edge;
}

describe('quota client', () => {
  it('draws at once from the allocator; the permit ends a fixed time after the draw was sent', () => {
    const edge = edgeInView();
    edge.acquire();
    expect(edge.sent[0]?.to).toEqual(allocatorOf('tenant-1', CORES));
    expect(edge.lastNeeds()).toEqual([['tenant-1', 1]]);
    edge.pass(100);
    edge.answer({ granted: 1 });
    expect(edge.answers).toEqual([{ kind: 'granted', permit: { endMs: 1000 + LIFETIME_MS } }]);
  });

  it('has one draw in flight; what comes meanwhile goes together into the next', () => {
    const edge = edgeInView();
    const sameAllocator = Array.from({ length: 50 }, (_, index) => `other-${index}`).find(
      (tenant) => allocatorOf(tenant, CORES) === allocatorOf('tenant-1', CORES),
    );
    edge.acquire();
    edge.acquire();
    edge.acquire(sameAllocator);
    expect(edge.sent.length).toEqual(1);
    edge.answer({ granted: 1 });
    expect(edge.lastNeeds()).toEqual([
      ['tenant-1', 1],
      [sameAllocator ?? '', 1],
    ]);
  });

  it('keeps the permit of a withdrawn request for another one until its end', () => {
    const edge = edgeInView();
    edge.acquire()();
    edge.answer({ granted: 1 });
    edge.acquire();
    expect(edge.answers.length).toEqual(1);
    edge.acquire()();
    edge.answer({ granted: 1 });
    edge.nowMs += LIFETIME_MS;
    edge.acquire();
    expect(edge.answers.length).toEqual(1);
  });

  it('holds a grant that comes after the permits ended for worth nothing, and draws again', () => {
    const edge = edgeInView();
    edge.acquire();
    const draw = edge.sent[0]?.draw.draw ?? 0;
    edge.nowMs += LIFETIME_MS;
    edge.answer({ granted: 1 }, draw);
    expect([edge.answers.length, edge.sent.length]).toEqual([0, 2]);
  });

  it('sends a draw again that is not answered, and still takes the first grant', () => {
    const edge = edgeInView();
    edge.acquire();
    edge.pass(149);
    expect(edge.sent.length).toEqual(1);
    edge.pass(1);
    expect(edge.sent.length).toEqual(2);
    edge.pass(199);
    expect(edge.sent.length).toEqual(2);
    edge.answer({ granted: 1 }, edge.sent[0]?.draw.draw);
    expect(edge.answers).toEqual([{ kind: 'granted', permit: { endMs: 1000 + LIFETIME_MS } }]);
  });

  it('takes a grant once only', () => {
    const edge = edgeInView();
    edge.acquire();
    const draw = edge.sent[0]?.draw.draw;
    edge.answer({ granted: 1 }, draw);
    edge.acquire();
    edge.answer({ granted: 1 }, draw);
    expect(edge.answers.length).toEqual(1);
  });

  it('remembers a refusal for a tenth of a second at the most', () => {
    const edge = edgeInView();
    edge.acquire();
    edge.answer({ retryAfterMs: 300 });
    edge.acquire();
    expect(edge.answers).toEqual([
      { kind: 'over-quota', retryAfterMs: 300 },
      { kind: 'over-quota', retryAfterMs: 100 },
    ]);
    edge.nowMs += 100;
    edge.acquire();
    expect([edge.answers.length, edge.sent.length]).toEqual([2, 2]);
  });

  it('asks again after a tenth of a second where the core cannot allocate', () => {
    const edge = edgeInView();
    edge.acquire();
    edge.answer({ unavailable: true });
    edge.pass(99);
    expect([edge.answers.length, edge.sent.length]).toEqual([0, 1]);
    edge.pass(1);
    expect(edge.sent.length).toEqual(2);
  });

  it('draws from the next allocator at once when a newer view is learned, and forgets no request', () => {
    const edge = new Edge();
    edge.acquire();
    expect(edge.sent.length).toEqual(0);
    edge.client.learnView(VIEW);
    const first = edge.sent[0]?.to;
    edge.client.learnView({ epoch: 2, number: 2, members: CORES.filter((member) => member !== first) });
    expect(edge.sent.length).toEqual(2);
    expect(edge.sent[1]?.to).not.toEqual(first);
    edge.client.learnView(VIEW);
    expect(edge.sent.length).toEqual(2);
  });

  it('refuses what comes while too many wait', () => {
    const edge = new Edge();
    for (let count = 0; count < 4096; count += 1) edge.acquire();
    expect(edge.answers.length).toEqual(0);
    edge.acquire();
    expect(edge.answers.length).toEqual(1);
  });
});
