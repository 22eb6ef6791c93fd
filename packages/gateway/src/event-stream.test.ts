import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EventStreamValidator } from './event-stream.js';

const MAX_EVENT_BYTES = 1024 * 1024;

describe('the validator of event streams', () => {
  it('gives up an event that does not end in pieces of one byte', { timeout: 20_000 }, async () => {
    const validator = new EventStreamValidator();
    const piece = Buffer.from('x');
    let pieces = 0;
    while ('events' in validator.take(piece)) {
      pieces += 1;
      // The timeout of the test needs a turn of the loop now and then.
      if (pieces % 1000 === 0) await new Promise((resolve) => setImmediate(resolve));
    }
    expect(pieces).toEqual(MAX_EVENT_BYTES);
  });

  it('returns the same events wherever the bytes are split', () => {
    const text = 'data: {"a":1}\n\ndata: b\ndata: c\n\ndata: [DONE]\n\n';
    for (let at = 0; at <= text.length; at += 1) {
      const validator = new EventStreamValidator();
      const events = [text.slice(0, at), text.slice(at)].map((part) => {
        const result = part === '' ? { events: Buffer.alloc(0) } : validator.take(Buffer.from(part));
        return 'events' in result ? result.events.toString() : result.violation;
      });
      expect([events.join(''), validator.isComplete]).toEqual([
        'data: {"a":1}\n\ndata: b\ndata: c\n\n',
        true,
      ]);
    }
  });
});
