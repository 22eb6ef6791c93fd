import { describe, it } from 'node:test';
import { readSpec, type Spec } from '@rainrun/configuration';
import { expect } from 'earl';
import { Backlog } from './backlog.js';
import { RetryBudget } from './retry-budget.js';
import { Catalogue } from './catalogue.js';
import { Gateway } from './gateway.js';
import type { GatewayRequestInit, GatewayWorker } from './dependencies.js';
import type { SendHandler, Sender, Sending, SendRequest } from './sender.js';
import { DrainRate } from './drain-rate.js';
import { StreamWatch } from './stream.js';
import type { GatewayResponseSink } from './gateway-request.js';

const SPEC_TEXT = JSON.stringify({
  deployment: 'd',
  zones: ['z1', 'z2'],
  store: { pullsPerMinute: 60, concurrentPulls: 2 },
  workers: { roomMb: 1000, slots: 2 },
  models: [{ name: 'm', sizeMb: 400 }],
  adapters: [],
  groups: [
    { name: 'g', share: 3, kinds: [{ name: 'k', targetMs: 100, patienceMs: 1000 }], models: ['*'] },
    { name: 'h', share: 1, kinds: [{ name: 'k', targetMs: 100, patienceMs: 1000 }], models: ['*'] },
  ],
  routes: [
    { path: '/chat', serve: 'chat' },
    { path: '/look', serve: 'lookup', pool: 'desks' },
  ],
});

function specOf(): Spec {
  const read = readSpec(SPEC_TEXT);
  return read.isOk ? read.value : ({} as Spec);
}

class Flown implements Sending {
  readonly request: SendRequest;
  readonly handler: SendHandler;
  aborted = false;
  constructor(request: SendRequest, handler: SendHandler) {
    this.request = request;
    this.handler = handler;
  }
  abort(): void {
    this.aborted = true;
  }
  pause(): void {
    this.aborted ||= false;
  }
  resume(): void {
    this.aborted ||= false;
  }
}

class Port implements GatewayResponseSink {
  readonly seen: string[] = [];
  respond(status: number, _type: string, body: Uint8Array): void {
    this.seen.push(`${status} ${Buffer.from(body).toString()}`);
  }
  reject(why: { kind: string }): void {
    this.seen.push(why.kind);
  }
  open(): void {
    this.seen.push('open');
  }
  write(bytes: Uint8Array): boolean {
    this.seen.push(Buffer.from(bytes).toString().trim());
    return true;
  }
  close(): void {
    this.seen.push('close');
  }
  abort(): void {
    this.seen.push('cut');
  }
}

class Stand implements Sender {
  nowMs = 0;
  granted = true;
  spec = specOf();
  edges = ['edge'];
  incarnation = 'incarnation-1';
  workers: GatewayWorker[] = [
    this.worker('w1', 'models'),
    this.worker('d1', 'desks'),
    this.worker('d2', 'desks'),
  ];
  readonly flown: Flown[] = [];
  readonly probed: string[] = [];
  cut = false;
  readonly gateway = new Gateway({
    name: 'edge',
    zone: 'z1',
    clock: { nowMs: () => this.nowMs },
    chance: { next: () => 0.5 },
    sender: this,
    spec: () => this.spec,
    workers: () => this.workers,
    edges: () => this.edges,
    incarnation: () => this.incarnation,
    hasLease: () => this.granted,
    weight: (group) => this.spec.groups.find((known) => known.name === group)?.share ?? 1,
  });

  worker(name: string, pool: string): GatewayWorker {
    return {
      name,
      address: name,
      zone: 'z1',
      pool,
      draining: false,
      evacuated: false,
      reachable: true,
      slots: 2,
      holdings: [{ model: 'm', adapters: [] }],
      sinceMs: new Map([['m', -1e9]]),
      othersInFlight: 0,
    };
  }

  send(request: SendRequest, handler: SendHandler): Sending {
    const flown = new Flown(request, handler);
    this.flown.push(flown);
    return flown;
  }

  probe(address: string, done: (reached: boolean) => void): void {
    this.probed.push(address);
    done(!this.cut);
  }

  ask(change: Partial<GatewayRequestInit> = {}): { port: Port; leave: () => void } {
    const port = new Port();
    const ask: GatewayRequestInit = {
      id: `id-${this.flown.length}`,
      path: '/chat',
      method: 'POST',
      group: 'g',
      kind: 'k',
      model: 'm',
      adapter: '',
      prefix: 0,
      streamed: false,
      body: new Uint8Array(),
      deadlineMs: undefined,
      ...change,
    };
    return { port, leave: this.gateway.admit(ask, port) };
  }

  /** Five requests well served earn one extra send. */
  earn(): void {
    for (let place = 0; place < 5; place += 1) {
      this.ask();
      this.reply(this.last(), 200, '{}');
    }
  }

