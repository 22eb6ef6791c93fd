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

/** A client with the draws that it has sent and the answers to its requests. */
class ClientHarness {
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

  /** Tenants and numbers of permits that the last draw requests. */
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

  advance(ms: number): void {
    this.nowMs += ms;
    this.client.tick(this.nowMs);
  }
}

function harnessWithView(): ClientHarness {
  const harness = new ClientHarness();
  harness.client.learnView(VIEW);
  return harness;
}

describe('quota client', () => {
  it('draws from the allocator at once; the permit expires a fixed time after the draw was sent', () => {
    const harness = harnessWithView();
    harness.acquire();
    expect(harness.sent[0]?.to).toEqual(allocatorOf('tenant-1', CORES));
    expect(harness.lastNeeds()).toEqual([['tenant-1', 1]]);
    harness.advance(100);
    harness.answer({ granted: 1 });
    expect(harness.answers).toEqual([{ kind: 'granted', permit: { endMs: 1000 + LIFETIME_MS } }]);
  });

  it('has one draw in flight; requests that arrive in the meantime share the next draw', () => {
    const harness = harnessWithView();
    const sameAllocator = Array.from({ length: 50 }, (_, index) => `other-${index}`).find(
      (tenant) => allocatorOf(tenant, CORES) === allocatorOf('tenant-1', CORES),
    );
    harness.acquire();
    harness.acquire();
    harness.acquire(sameAllocator);
    expect(harness.sent.length).toEqual(1);
    harness.answer({ granted: 1 });
    expect(harness.lastNeeds()).toEqual([
      ['tenant-1', 1],
      [sameAllocator ?? '', 1],
    ]);
  });

  it('keeps the permit of a cancelled request for another request until the permit expires', () => {
    const harness = harnessWithView();
    harness.acquire()();
    harness.answer({ granted: 1 });
    harness.acquire();
    expect(harness.answers.length).toEqual(1);
    harness.acquire()();
    harness.answer({ granted: 1 });
    harness.nowMs += LIFETIME_MS;
    harness.acquire();
    expect(harness.answers.length).toEqual(1);
  });

  it('ignores a grant that arrives after its permits have expired, and draws again', () => {
    const harness = harnessWithView();
    harness.acquire();
    const draw = harness.sent[0]?.draw.draw ?? 0;
    harness.nowMs += LIFETIME_MS;
    harness.answer({ granted: 1 }, draw);
    expect([harness.answers.length, harness.sent.length]).toEqual([0, 2]);
  });

  it('sends another draw if none is answered in time, and still accepts a grant for the first one', () => {
    const harness = harnessWithView();
    harness.acquire();
    harness.advance(149);
    expect(harness.sent.length).toEqual(1);
    harness.advance(1);
    expect(harness.sent.length).toEqual(2);
    harness.advance(199);
    expect(harness.sent.length).toEqual(2);
    harness.answer({ granted: 1 }, harness.sent[0]?.draw.draw);
    expect(harness.answers).toEqual([{ kind: 'granted', permit: { endMs: 1000 + LIFETIME_MS } }]);
  });

  it('applies a duplicated grant only once', () => {
    const harness = harnessWithView();
    harness.acquire();
    const draw = harness.sent[0]?.draw.draw;
    harness.answer({ granted: 1 }, draw);
    harness.acquire();
    harness.answer({ granted: 1 }, draw);
    expect(harness.answers.length).toEqual(1);
  });

  it('caches a refusal for at most a tenth of a second', () => {
    const harness = harnessWithView();
    harness.acquire();
    harness.answer({ retryAfterMs: 300 });
    harness.acquire();
    expect(harness.answers).toEqual([
      { kind: 'over-quota', retryAfterMs: 300 },
      { kind: 'over-quota', retryAfterMs: 100 },
    ]);
    harness.nowMs += 100;
    harness.acquire();
    expect([harness.answers.length, harness.sent.length]).toEqual([2, 2]);
  });

  it('asks again after a tenth of a second if the core cannot allocate', () => {
    const harness = harnessWithView();
    harness.acquire();
    harness.answer({ unavailable: true });
    harness.advance(99);
    expect([harness.answers.length, harness.sent.length]).toEqual([0, 1]);
    harness.advance(1);
    expect(harness.sent.length).toEqual(2);
  });

  it('draws from the new allocator at once when a newer view arrives, and loses no request', () => {
    const harness = new ClientHarness();
    harness.acquire();
    expect(harness.sent.length).toEqual(0);
    harness.client.learnView(VIEW);
    const first = harness.sent[0]?.to;
    harness.client.learnView({ epoch: 2, number: 2, members: CORES.filter((member) => member !== first) });
    expect(harness.sent.length).toEqual(2);
    expect(harness.sent[1]?.to).not.toEqual(first);
    harness.client.learnView(VIEW);
    expect(harness.sent.length).toEqual(2);
  });

  it('refuses further requests while the maximum number of requests are waiting', () => {
    const harness = new ClientHarness();
    for (let count = 0; count < 4096; count += 1) harness.acquire();
    expect(harness.answers.length).toEqual(0);
    harness.acquire();
    expect(harness.answers.length).toEqual(1);
  });
});
