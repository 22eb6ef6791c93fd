import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { SeededRandom } from '@rainrun/common';
import { expect } from 'earl';
import { OrderedChannel } from './ordered-channel.js';
import { encodeFrame, decodeFrame, WIRE_VERSION } from './codec.js';
import { AnswerSchema, GoodbyeSchema, FrameSchema, type SequencedMessage } from './gen/rainrun_pb.js';
import { GossipTable } from './gossip.js';

describe('channel', () => {
  it('delivers once and in order over a network that loses, doubles and turns round', () => {
    const dice = new SeededRandom(5);
    const near = new OrderedChannel();
    const far = new OrderedChannel();
    const got: string[] = [];
    let wires: { to: OrderedChannel; parcel: SequencedMessage }[] = [];
    function carry(to: OrderedChannel, parcels: SequencedMessage[]): void {
      for (const parcel of parcels) {
        const copies = dice.next() < 0.3 ? 0 : dice.next() < 0.2 ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) wires.push({ to, parcel: { ...parcel } });
      }
    }
    for (let place = 0; place < 300; place += 1)
      near.post({ case: 'answer', value: create(AnswerSchema, { id: String(place) }) });
    for (let nowMs = 0; nowMs < 60_000 && got.length < 300; nowMs += 50) {
      carry(far, near.tick(nowMs));
      carry(near, far.tick(nowMs));
      const due = wires.sort(() => dice.next() - 0.5);
      wires = [];
      for (const { to, parcel } of due) {
        for (const body of to.receive(parcel)) if (body.case === 'answer') got.push(body.value.id);
      }
    }
    expect(got).toEqual(Array.from({ length: 300 }, (_, place) => String(place)));
  });

  it('reports its lag, and does not count its own sleep', () => {
    const channel = new OrderedChannel();
    channel.post({ case: 'answer', value: create(AnswerSchema) });
    channel.tick(0);
    expect(channel.lagMs(3000)).toEqual(3000);
    channel.slept(2500);
    expect(channel.lagMs(3000)).toEqual(500);
  });

  it('refuses more than its bound', () => {
    const channel = new OrderedChannel();
    const takes = Array.from({ length: 5000 }, () =>
      channel.post({ case: 'answer', value: create(AnswerSchema) }),
    );
    expect(takes.filter((taken) => taken).length).toEqual(4096);
  });
});

describe('codec', () => {
  const frame = create(FrameSchema, {
    wire: WIRE_VERSION,
    deployment: 'd',
    from: 'a',
    body: { case: 'goodbye', value: create(GoodbyeSchema) },
  });

  it('reads back what it packed', () => {
    const read = decodeFrame(encodeFrame(frame), 'd');
    expect(read.isOk && read.value.from).toEqual('a');
  });

  it('refuses what is malformed, of another version or of another deployment', () => {
    const kinds = [
      decodeFrame(new Uint8Array([255, 255, 255]), 'd'),
      decodeFrame(encodeFrame({ ...frame, wire: WIRE_VERSION + 1 }), 'd'),
      decodeFrame(encodeFrame(create(FrameSchema, { wire: WIRE_VERSION, deployment: 'd', from: 'a' })), 'd'),
      decodeFrame(encodeFrame(frame), 'other'),
    ].map((read) => (read.isErr ? read.error.kind : 'taken'));
    expect(kinds).toEqual(['wire', 'wire', 'wire', 'foreign']);
  });
});

describe('news', () => {
  it('mends gaps from the newer copy, whichever side asks', () => {
    const one = new GossipTable(new SeededRandom(1), () => undefined);
    const other = new GossipTable(new SeededRandom(2), () => undefined);
    one.publish('a', 1, 5, new Uint8Array([1]));
    other.publish('a', 2, 0, new Uint8Array([2]));
    one.publish('b', 1, 0, new Uint8Array([3]));
    const digest = one.tick(['x']).find((post) => post.body.case === 'gossipDigest');
    const mend = digest?.body.case === 'gossipDigest' ? other.onDigest(digest.body.value) : undefined;
    const back = mend === undefined ? undefined : one.onRepair(mend);
    if (back !== undefined) other.onRepair(back);
    expect([one.get('a')?.value, other.get('a')?.value, other.get('b')?.value]).toEqual([
      new Uint8Array([2]),
      new Uint8Array([2]),
      new Uint8Array([3]),
    ]);
  });

  it('never takes an older item', () => {
    const board = new GossipTable(new SeededRandom(1), () => undefined);
    board.publish('a', 2, 0, new Uint8Array([2]));
    board.publish('a', 1, 9, new Uint8Array([1]));
    expect(board.get('a')?.value).toEqual(new Uint8Array([2]));
  });
});
