import { describe, it } from 'node:test';
import { WorkerTable } from '@rainrun/placement';
import { expect } from 'earl';
import { WorkerHealth } from './worker-health.js';

const ZONES = ['north', 'south'] as const;
const REPORT_INTERVAL_MS = 250;

/** The workers of one service, and the outcomes that the edges of two zones report about them. */
class HealthHarness {
  readonly table = new WorkerTable();
  readonly health = new WorkerHealth();
  nowMs = 1000;
  /** Number of requests sent to each worker, within its limits. */
  readonly sent = new Map<string, number>();

  constructor(workers: number) {
    const listed = Array.from({ length: workers }, (_, index) => ({
      id: `w${index}`,
      service: 'assist',
      address: `10.0.0.${index}:80`,
      zone: 'north',
      slots: 8,
      draining: false,
      warmUpMs: 0,
      models: new Map<string, Set<string>>(),
    }));
    this.table.learn(listed, this.nowMs);
  }

  /**
   * Sends each worker `each` requests per zone and report, within its limits; `failing` selects those that
   * fail.
   */
  run(forMs: number, each: number, failing: (worker: string, zone: string, nth: number) => boolean): void {
    let nth = 0;
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += REPORT_INTERVAL_MS) {
      for (const zone of ZONES)
        for (const row of this.table.rows) {
          const share = (row.limits.get(zone) ?? 100) / 100;
          const requests = Math.round(each * share);
          this.sent.set(row.id, (this.sent.get(row.id) ?? 0) + requests);
          let failed = 0;
          for (let request = 0; request < requests; request += 1)
            if (failing(row.id, zone, (nth += 1))) failed += 1;
          this.health.record(zone, [{ worker: row.id, answered: requests - failed, failed }], this.nowMs);
        }
      this.health.evaluate(this.table, this.nowMs);
    }
  }

  limited(zone: string): string[] {
    return [...this.table.rows].filter((row) => row.limits.has(zone)).map(({ id }) => id);
  }
}

function noFailures(): boolean {
  return false;
}

describe('the health of workers', () => {
  it('ejects a worker that fails all its requests within half a second, and no other worker', () => {
    const harness = new HealthHarness(8);
    harness.run(500, 4, (worker) => worker === 'w3');
    expect([harness.limited('north'), harness.limited('south')]).toEqual([['w3'], ['w3']]);
  });

  it('ejects a worker that fails two of five requests', () => {
    const harness = new HealthHarness(8);
    harness.run(2000, 4, (worker, _zone, nth) => worker === 'w3' && nth % 5 < 2);
    expect(harness.limited('north')).toEqual(['w3']);
  });

  it('ejects a worker only for the zone whose requests it fails', () => {
    const harness = new HealthHarness(8);
    harness.run(1000, 4, (worker, zone) => worker === 'w3' && zone === 'south');
    expect([harness.limited('north'), harness.limited('south')]).toEqual([[], ['w3']]);
  });

  it('ejects no worker if all workers fail the same small fraction of their requests', () => {
    const harness = new HealthHarness(8);
    let limited = 0;
    for (let second = 0; second < 60; second += 1) {
      harness.run(1000, 10, (_worker, _zone, nth) => (nth * 7919) % 250 === 0);
      limited += harness.limited('north').length + harness.limited('south').length;
    }
    expect(limited).toEqual(0);
  });

  it('ejects no worker if all workers fail half of their requests', () => {
    const harness = new HealthHarness(8);
    harness.run(3000, 4, (_worker, _zone, nth) => nth % 2 === 0);
    expect(harness.limited('north')).toEqual([]);
  });

  it('ejects at most a third of the workers of a service', () => {
    const harness = new HealthHarness(9);
    harness.run(4000, 6, (worker) => ['w0', 'w1', 'w2', 'w3'].includes(worker));
    expect(harness.limited('north').length).toEqual(3);
  });

  it('readmits a worker in steps, and ejects one that still fails for longer each time', () => {
    const harness = new HealthHarness(8);
    harness.run(500, 40, (worker) => worker === 'w3');
    harness.run(2000, 40, noFailures);
    const percents = new Set<number>();
    for (let step = 0; step < 8; step += 1) {
      percents.add(harness.table.row('w3')?.limits.get('north') ?? 100);
      harness.run(REPORT_INTERVAL_MS, 40, noFailures);
    }
    expect([...percents]).toEqual([10, 40, 100]);

    harness.sent.clear();
    harness.run(20_000, 40, (worker) => worker === 'w3');
    expect((harness.sent.get('w3') ?? 0) < 0.1 * (harness.sent.get('w4') ?? 0)).toEqual(true);
  });
});
