import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EventSplitter } from './event-splitter.js';

/**
 * The events returned for a stream that arrives in these chunks, and the number of bytes left in the buffer.
 */
function split(...chunks: readonly string[]): { parts: string[]; ids: (string | undefined)[]; rest: number } {
  const splitter = new EventSplitter();
  const parts: string[] = [];
  const ids: (string | undefined)[] = [];
  for (const chunk of chunks) {
    const events = splitter.take(Buffer.from(chunk));
    if (events === 'endless') parts.push('endless');
    else if (events.bytes.length > 0) {
      parts.push(events.bytes.toString());
      ids.push(events.lastId);
    }
  }
  return { parts, ids, rest: splitter.incompleteBytes };
}

describe('the event splitter', () => {
  it('returns complete events, several at once, and buffers the rest', () => {
    expect(split('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3')).toEqual({
      parts: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n'],
      ids: ['2'],
      rest: 5,
    });
  });

  it('returns the same events wherever the bytes are split into chunks', () => {
    const text = 'id: 1\ndata: a\n\n: note\n\nid: 22\ndata: b\ndata: c\n\n';
    const wrong: number[] = [];
    for (let at = 0; at <= text.length; at += 1) {
      const { parts, ids, rest } = split(text.slice(0, at), text.slice(at));
      if (parts.join('') !== text || ids.at(-1) !== '22' || rest !== 0) wrong.push(at);
    }
    const single = split(...text.split(''));
    expect([wrong, single.parts.join(''), single.ids.at(-1), single.parts.length]).toEqual([
      [],
      text,
      '22',
      3,
    ]);
  });

  it('gives up an event that does not end in pieces of one byte, without going over its bytes again', () => {
    const splitter = new EventSplitter();
    const piece = Buffer.from('x');
    let pieces = 0;
    while (splitter.take(piece) !== 'endless') pieces += 1;
    expect(pieces).toEqual(1024 * 1024);
  });

  it('ends an event whose empty line is split between pieces after many other lines', () => {
    expect(split('data: a\n', 'data: b\r', '\n', '\r', '\nid: 2').parts).toEqual([
      'data: a\ndata: b\r\n\r\n',
    ]);
    expect(split('\n', 'data: a\n\n').parts).toEqual(['\ndata: a\n\n']);
  });

  it('accepts lines that end with carriage return and line feed', () => {
    const text = 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n';
    const single = split(...text.split(''));
    expect([single.parts.length, single.parts.join(''), single.ids]).toEqual([2, text, ['1', '2']]);
  });

  it('returns the last id of the events, also without a space after the colon, or none', () => {
    expect(split('id:7\ndata: a\n\ndata: no id\n\n').ids).toEqual(['7']);
    expect(split('data: a id: 9\n\n').ids).toEqual([undefined]);
    expect(split('data: x\nid: 4\n\n').ids).toEqual(['4']);
  });

  it('leaves bytes that are not valid text unchanged', () => {
    const bytes = Buffer.from([100, 97, 116, 97, 58, 0, 255, 254, 10, 10]);
    const events = new EventSplitter().take(bytes);
    expect(events === 'endless' ? [] : [...events.bytes]).toEqual([...bytes]);
  });

  it('rejects an event that exceeds the buffer limit', () => {
    const parts = split(...Array.from({ length: 20 }, () => 'x'.repeat(100_000))).parts;
    expect(parts.includes('endless')).toEqual(true);
  });
});
