import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { ResponseExcess } from '@rainrun/gateway';
import { ResponseExcessLog } from './response-excess-log.js';

const EXCESS: ResponseExcess = { bound: 'body', part: 'body', bytes: 10, pieces: 2 };

describe('the log of responses that were stopped at a bound', () => {
  it('has one line at the first of a worker and bound, and one for all further ones at each flush', () => {
    const lines: object[] = [];
    const log = { debug: () => undefined, info: () => undefined, error: () => undefined };
    const excessLog = new ResponseExcessLog({ ...log, warn: (data) => void lines.push(data) });
    for (let response = 0; response < 5; response += 1) excessLog.record('w1', EXCESS);
    excessLog.record('w2', EXCESS);
    expect(lines.length).toEqual(2);
    expect(lines[0]).toEqual({ worker: 'w1', ...EXCESS, responses: 1 });
    excessLog.flush();
    expect(lines.slice(2)).toEqual([{ worker: 'w1', bound: 'body', bytes: 50, pieces: 10, responses: 5 }]);
    excessLog.flush();
    excessLog.record('w1', EXCESS);
    expect(lines.length).toEqual(4);
    expect(excessLog.total).toEqual(7);
  });
});
