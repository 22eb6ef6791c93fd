import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { SeededRandom } from '@rainrun/common';
import { expect } from 'earl';
import { OrderedChannel } from './ordered-channel.js';
import { encodeFrame, decodeFrame, WIRE_VERSION } from './codec.js';
import { AnswerSchema, GoodbyeSchema, FrameSchema, type SequencedMessage } from './gen/rainrun_pb.js';
import { GossipTable } from './gossip.js';

describe('ordered channel', () => {
  it('delivers once and in order over a network that loses, duplicates and reorders', () => {
    const random = new SeededRandom(5);
    const sender = new OrderedChannel();
    const receiver = new OrderedChannel();
    const delivered: string[] = [];
    let inTransit: { to: OrderedChannel; message: SequencedMessage }[] = [];
    function transmit(to: OrderedChannel, messages: SequencedMessage[]): void {
      for (const message of messages) {
        const copies = random.next() < 0.3 ? 0 : random.next() < 0.2 ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) inTransit.push({ to, message: { ...message } });
      }
    }
    for (let index = 0; index < 300; index += 1)
      sender.post({ case: 'answer', value: create(AnswerSchema, { id: String(index) }) });
    for (let nowMs = 0; nowMs < 60_000 && delivered.length < 300; nowMs += 50) {
      transmit(receiver, sender.tick(nowMs));
      transmit(sender, receiver.tick(nowMs));
      const due = inTransit.sort(() => random.next() - 0.5);
      inTransit = [];
      for (const { to, message } of due) {
        for (const body of to.receive(message)) if (body.case === 'answer') delivered.push(body.value.id);
      }
    }
    expect(delivered).toEqual(Array.from({ length: 300 }, (_, index) => String(index)));
  });

  it('reports the lag of the other end without the time for which its own process was suspended', () => {
    const channel = new OrderedChannel();
    channel.post({ case: 'answer', value: create(AnswerSchema) });
    channel.tick(0);
    expect(channel.lagMs(3000)).toEqual(3000);
    channel.excludeSuspension(2500);
    expect(channel.lagMs(3000)).toEqual(500);
  });

  it('rejects a body once 4096 are queued', () => {
    const channel = new OrderedChannel();
    const accepts = Array.from({ length: 5000 }, () =>
      channel.post({ case: 'answer', value: create(AnswerSchema) }),
    );
    expect(accepts.filter((isAccepted) => isAccepted).length).toEqual(4096);
  });
});

describe('codec', () => {
  const frame = create(FrameSchema, {
    wire: WIRE_VERSION,
    deployment: 'd',
    from: 'a',
    body: { case: 'goodbye', value: create(GoodbyeSchema) },
  });

  it('decodes a frame that it encoded', () => {
    const read = decodeFrame(encodeFrame(frame), 'd');
    expect(read.isOk && read.value.from).toEqual('a');
  });

  it('rejects frames that are malformed, of another wire version or of another deployment', () => {
    const kinds = [
      decodeFrame(new Uint8Array([255, 255, 255]), 'd'),
      decodeFrame(encodeFrame({ ...frame, wire: WIRE_VERSION + 1 }), 'd'),
      decodeFrame(encodeFrame(create(FrameSchema, { wire: WIRE_VERSION, deployment: 'd', from: 'a' })), 'd'),
      decodeFrame(encodeFrame(frame), 'other'),
    ].map((read) => (read.isErr ? read.error.kind : 'accepted'));
    expect(kinds).toEqual(['wire', 'wire', 'wire', 'foreign']);
  });
});

describe('gossip', () => {
  it('repairs differences from the newer replica, whichever side sends the digest', () => {
    const one = new GossipTable(new SeededRandom(1), () => undefined);
    const other = new GossipTable(new SeededRandom(2), () => undefined);
    one.publish('a', 1, 5, new Uint8Array([1]));
    other.publish('a', 2, 0, new Uint8Array([2]));
    one.publish('b', 1, 0, new Uint8Array([3]));
    const digest = one.tick(['x']).find((frame) => frame.body.case === 'gossipDigest');
    const repair = digest?.body.case === 'gossipDigest' ? other.onDigest(digest.body.value) : undefined;
    const answer = repair === undefined ? undefined : one.onRepair(repair);
    if (answer !== undefined) other.onRepair(answer);
    expect([one.get('a')?.value, other.get('a')?.value, other.get('b')?.value]).toEqual([
      new Uint8Array([2]),
      new Uint8Array([2]),
      new Uint8Array([3]),
    ]);
  });

  it('never replaces an item by an older one', () => {
    const table = new GossipTable(new SeededRandom(1), () => undefined);
    table.publish('a', 2, 0, new Uint8Array([2]));
    table.publish('a', 1, 9, new Uint8Array([1]));
    expect(table.get('a')?.value).toEqual(new Uint8Array([2]));
  });
});
