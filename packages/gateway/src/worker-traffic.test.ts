import { describe, it } from 'node:test';
import { expect } from 'earl';
import { WorkerTraffic } from './worker-traffic.js';

describe('worker traffic', () => {
  it('names the worker that sent the most since the last reading', () => {
    const traffic = new WorkerTraffic();
    traffic.record('a', 10, true);
    traffic.record('b', 1, true);
    traffic.record('b', 30, false);
    expect(traffic.takeBusiest()).toEqual({ address: 'b', bytes: 31, pieces: 2, unneededBytes: 30 });
    traffic.record('a', 5, true);
    expect(traffic.takeBusiest()).toEqual({ address: 'a', bytes: 5, pieces: 1, unneededBytes: 0 });
    expect(traffic.takeBusiest()).toEqual(undefined);
    expect({ ...traffic.total }).toEqual({ bytes: 46, pieces: 4, unneededBytes: 30 });
  });
});