  look(): Port {
    return this.ask({ path: '/look/1', method: 'GET', model: '' }).port;
  }

  last(): Flown {
    const flown = this.flown.at(-1);
    return (
      flown ??
      new Flown(
        { address: '', method: 'GET', path: '', headers: {}, body: undefined, stallMs: 0 },
        {} as SendHandler,
      )
    );
  }

  reply(flown: Flown, status: number, text: string, type = 'application/json'): void {
    flown.handler.mayStart();
    flown.handler.start(status, type);
    flown.handler.chunk(Buffer.from(text));
    flown.handler.end();
  }
}

const SSE = 'text/event-stream';

describe('work that may not be repeated', () => {
  it('is sent once; without an answer its outcome is unknown', () => {
    const stand = new Stand();
    const { port } = stand.ask();
    stand.last().handler.mayStart();
    stand.last().handler.failed(true, 'reset');
    stand.gateway.tick();
    expect([stand.flown.length, port.seen]).toEqual([1, ['outcome-unknown']]);
  });

  it('is sent elsewhere only when provably no byte left, and within the budget', () => {
    const stand = new Stand();
    stand.workers = [stand.worker('w1', 'models'), stand.worker('w2', 'models')];
    const early = stand.ask().port;
    stand.last().handler.failed(false, 'ECONNREFUSED');
    stand.earn();
    const before = stand.flown.length;
    const { port } = stand.ask();
    stand.last().handler.failed(false, 'ECONNREFUSED');
    stand.reply(stand.last(), 200, '{}');
    expect([early.seen, port.seen, stand.flown.length - before]).toEqual([['no-worker'], ['200 {}'], 2]);
  });

  it('is not started when the grant ends, or the worker is marked as leaving, before the first byte', () => {
    const stand = new Stand();
    stand.ask();
    stand.granted = false;
    expect(stand.last().handler.mayStart()).toEqual(false);
    stand.granted = true;
    stand.workers = stand.workers.map((worker) => ({ ...worker, draining: true }));
    expect(stand.last().handler.mayStart()).toEqual(false);
  });

  it('is given up, and its connection reset, when its worker is leaving and no way there is found', () => {
    const stand = new Stand();
    stand.workers = [stand.worker('w1', 'models'), stand.worker('w2', 'models')];
    const { port } = stand.ask();
    stand.last().handler.mayStart();
    const name = stand.last().request.address;
    function pass(cut: boolean): unknown {
      stand.cut = cut;
      for (let place = 0; place < 4; place += 1) {
        stand.nowMs += 250;
        stand.gateway.tick();
      }
      return [stand.probed.length > 0, [...port.seen], stand.last().aborted];
    }
    const usual = pass(true);
    stand.workers = stand.workers.map((worker) => ({ ...worker, draining: worker.name === name }));
    const reached = pass(false);
    expect([usual, reached, pass(true)]).toEqual([
      [false, [], false],
      [true, [], false],
      [true, ['outcome-unknown'], true],
    ]);
  });

  it('waits again, unsent, when the last look forbade it', () => {
    const stand = new Stand();
    const { port } = stand.ask();
    stand.granted = false;
    stand.last().handler.mayStart();
    stand.last().handler.failed(false, 'not started');
    expect([stand.flown.length, port.seen]).toEqual([1, []]);
    stand.granted = true;
    stand.gateway.tick();
    stand.reply(stand.last(), 200, '{}');
    expect([stand.flown.length, port.seen]).toEqual([2, ['200 {}']]);
  });

  it('is refused at once when a worker takes no more, and not sent again', () => {
    const stand = new Stand();
    const { port } = stand.ask();
    stand.reply(stand.last(), 503, '{}');
    expect([stand.flown.length, port.seen]).toEqual([1, ['no-worker']]);
  });
});

describe('deadlines', () => {
  it('end a send with its kind, and a stream visibly cut', () => {
    const stand = new Stand();
    const plain = stand.ask({ deadlineMs: 500 });
    const first = stand.last();
    const stream = stand.ask({ deadlineMs: 500, streamed: true });
    const second = stand.last();
    for (const { handler } of [first, second]) handler.mayStart();
    second.handler.start(200, SSE);
    second.handler.chunk(Buffer.from('data: 1\n\n'));
    stand.nowMs = 501;
    stand.gateway.tick();
    expect([plain.port.seen, stream.port.seen.at(-1), first.aborted, second.aborted]).toEqual([
      ['deadline-exceeded'],
      'cut',
      true,
      true,
    ]);
  });
});

