import { describe, it } from 'node:test';
import { FAULT_RESPONSES } from '@rainrun/common';
import { expect } from 'earl';
import { RevocationGuard } from './revocation-guard.js';

const WITHIN_MS = 2500;

function outcome(guard: RevocationGuard, nowMs: number): string {
  return guard.admit(nowMs).match({ Ok: () => 'served', Err: ({ kind }) => kind });
}

describe('API keys on a partitioned edge with strict revocations', () => {
  it('are served until the bound has passed since the edge was last known to be current', () => {
    const guard = new RevocationGuard({ strict: true, withinMs: WITHIN_MS });
    guard.onCurrent(1000);
    expect([1000, 3499, 3500, 9000].map((nowMs) => outcome(guard, nowMs))).toEqual([
      'served',
      'served',
      'not-admitting',
      'not-admitting',
    ]);
  });

  it('are served again once a core with a lease has answered', () => {
    const guard = new RevocationGuard({ strict: true, withinMs: WITHIN_MS });
    guard.onCurrent(1000);
    expect(outcome(guard, 5000)).toEqual('not-admitting');
    guard.onCurrent(4900);
    expect(outcome(guard, 5000)).toEqual('served');
  });

  it('are not served before a core has answered', () => {
    const guard = new RevocationGuard({ strict: true, withinMs: WITHIN_MS });
    expect([0, 10_000].map((nowMs) => outcome(guard, nowMs))).toEqual(['not-admitting', 'not-admitting']);
  });

  it('are not served for longer after a confirmation of an earlier time, nor after a long suspension', () => {
    const guard = new RevocationGuard({ strict: true, withinMs: WITHIN_MS });
    guard.onCurrent(1000);
    guard.onCurrent(6000);
    guard.onCurrent(2000);
    expect([8499, 8500].map((nowMs) => outcome(guard, nowMs))).toEqual(['served', 'not-admitting']);
    const resumed = new RevocationGuard({ strict: true, withinMs: WITHIN_MS });
    resumed.onCurrent(1000);
    expect(outcome(resumed, 30_000)).toEqual('not-admitting');
  });

  it('are rejected with status 503, a retry after 1 s and the statement that nothing has run', () => {
    const guard = new RevocationGuard({ strict: true, withinMs: 0 });
    guard.onCurrent(7);
    expect(outcome(guard, 7)).toEqual('not-admitting');
    expect(FAULT_RESPONSES['not-admitting']).toEqual({ status: 503, ran: 'no', retryAfterS: 1 });
  });
});

describe('API keys on a partitioned edge without strict revocations', () => {
  it('are served however long the partition lasts', () => {
    const guard = new RevocationGuard({ strict: false, withinMs: WITHIN_MS });
    expect(outcome(guard, 0)).toEqual('served');
    guard.onCurrent(1000);
    expect(outcome(guard, 100_000)).toEqual('served');
  });
});
