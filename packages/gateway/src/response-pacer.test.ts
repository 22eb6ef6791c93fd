import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { ResponsePacer, type PacedResponse } from './response-pacer.js';

const SMALL_PIECE_BYTES = 1;

describe('the pacer of responses', () => {
  let turns: (() => void)[];
  let pacer: ResponsePacer;

  beforeEach(() => {
    turns = [];
    pacer = new ResponsePacer((_delayMs, run) => {
      turns.push(run);
      return () => undefined;
    });
  });

  function response(address: string, events: string[]): PacedResponse {
    return {
      address,
      holdUp: () => void events.push(`stop ${address}`),
      readOn: () => void events.push(`go ${address}`),
    };
  }

  function flood(one: PacedResponse): void {
    for (let pieces = 0; pieces < 1000; pieces += 1) pacer.record(one, SMALL_PIECE_BYTES);
  }

  it('never holds up a response of few pieces', () => {
    const events: string[] = [];
    const ordinary = response('a', events);
    for (let pieces = 0; pieces < 200; pieces += 1) pacer.record(ordinary, 4096);
    expect([events, turns.length]).toEqual([[], 0]);
  });

  it('reads one response a turn, and gives workers their turns before the responses of one', () => {
    const events: string[] = [];
    for (const address of ['faulty', 'faulty', 'faulty', 'sound']) flood(response(address, events));
    expect(events).toEqual(['stop faulty', 'stop faulty', 'stop faulty', 'stop sound']);
    events.length = 0;
    for (let turn = 0; turn < 4; turn += 1) {
      expect(turns.length).toEqual(1);
      turns.shift()?.();
    }
    expect(events).toEqual(['go faulty', 'go sound', 'go faulty', 'go faulty']);
    expect(turns.length).toEqual(0);
  });

  it('forgets a response that has ended while it was held up', () => {
    const events: string[] = [];
    const ended = response('a', events);
    flood(ended);
    pacer.forget(ended);
    turns.shift()?.();
    expect(events).toEqual(['stop a']);
  });
});