describe('streams', () => {
  function streamed(act: (handler: SendHandler) => void): { seen: string[]; aborted: boolean } {
    const stand = new Stand();
    const { port } = stand.ask({ streamed: true });
    const flown = stand.last();
    flown.handler.mayStart();
    flown.handler.start(200, SSE);
    act(flown.handler);
    return { seen: port.seen, aborted: flown.aborted };
  }

  it('pass on whole events and end as whole only when the worker did', () => {
    const { seen } = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n'));
      handler.chunk(Buffer.from('\ndata: 2\n\ndata: [DO'));
      handler.chunk(Buffer.from('NE]\n\n'));
      handler.end();
    });
    expect(seen).toEqual(['open', 'data: 1\n\ndata: 2', 'data: [DONE]', 'close']);
  });

  it('end visibly cut when the worker ends early or is lost', () => {
    const early = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n\n'));
      handler.end();
    });
    const lost = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n\n'));
      handler.failed(true, 'reset');
    });
    expect([early.seen.at(-1), lost.seen.at(-1)]).toEqual(['cut', 'cut']);
  });

  it('are cut when the worker sends more than its closing event', () => {
    const { seen, aborted } = streamed((handler) => {
      handler.chunk(Buffer.from('data: 1\n\ndata: [DONE]\n\n'));
      handler.chunk(Buffer.from('data: 2\n\n'));
      handler.end();
    });
    expect([seen.at(-1), aborted]).toEqual(['cut', true]);
  });

  it('have a definite error when nothing came, or something else did', () => {
    expect(streamed((handler) => handler.end()).seen).toEqual(['outcome-unknown']);
    const stand = new Stand();
    const { port } = stand.ask({ streamed: true });
    stand.reply(stand.last(), 200, 'hello', 'text/html');
    expect(port.seen).toEqual(['worker-nonsense']);
  });

  it('close the worker when the visitor leaves', () => {
    const stand = new Stand();
    const { leave } = stand.ask({ streamed: true });
    leave();
    expect([stand.last().aborted, stand.gateway.inFlight, stand.gateway.counts['visitor-left']]).toEqual([
      true,
      0,
      1,
    ]);
  });
});

describe('lookups', () => {
  it('are tried again elsewhere while the budget lasts, and then answered at once', () => {
    const stand = new Stand();
    const ports = Array.from({ length: 40 }, () => {
      const port = stand.look();
      for (let place = 0; place < 5 && port.seen.length === 0; place += 1) {
        stand.last().handler.mayStart();
        stand.last().handler.failed(true, 'reset');
        stand.nowMs += 1;
        stand.gateway.tick();
      }
      stand.nowMs += 100;
      return port;
    });
    const sends = stand.flown.length;
    const firsts = stand.gateway.counts['sends'] ?? 0;
    const extra = stand.gateway.counts['retries'] ?? 0;
    expect(sends).toEqual(firsts);
    expect([extra > 0, extra <= 0.2 * (sends - extra)]).toEqual([true, true]);
    expect(ports.every((port) => port.seen.length <= 1)).toEqual(true);
  });
});

describe('admission', () => {
  it('refuses at once, before any work', () => {
    const stand = new Stand();
    const seen = [
      stand.ask({ group: 'x' }),
      stand.ask({ kind: 'x' }),
      stand.ask({ model: 'x' }),
      stand.ask({ adapter: 'x' }),
      stand.ask({ path: '/x' }),
      stand.ask({ deadlineMs: -1 }),
    ].map(({ port }) => port.seen[0]);
    expect(seen).toEqual([
      'unknown-group',
      'bad-request',
      'unknown-model',
      'unknown-model',
      'not-found',
      'deadline-past',
    ]);
    expect(stand.flown.length).toEqual(0);
  });

  it('refuses while cut off and while draining', () => {
    const stand = new Stand();
    stand.granted = false;
    const cutOff = stand.ask().port.seen;
    stand.granted = true;
    stand.gateway.drain();
    expect([cutOff, stand.ask().port.seen]).toEqual([['not-admitting'], ['draining']]);
  });

  it('bounds what one group may have waiting, while another is still let in', () => {
    const stand = new Stand();
    const flood = Array.from({ length: 60 }, () => stand.ask({ group: 'h' }));
    const refused = flood.filter(({ port }) => port.seen[0] === 'over-share').length;
    expect(refused > 30).toEqual(true);
    expect(stand.ask({ group: 'g' }).port.seen).toEqual([]);
  });

  it('lets in what can be sent at once, though the group has its share waiting for a rare model', () => {
    const stand = new Stand();
    const spec = specOf();
    stand.spec = { ...spec, models: [...spec.models, { name: 'rare', sizeMb: 1 }] };
    for (let place = 0; place < 60; place += 1) stand.ask({ model: 'rare' });
    const before = stand.flown.length;
    stand.ask();
    expect([before, stand.flown.length]).toEqual([0, 1]);
  });

  it('gives up what waited beyond its patience, at once and with its kind', () => {
    const stand = new Stand();
    stand.workers = [];
    const { port } = stand.ask();
    stand.nowMs = 990;
    stand.gateway.tick();
    expect(port.seen).toEqual([]);
    stand.nowMs = 1010;
    stand.gateway.tick();
    expect(port.seen).toEqual(['no-worker']);
  });

  it('sends few at first to a worker that failed and may have started anew', () => {
    const stand = new Stand();
    stand.workers = [{ ...stand.worker('w1', 'models'), slots: 8 }];
    stand.ask();
    stand.reply(stand.last(), 503, '{}');
    for (let place = 0; place < 8; place += 1) stand.ask();
    expect(stand.flown.length).toEqual(2);
  });

  it('sends no flood to a copy that is warming', () => {
    const stand = new Stand();
    stand.workers = [{ ...stand.worker('w1', 'models'), slots: 8, sinceMs: new Map([['m', 0]]) }];
    for (let place = 0; place < 8; place += 1) stand.ask();
    expect(stand.flown.length).toEqual(1);
    stand.nowMs = 600;
    stand.gateway.tick();
    expect(stand.flown.length).toEqual(2);
  });
});

