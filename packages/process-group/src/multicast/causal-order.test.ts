import { describe, it } from 'node:test';
import type { Cast } from '@rainrun/messages';
import { expect } from 'earl';
import { VIEW } from '../testing/three-member-view.js';
import { CausalOrder, flushedCastsOf } from './causal-order.js';

function member(incarnation: string): { causal: CausalOrder; delivered: string[] } {
  const delivered: string[] = [];
  const causal = new CausalOrder(VIEW, incarnation, (cast) =>
    delivered.push(`${cast.sender}${cast.sequence}`),
  );
  return { causal, delivered };
}

const EMPTY = new Uint8Array();

describe('causal order', () => {
  it('buffers a cast until the casts that its sender had delivered before it have arrived', () => {
    const [a, b, c] = [member('a'), member('b'), member('c')];
    const first = a.causal.send(EMPTY);
    b.causal.receive(first);
    const answer = b.causal.send(EMPTY);
    c.causal.receive(answer);
    expect(c.delivered).toEqual([]);
    c.causal.receive(first);
    expect(c.delivered).toEqual(['a1', 'b1']);
  });

  it('sends only the changed entries of the causal context', () => {
    const [a, b] = [member('a'), member('b')];
    b.causal.receive(a.causal.send(EMPTY));
    const first = b.causal.send(EMPTY);
    const second = b.causal.send(EMPTY);
    expect([first.contextRank, second.contextRank]).toEqual([[0], []]);
  });

  it('retains a cast until all members have delivered it', () => {
    const [a, b] = [member('a'), member('b')];
    const cast = a.causal.send(EMPTY);
    b.causal.receive(cast);
    expect(b.causal.unstableCount).toEqual(1);
    b.causal.learnDelivered('a', [1, 0, 0]);
    expect(b.causal.unstableCount).toEqual(1);
    b.causal.learnDelivered('c', [1, 0, 0]);
    expect(b.causal.unstableCount).toEqual(0);
  });

  it('drops the casts that the collector reports as delivered everywhere', () => {
    const [a, b] = [member('a'), member('b')];
    b.causal.receive(a.causal.send(EMPTY));
    a.causal.learnDelivered('b', [1, 0, 0]);
    const early = a.causal.stable;
    a.causal.learnDelivered('c', [1, 0, 0]);
    b.causal.learnStable(early);
    const kept = b.causal.unstableCount;
    b.causal.learnStable(a.causal.stable);
    expect([early, kept, b.causal.unstableCount]).toEqual([[0, 0, 0], 1, 0]);
  });

  it('ends a view with the same casts at every member although their sender is gone', () => {
    const [a, b, c] = [member('a'), member('b'), member('c')];
    const one = a.causal.send(EMPTY);
    const two = a.causal.send(EMPTY);
    b.causal.receive(one);
    b.causal.receive(two);
    c.causal.receive(one);
    const flushedCasts = flushedCastsOf(VIEW, [b.causal.stop(), c.causal.stop()]);
    const late = b.causal.stop();
    for (const { causal } of [b, c]) causal.finish(flushedCasts);
    expect(late.length).toEqual(2);
    expect([b.delivered, c.delivered]).toEqual([
      ['a1', 'a2'],
      ['a1', 'a2'],
    ]);
  });

  it('delivers only the agreed casts after it has stopped', () => {
    const [a, b] = [member('a'), member('b')];
    b.causal.stop();
    b.causal.receive(a.causal.send(EMPTY));
    b.causal.finish([]);
    expect(b.delivered).toEqual([]);
  });

  it('orders flushed casts causally, with those whose predecessors are lost at the end', () => {
    function full(sender: string, sequence: number, context: number[]): Cast {
      const cast = member(sender).causal.send(EMPTY);
      return { ...cast, sequence, contextRank: [0, 1, 2], contextCount: context };
    }
    const flushedCasts = flushedCastsOf(VIEW, [
      [full('b', 1, [1, 1, 0]), full('c', 1, [0, 5, 1])],
      [full('a', 1, [1, 0, 0])],
    ]);
    expect(flushedCasts.map((cast) => cast.sender)).toEqual(['a', 'b', 'c']);
  });
});
