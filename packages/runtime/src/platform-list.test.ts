import { beforeEach, describe, it } from 'node:test';
import { MemoryBudget } from '@rainrun/common';
import type { Link, LinkHandler, LinkRequest, LinkSend, ResponseBound } from '@rainrun/gateway';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { BoundedCalls, type CallReply } from './bounded-call.js';
import type { ListPage } from './dialect.js';
import { readWorkerList } from './platform-list.js';

const MEGABYTE = 2 ** 20;
const ADDRESS = '10.0.0.9:8080';

/** A link whose callee is played by `answer`, a turn after each request. */
class ScriptedLink implements Link {
  readonly requests: LinkRequest[] = [];
  aborted = 0;
  answer: (handler: LinkHandler) => void = () => undefined;

  send(request: LinkRequest, handler: LinkHandler): LinkSend {
    this.requests.push(request);
    let isAborted = false;
    setImmediate(() => {
      if (!isAborted) this.answer(handler);
    });
    return {
      received: { part: 'body', bytes: 0, pieces: 0 },
      abort: () => {
        this.aborted += isAborted ? 0 : 1;
        isAborted = true;
      },
      discard: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
    };
  }
}

describe('calls whose replies are bounded', () => {
  let link: ScriptedLink;
  let bounds: ResponseBound[];
  let timers: (() => void)[];
  let memory: MemoryBudget;
  let calls: BoundedCalls;

  beforeEach(() => {
    link = new ScriptedLink();
    bounds = [];
    timers = [];
    memory = new MemoryBudget({
      limitBytes: 16 * MEGABYTE,
      smallBytes: 1000,
      clock: { nowMs: () => 0 },
      eviction: 'largest-owner',
    });
    calls = new BoundedCalls({
      link,
      memory,
      timer: (_delayMs, run) => {
        timers.push(run);
        return () => undefined;
      },
      onExcess: (_address, { bound }) => void bounds.push(bound),
    });
  });

  function call(maxBytes: number): Promise<CallReply | undefined> {
    const request: LinkRequest = {
      address: ADDRESS,
      method: 'GET',
      target: '/x',
      headers: [],
      body: new Uint8Array(),
      stallMs: 100,
    };
    return new Promise((resolve) => calls.call(request, { maxBytes, timeoutMs: 100 }, resolve));
  }

  function replyWith(...pieces: readonly Buffer[]): (handler: LinkHandler) => void {
    return (handler) => {
      handler.head(200, []);
      for (const piece of pieces) handler.chunk(piece);
      handler.end();
    };
  }

  it('are whole within their bound, and hold no memory afterwards', async () => {
    link.answer = replyWith(Buffer.alloc(500, 'a'), Buffer.alloc(500, 'b'));
    expect((await call(1000))?.body).toEqual('a'.repeat(500) + 'b'.repeat(500));
    expect([memory.counts.heldBytes, bounds]).toEqual([0, []]);
  });

  it('are given up beyond it, by bytes or by pieces', async () => {
    link.answer = replyWith(Buffer.alloc(1001));
    expect(await call(1000)).toEqual(undefined);
    link.answer = replyWith(...Array.from({ length: 17 }, () => Buffer.alloc(1)));
    expect(await call(1000)).toEqual(undefined);
    expect([link.aborted, memory.counts.heldBytes, bounds]).toEqual([2, 0, ['body', 'body']]);
  });

  it('are given up after their time, whatever has come', async () => {
    link.answer = (handler) => handler.chunk(Buffer.alloc(10));
    const reply = call(1000);
    timers[0]?.();
    expect([await reply, link.aborted]).toEqual([undefined, 1]);
  });

  it('read a list page by page, and give up one whose pages do not end', async () => {
    const dialect = {
      listPath: (token?: string) => `/list?${token ?? ''}`,
      readPage: (text: string) =>
        Result.ok<ListPage>({ workers: [], next: text === 'last' ? undefined : 'more' }),
    };
    let pages = 0;
    link.answer = (handler) => {
      pages += 1;
      replyWith(Buffer.from(pages === 3 ? 'last' : 'page'))(handler);
    };
    expect((await readWorkerList(ADDRESS, calls, dialect)).isOk).toEqual(true);
    expect(link.requests.map(({ target }) => target)).toEqual(['/list?', '/list?more', '/list?more']);
    const endless = await readWorkerList(ADDRESS, calls, dialect);
    expect(endless.isErr && endless.error.kind).toEqual('wire');
    expect(link.requests.length).toEqual(1003);
  });

  it('refuse a page of more values than a core has room for', async () => {
    link.answer = replyWith(Buffer.from(`[${'{},'.repeat(200_000)}{}]`));
    const dialect = {
      listPath: () => '/list',
      readPage: () => Result.ok<ListPage>({ workers: [], next: undefined }),
    };
    const list = await readWorkerList(ADDRESS, calls, dialect);
    expect(list.isErr && list.error.kind).toEqual('wire');
  });
});