describe('parts', () => {
  it('a backlog serves groups by weight, and who is due first within a group', () => {
    const backlog = new Backlog();
    for (let key = 0; key < 40; key += 1) backlog.put({ key, group: key % 2, dueMs: 100 - key });
    const served = [0, 0];
    for (let turn = 0; turn < 16; turn += 1) {
      const next = backlog.order()[0]?.[0];
      if (next === undefined) break;
      backlog.remove(next.key, next.group);
      backlog.charge(next.group, next.group === 0 ? 3 : 1);
      served[next.group] = (served[next.group] ?? 0) + 1;
    }
    expect(served).toEqual([12, 4]);
  });

  it('a retry budget earns a fifth of the first sends, holds its part, and begins each incarnation with nothing', () => {
    const budget = new RetryBudget();
    function taken(): number {
      let count = 0;
      while (budget.reserve()) count += Number(budget.spend());
      return count;
    }
    budget.setAllowance('incarnation-1', 3);
    const atFirst = taken();
    for (let sent = 0; sent < 5; sent += 1) budget.recordFirstAttempt(0.2);
    const earned = taken();
    for (let sent = 0; sent < 500; sent += 1) budget.recordFirstAttempt(0.2);
    budget.setAllowance('incarnation-1', 2);
    budget.setAllowance('incarnation-1', 4);
    const held = taken();
    for (let sent = 0; sent < 500; sent += 1) budget.recordFirstAttempt(0.2);
    budget.setAllowance('incarnation-2', 4);
    expect([atFirst, earned, held, taken()]).toEqual([0, 1, 2, 0]);
  });

  it('a retry that is promised cannot be promised twice, and is spent when it leaves', () => {
    const budget = new RetryBudget();
    budget.setAllowance('incarnation-1', 2);
    for (let sent = 0; sent < 5; sent += 1) budget.recordFirstAttempt(0.2);
    const promises = [budget.reserve(), budget.reserve()];
    budget.release();
    promises.push(budget.reserve());
    budget.setAllowance('incarnation-2', 2);
    expect([promises, budget.spend()]).toEqual([[true, false, true], false]);
  });

  it('a catalogue finds a path, or for lookups the nearest above it', () => {
    const spec = {
      ...specOf(),
      routes: [
        { path: '/look', serve: 'lookup' as const, pool: 'a' },
        { path: '/look/far', serve: 'lookup' as const, pool: 'b' },
        { path: '/chat', serve: 'chat' as const, pool: 'c' },
      ],
    };
    const catalogue = new Catalogue(spec);
    const paths = ['/look', '/look/1/2?x=/chat', '/look/far/1', '/looks', '/chat', '/chat/1', '/'];
    expect(paths.map((path) => catalogue.route(path)?.pool)).toEqual([
      'a',
      'a',
      'b',
      undefined,
      'c',
      undefined,
      undefined,
    ]);
  });

  it('tells who is refused to come back as the backlog drains, and not all at once', () => {
    const rate = new DrainRate();
    const idle = rate.retryAfterS(0, 0, 0);
    for (let nowMs = 0; nowMs < 60_000; nowMs += 250) rate.sent(nowMs);
    const told = [0, 0.5, 0.99].map((chance) => rate.retryAfterS(40, chance, 60_000));
    expect([idle, told, rate.retryAfterS(4000, 0, 60_000)]).toEqual([1, [11, 16, 21], 60]);
  });

  it('a stream watch knows a whole stream', () => {
    const watch = new StreamWatch();
    watch.take(Buffer.from('data: 1\n\ndata: [DONE]\n\n'));
    expect(watch.finished).toEqual(true);
  });
});
