/** A gateway under test, with a fake sender, sink and workers. */
import { readSpec, type Spec } from '@rainrun/configuration';
import type { GatewayRequestInit, GatewayWorker } from '../dependencies.js';
import type { GatewayResponseSink } from '../gateway-request.js';
import { Gateway } from '../gateway.js';
import type { SendHandler, Sender, SendHandle, SendRequest } from '../sender.js';

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

/** The spec in force in these tests. */
export function testSpec(): Spec {
  const read = readSpec(SPEC_TEXT);
  return read.isOk ? read.value : ({} as Spec);
}

/** One send, to which a test responds in place of the worker. */
export class SentRequest implements SendHandle {
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
  discard(): void {
    this.aborted ||= false;
  }
  pause(): void {
    this.aborted ||= false;
  }
  resume(): void {
    this.aborted ||= false;
  }
}

/** A sink that records the events of the response. */
export class RecordingSink implements GatewayResponseSink {
  readonly events: string[] = [];
  respond(status: number, _type: string, body: Uint8Array): void {
    this.events.push(`${status} ${Buffer.from(body).toString()}`);
  }
  reject(fault: { kind: string }): void {
    this.events.push(fault.kind);
  }
  open(): void {
    this.events.push('open');
  }
  write(bytes: Uint8Array): boolean {
    this.events.push(Buffer.from(bytes).toString().trim());
    return true;
  }
  close(): void {
    this.events.push('close');
  }
  abort(): void {
    this.events.push('cut');
  }
}

/** A gateway with a clock, workers and a sender that a test controls. */
export class GatewayHarness implements Sender {
  nowMs = 0;
  hasLease = true;
  spec = testSpec();
  edges = ['edge'];
  incarnation = 'incarnation-1';
  workers: GatewayWorker[] = [
    this.worker('w1', 'models'),
    this.worker('d1', 'desks'),
    this.worker('d2', 'desks'),
  ];
  readonly sent: SentRequest[] = [];
  readonly probed: string[] = [];
  probesFail = false;
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
    hasLease: () => this.hasLease,
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

  send(request: SendRequest, handler: SendHandler): SendHandle {
    const sent = new SentRequest(request, handler);
    this.sent.push(sent);
    return sent;
  }

  probe(address: string, done: (reached: boolean) => void): void {
    this.probed.push(address);
    done(!this.probesFail);
  }

  submit(change: Partial<GatewayRequestInit> = {}): { sink: RecordingSink; disconnect: () => void } {
    const sink = new RecordingSink();
    const init: GatewayRequestInit = {
      id: `id-${this.sent.length}`,
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
    return { sink, disconnect: this.gateway.admit(init, sink) };
  }

  /** Serves five requests, which earn one retry. */
  earnRetry(): void {
    for (let index = 0; index < 5; index += 1) {
      this.submit();
      this.reply(this.lastSent(), 200, '{}');
    }
  }

  submitLookup(): RecordingSink {
    return this.submit({ path: '/look/1', method: 'GET', model: '' }).sink;
  }

  lastSent(): SentRequest {
    const sent = this.sent.at(-1);
    return (
      sent ??
      new SentRequest(
        { address: '', method: 'GET', path: '', headers: {}, body: undefined, stallMs: 0 },
        {} as SendHandler,
      )
    );
  }

  reply(sent: SentRequest, status: number, text: string, type = 'application/json'): void {
    sent.handler.mayStart();
    sent.handler.start(status, type);
    sent.handler.chunk(Buffer.from(text));
    sent.handler.end();
  }
}

/** Media type of event streams. */
export const SSE = 'text/event-stream';
