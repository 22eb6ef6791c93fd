import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  MemberSchema,
  QuotaHandoverSchema,
  QuotaNeedSchema,
  type Member,
  type QuotaAnswer,
} from '@rainrun/messages';
import { expect } from 'earl';
import { allocatorOf } from './allocator-choice.js';
import { QuotaAllocator, type QuotaView } from './allocator.js';
import { quotaBudget, reserveIntervalMs, windowBound } from './quota-budget.js';

const BOUNDS = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const LIMIT = { name: 'tenant-1', ratePerS: 10, burst: 10 };
const LEASE_MS = 600;
const TAKEOVER_WAIT_MS = 660;
const BUDGET = quotaBudget(LIMIT, BOUNDS);
const RESERVE_INTERVAL_MS = reserveIntervalMs(BOUNDS, LEASE_MS);
const RESERVE = Math.floor(BUDGET.reserve);

function core(name: string, incarnation = name): Member {
  return create(MemberSchema, { name, incarnation, disk: `disk-${name}` });
}

const CORES = ['a', 'b', 'c'].map((name) => core(name));
/** The core that allocates the tenant's quota, and the one that takes over if that core leaves the view. */
const OWNER = allocatorOf(LIMIT.name, CORES) ?? core('none');
const WITHOUT_OWNER = CORES.filter((member) => member !== OWNER);
const SUCCESSOR = allocatorOf(LIMIT.name, WITHOUT_OWNER) ?? core('none');

function view(number: number, members: readonly Member[] = CORES): QuotaView {
  return { epoch: 1, number, members };
}

function allocatorAt(nowMs: number): QuotaAllocator {
  const allocator = new QuotaAllocator({ bounds: BOUNDS, leaseMs: LEASE_MS });
  allocator.updateLimits([LIMIT], nowMs);
  return allocator;
}

/** An allocator in a view that was committed at time 0, so that the tenant's bucket is full by 20,000 ms. */
function settledAllocator(member = OWNER, members: readonly Member[] = CORES): QuotaAllocator {
  const allocator = allocatorAt(0);
  allocator.onView(view(1, members), member.incarnation, 0);
  allocator.onViewCommitted(view(1), 0);
  return allocator;
}

function ask(allocator: QuotaAllocator, permits: number, nowMs: number, holdsLease = true): QuotaAnswer {
  const need = create(QuotaNeedSchema, { tenant: LIMIT.name, permits });
  const [answer] = allocator.answer([need], holdsLease, nowMs);
  expect(answer).not.toEqual(undefined);
  return answer as QuotaAnswer;
}

describe('quota allocator', () => {
  it('grants the burst and the jitter allowance, then one permit at a time with a retry interval', () => {
    const allocator = settledAllocator();
    const depth = Math.floor(BUDGET.bucket.depth);
    expect(ask(allocator, 100, 20_000).granted).toEqual(depth);
    const refused = ask(allocator, 1, 20_000);
    expect([refused.granted, refused.unavailable]).toEqual([0, false]);
    expect(refused.retryAfterMs).toSatisfy((ms: number) => ms > 0 && ms <= 100);
    expect(ask(allocator, 1, 20_000 + refused.retryAfterMs).granted).toEqual(1);
  });

  it('grants nothing without the lease, for unknown tenants or for tenants of other allocators', () => {
    expect(ask(settledAllocator(), 1, 20_000, false).unavailable).toEqual(true);
    expect(ask(settledAllocator(SUCCESSOR), 1, 20_000).unavailable).toEqual(true);
    const other = create(QuotaNeedSchema, { tenant: 'unknown', permits: 1 });
    expect(settledAllocator().answer([other], true, 20_000)[0]?.unavailable).toEqual(true);
  });

  it('grants all requested permits of a tenant without a limit', () => {
    const allocator = settledAllocator();
    allocator.updateLimits([{ ...LIMIT, ratePerS: 0 }], 20_000);
    expect(ask(allocator, 500, 20_000).granted).toEqual(500);
  });

  it('waits after a takeover until a lease has passed since the commit of the view, then starts empty', () => {
    const allocator = settledAllocator(SUCCESSOR);
    const { incarnation } = SUCCESSOR;
    expect(allocator.onView(view(2, WITHOUT_OWNER), incarnation, 20_000)).toEqual([]);
    expect(ask(allocator, 100, 20_100).granted).toEqual(RESERVE);
    expect(ask(allocator, 1, 29_000)).toLooseEqual({ ...ask(allocator, 1, 29_000), unavailable: true });
    allocator.onViewCommitted(view(2), 30_000);
    expect(ask(allocator, 1, 30_000 + TAKEOVER_WAIT_MS).granted).toEqual(0);
    const later = ask(allocator, 100, 30_000 + TAKEOVER_WAIT_MS + 1000);
    expect(later.granted).toSatisfy((count: number) => count >= 10 && count <= 11);
    expect(later.unavailable).toEqual(true);
  });

  it('refuses nothing as over the quota for four seconds after a takeover if the bucket is not yet full', () => {
    const allocator = settledAllocator(SUCCESSOR);
    allocator.onView(view(2, WITHOUT_OWNER), SUCCESSOR.incarnation, 20_000);
    allocator.onViewCommitted(view(2), 20_000);
    for (let afterMs = 0; afterMs < 4000; afterMs += 500)
      expect(ask(allocator, 100, 20_000 + TAKEOVER_WAIT_MS + afterMs).unavailable).toEqual(true);
    const after = ask(allocator, 100, 20_000 + TAKEOVER_WAIT_MS + 4000);
    expect(after.unavailable).toEqual(false);
    expect(after.retryAfterMs).toSatisfy((ms: number) => ms > 0);
  });

  it('uses a reserve only if the previous view was committed for at least the reserve interval', () => {
    const newAllocator = allocatorAt(20_000);
    newAllocator.onView(view(2, WITHOUT_OWNER), SUCCESSOR.incarnation, 20_000);
    expect(ask(newAllocator, 100, 20_100).granted).toEqual(0);

    const early = settledAllocator(SUCCESSOR);
    early.onView(view(2, WITHOUT_OWNER), SUCCESSOR.incarnation, RESERVE_INTERVAL_MS - 1);
    expect(ask(early, 100, RESERVE_INTERVAL_MS).granted).toEqual(0);

    const allocator = settledAllocator(SUCCESSOR);
    allocator.onView(view(2, WITHOUT_OWNER), SUCCESSOR.incarnation, RESERVE_INTERVAL_MS);
    expect(ask(allocator, 100, RESERVE_INTERVAL_MS + 100).granted).toEqual(RESERVE);
    allocator.onView(view(3), SUCCESSOR.incarnation, RESERVE_INTERVAL_MS + 200);
    allocator.onView(view(4, WITHOUT_OWNER), SUCCESSOR.incarnation, 20_000);
    expect(ask(allocator, 100, 20_100).granted).toEqual(0);
  });

  it('grants no reserve when configuration changes remove a limit and restore it', () => {
    const allocator = settledAllocator(SUCCESSOR);
    allocator.onView(view(2, WITHOUT_OWNER), SUCCESSOR.incarnation, 20_000);
    ask(allocator, 100, 20_000);
    allocator.updateLimits([{ ...LIMIT, ratePerS: 0 }], 20_010);
    allocator.updateLimits([LIMIT], 20_020);
    expect(ask(allocator, 100, 20_030).granted).toEqual(0);
  });

  it('stops granting and hands over its level when a core that ranks higher joins', () => {
    const allocator = settledAllocator(SUCCESSOR, WITHOUT_OWNER);
    ask(allocator, 3, 20_000);
    const orders = allocator.onView(view(2), SUCCESSOR.incarnation, 20_000);
    expect(orders.map(({ to }) => to.name)).toEqual([OWNER.name]);
    expect(ask(allocator, 1, 20_000).unavailable).toEqual(true);

    const joined = allocatorAt(19_000);
    joined.onView(view(2), OWNER.incarnation, 20_010);
    expect(ask(joined, 1, 20_020).granted).toEqual(0);
    for (const { handover } of orders) joined.onHandover(handover, 20_030);
    expect(ask(joined, 100, 20_030).granted).toEqual(Math.floor(BUDGET.bucket.depth - 3));
  });

  it('keeps a handover that arrives before its view, and ignores a handover for another view', () => {
    const levels = [{ tenant: LIMIT.name, level: 4 }];
    const handover = create(QuotaHandoverSchema, { viewEpoch: 1, viewNumber: 2, levels });
    const early = allocatorAt(0);
    early.onHandover(handover, 10);
    early.onView(view(2), OWNER.incarnation, 20);
    expect(ask(early, 100, 20).granted).toEqual(4);

    const later = allocatorAt(0);
    later.onView(view(3), OWNER.incarnation, 20);
    later.onHandover(handover, 30);
    expect(ask(later, 100, 40).granted).toEqual(0);
  });

  it('hands nothing over while its own takeover is still waiting', () => {
    const allocator = allocatorAt(0);
    allocator.onView(view(1, WITHOUT_OWNER), SUCCESSOR.incarnation, 0);
    allocator.onViewCommitted(view(1), 0);
    expect(allocator.onView(view(2), SUCCESSOR.incarnation, TAKEOVER_WAIT_MS - 1)).toEqual([]);
  });

  it('starts with an empty bucket after a gap in the views or under a new incarnation', () => {
    const gap = settledAllocator();
    gap.onView(view(3), OWNER.incarnation, 3000);
    expect(ask(gap, 100, 3000).granted).toEqual(0);
    const again = settledAllocator();
    const members = CORES.map((member) => (member === OWNER ? core(OWNER.name, 'again') : member));
    again.onView(view(2, members), 'again', 3000);
    expect(ask(again, 100, 3000).granted).toEqual(0);
  });

  it('continues without a wait if it stays the allocator in the next view', () => {
    const allocator = settledAllocator();
    allocator.onView(view(2, [...CORES, core('d-edge')]), OWNER.incarnation, 20_000);
    expect(ask(allocator, 3, 20_000).granted).toEqual(3);
    allocator.onView(view(2, [...CORES, core('d-edge')]), OWNER.incarnation, 20_010);
    expect(ask(allocator, 3, 20_010).granted).toEqual(3);
  });

  it('caps the level at a lowered limit, and grants no new burst to a tenant that was removed and added', () => {
    const allocator = settledAllocator();
    const lower = { ...LIMIT, ratePerS: 1, burst: 1 };
    allocator.updateLimits([lower], 20_000);
    const depth = Math.floor(quotaBudget(lower, BOUNDS).bucket.depth);
    expect(ask(allocator, 100, 20_000).granted).toEqual(depth);
    allocator.updateLimits([], 20_010);
    expect(ask(allocator, 1, 20_010).unavailable).toEqual(true);
    allocator.updateLimits([LIMIT], 20_020);
    expect(ask(allocator, 100, 20_020).granted).toEqual(0);
  });

  it('stays within the bound when a limit with a spent burst changes to less burst and a higher rate', () => {
    const allocator = settledAllocator();
    const deep = { ...LIMIT, ratePerS: 1, burst: 500 };
    const steep = { ...LIMIT, ratePerS: 100, burst: 0 };
    allocator.updateLimits([deep], 20_000);
    let spent = 0;
    for (let nowMs = 20_000; nowMs <= 600_000; nowMs += 100_000) spent = ask(allocator, 1000, nowMs).granted;
    allocator.updateLimits([steep], 620_000);
    for (let nowMs = 620_000; nowMs < 620_000 + BOUNDS.windowMs; nowMs += 20) {
      spent += ask(allocator, 1000, nowMs).granted;
      expect(spent <= Math.max(windowBound(deep, BOUNDS), windowBound(steep, BOUNDS))).toEqual(true);
    }
  });

  it('does not refill the bucket of a removed tenant before the tenant is added again', () => {
    const allocator = settledAllocator();
    ask(allocator, 100, 20_000);
    allocator.updateLimits([], 20_010);
    allocator.updateLimits([LIMIT], 23_000);
    expect(ask(allocator, 100, 23_000).granted).toEqual(0);
  });

  it('starts a new tenant empty, and without a wait if the view was committed more than a lease ago', () => {
    const allocator = allocatorAt(0);
    allocator.updateLimits([], 0);
    allocator.onView(view(1), OWNER.incarnation, 0);
    allocator.onViewCommitted(view(1), 0);
    allocator.updateLimits([LIMIT], 4000);
    expect(ask(allocator, 100, 4000).granted).toEqual(0);
    expect(ask(allocator, 100, 4500).granted).toEqual(5);
  });
});
