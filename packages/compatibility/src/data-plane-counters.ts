/** The counters of both data planes, the router and the gateway, for each outcome of a request. */
import { checkConfiguration, readSpec, type Configuration, type Spec } from '@rainrun/configuration';
import { MemoryBudget, type Fault } from '@rainrun/common';
import {
  Gateway,
  type Link,
  type LinkHandler,
  type LinkRequest,
  type LinkSend,
  type SendHandler,
} from '@rainrun/gateway';
import { DIALECT } from '@rainrun/platform/dialect';
import { Router } from '@rainrun/router';
import { fail } from './scripted-group.js';

const WORKER = 'w-1';
const REQUEST_ID = 'request-1';
const START_MS = 1000;
const LONG_DURATION_MS = 10_000;
const RESPONSE_MEMORY_BYTES = 2 ** 20;

const NO_OP_CONTROLS: LinkSend = {
  received: { part: 'head', bytes: 0, pieces: 0 },
  abort: () => undefined,
  discard: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

const SHARED_ROUTE = { host: 'a.example', service: 'look', timeoutMs: 2000, targetMs: 300 };
const DOCUMENT = {
  revision: 1,
  routes: [
    { ...SHARED_ROUTE, name: 'once', prefix: '/once', kind: 'non_idempotent' },
    { ...SHARED_ROUTE, name: 'often', prefix: '/often', kind: 'idempotent', attempts: 2 },
    { ...SHARED_ROUTE, name: 'tell', prefix: '/tell', kind: 'streaming', priority: 3 },
  ],
  services: [{ name: 'look' }],
};

function configuration(): Configuration {
  return checkConfiguration(DOCUMENT).unwrapOrElse(fail);
}

/** A link that records each send; the script drives its handler. */
class ScriptedLink implements Link {
  readonly sent: { readonly request: LinkRequest; readonly handler: LinkHandler }[] = [];

  send(request: LinkRequest, handler: LinkHandler) {
    this.sent.push({ request, handler });
    return NO_OP_CONTROLS;
  }

  /** The handler of the last send. */
  get handler(): LinkHandler {
    const last = this.sent.at(-1);
    if (last === undefined) throw new Error('no request was sent to a worker');
    return last.handler;
  }
}

/** A router with one worker and one client. */
class RouterHarness {
  nowMs = START_MS;
  isWorkerDraining = false;
  isWorkerListed = true;
  readonly refusals: Fault[] = [];
  readonly link = new ScriptedLink();
  readonly router: Router;
  #configuration = configuration();

  constructor() {
    this.router = new Router({
      zone: 'coast',
      clock: { nowMs: () => this.nowMs },
      link: this.link,
      headerNames: DIALECT.workerHeaderNames,
      retries: { ratio: 1, extra: 20 },
      configuration: () => this.#configuration,
      tenants: () => undefined,
      permits: { acquire: () => () => undefined },
      responseMemory: new MemoryBudget({
        limitBytes: RESPONSE_MEMORY_BYTES,
        smallBytes: RESPONSE_MEMORY_BYTES,
        clock: { nowMs: () => this.nowMs },
      }),
      evacuatedZones: () => [],
      workers: () => (this.isWorkerListed ? new Map([[WORKER, this.#worker()]]) : new Map()),
      edges: () => 1,
      incarnation: () => 'incarnation-1',
      regionOf: () => 'west',
      onResponseExcess: () => undefined,
      onModelMissing: () => undefined,
      onWaiting: () => undefined,
    });
  }

  /** Submits a request; the returned function reports that the client has disconnected. */
  submitRequest(target: string): () => void {
    return this.router.submit(
      {
        id: REQUEST_ID,
        method: 'POST',
        target,
        host: 'a.example',
        headers: [
          ['Host', 'a.example'],
          [DIALECT.workerHeaderNames.requestId, REQUEST_ID],
          ['X-Kept', 'yes'],
          ['Connection', 'close'],
        ],
        body: Buffer.from('{}'),
        deadlineMs: 1500,
        model: '',
        adapter: '',
        prefix: [],
        promptTokens: 0,
        lastEventId: '7',
        apiKey: undefined,
      },
      {
        respond: () => undefined,
        reject: (why) => void this.refusals.push(why),
        open: () => undefined,
        write: () => true,
        close: () => undefined,
        abort: () => undefined,
      },
    );
  }

  /** Delivers the head of the worker's response. */
  startResponse(status: number, ...headers: readonly (readonly [string, string])[]): void {
    const { requestId, signature } = DIALECT.workerHeaderNames;
    this.link.handler.mayStart();
    this.link.handler.head(status, [[requestId, REQUEST_ID], [signature, 's'], ...headers]);
  }

  #worker() {
    return {
      id: WORKER,
      service: 'look',
      address: '10.0.1.1:9000',
      zone: 'coast',
      draining: this.isWorkerDraining,
      slots: 4,
      warmUpUntilMs: -Infinity,
      models: new Map<string, ReadonlySet<string>>(),
      number: 1,
      sharePercent: 100,
    };
  }
}

type RouterCase = (harness: RouterHarness) => void;

const ROUTER_CASES: Readonly<Record<string, RouterCase>> = {
  'no route': (harness) => {
    harness.submitRequest('/none');
  },
  'after the end': (harness) => {
    harness.router.close();
    harness.submitRequest('/once');
  },
  answered: (harness) => {
    harness.submitRequest('/once');
    harness.startResponse(200);
    harness.link.handler.end();
  },
  'declined by another worker': (harness) => {
    harness.submitRequest('/once');
    harness.startResponse(421);
  },
  'declined as not run': (harness) => {
    harness.submitRequest('/once');
    harness.startResponse(503, [DIALECT.workerHeaderNames.notRun, '1']);
  },
  'worker gone before the first byte': (harness) => {
    harness.submitRequest('/once');
    harness.isWorkerDraining = true;
    harness.link.handler.mayStart();
    harness.link.handler.failed(false, 'withheld');
  },
  'worker not reached': (harness) => {
    harness.submitRequest('/once');
    harness.link.handler.mayStart();
    harness.link.handler.failed(false, 'refused');
  },
  'worker failed': (harness) => {
    harness.submitRequest('/once');
    harness.link.handler.mayStart();
    harness.link.handler.failed(true, 'reset');
  },
  'stream broken': (harness) => {
    harness.submitRequest('/tell');
    harness.startResponse(200, ['content-type', 'text/event-stream']);
    harness.link.handler.chunk(Buffer.from('data: 1\n\n'));
    harness.link.handler.failed(true, 'reset');
  },
  'client left during a send': (harness) => {
    const disconnect = harness.submitRequest('/once');
    harness.link.handler.mayStart();
    disconnect();
  },
  'client left while waiting': (harness) => {
    harness.isWorkerListed = false;
    harness.submitRequest('/once')();
  },
  'no worker in time': (harness) => {
    harness.isWorkerListed = false;
    harness.submitRequest('/once');
    harness.nowMs += LONG_DURATION_MS;
    harness.router.tick();
  },
};

/** For each outcome of a request: the router's counters, the rejections and what the worker is sent. */
export function routerCounters(): unknown {
  return Object.entries(ROUTER_CASES).map(([name, run]) => {
    const harness = new RouterHarness();
    run(harness);
    return {
      case: name,
      counters: harness.router.counts,
      refusals: harness.refusals.map(({ kind, detail, retryAfterS }) => [kind, detail, retryAfterS]),
      sent: harness.link.sent.map(({ request }) => [request.method, request.target, request.headers]),
    };
  });
}

const SPEC = {
  deployment: 'site',
  zones: ['coast'],
  store: { pullsPerMinute: 60, concurrentPulls: 2 },
  workers: { roomMb: 1000, slots: 4 },
  models: [{ name: 'model-1', sizeMb: 400 }],
  adapters: [],
  groups: [
    { name: 'group-1', share: 1, kinds: [{ name: 'short', targetMs: 100, patienceMs: 1000 }], models: ['*'] },
  ],
  routes: [{ path: '/chat', serve: 'chat' }],
};

/** The spec with this retry budget ratio. */
function specWith(ratio: number): Spec {
  const read = readSpec(JSON.stringify({ ...SPEC, retries: { ratio, allowance: 10 } }));
  if (read.isErr) throw new Error(JSON.stringify(read.error));
  return read.value;
}

/** A gateway with one worker and one client. */
class GatewayHarness {
  nowMs = START_MS;
  hasLease = true;
  isWorkerListed = true;
  readonly refusals: Fault[] = [];
  readonly sent: { readonly request: unknown; readonly handler: SendHandler }[] = [];
  readonly gateway: Gateway;
  #spec = specWith(1);

  constructor() {
    this.gateway = new Gateway({
      name: 'edge-1',
      zone: 'coast',
      clock: { nowMs: () => this.nowMs },
      chance: { next: () => 0.5 },
      sender: {
        send: ({ method, path, headers }, handler) => {
          this.sent.push({ request: [method, path, headers], handler });
          return NO_OP_CONTROLS;
        },
        probe: (_address, done) => done(true),
      },
      spec: () => this.#spec,
      workers: () => (this.isWorkerListed ? [this.#worker()] : []),
      edges: () => ['edge-1'],
      incarnation: () => 'incarnation-1',
      hasLease: () => this.hasLease,
      weight: () => 1,
    });
  }

  disableRetries(): void {
    this.#spec = specWith(0);
  }

  get handler(): SendHandler {
    const last = this.sent.at(-1);
    if (last === undefined) throw new Error('no request was sent to a worker');
    return last.handler;
  }

  /** Submits a request; the returned function reports that the client has disconnected. */
  submitRequest(change: { path?: string; group?: string; model?: string } = {}): () => void {
    return this.gateway.admit(
      {
        id: 'edge-1.request',
        path: '/chat',
        method: 'POST',
        group: 'group-1',
        kind: 'short',
        model: 'model-1',
        adapter: '',
        prefix: 0,
        streamed: false,
        body: new Uint8Array([1]),
        deadlineMs: undefined,
        ...change,
      },
      {
        respond: () => undefined,
        reject: (why) => void this.refusals.push(why),
        open: () => undefined,
        write: () => true,
        close: () => undefined,
        abort: () => undefined,
      },
    );
  }

  #worker() {
    return {
      name: WORKER,
      address: '10.0.1.1:9000',
      zone: 'coast',
      pool: 'models',
      draining: false,
      evacuated: false,
      reachable: true,
      slots: 2,
      holdings: [{ model: 'model-1', adapters: [] }],
      sinceMs: new Map([['model-1', -LONG_DURATION_MS]]),
      othersInFlight: 0,
    };
  }
}

type GatewayCase = (harness: GatewayHarness) => void;

const GATEWAY_CASES: Readonly<Record<string, GatewayCase>> = {
  answered: (harness) => {
    harness.submitRequest();
    harness.handler.mayStart();
    harness.handler.start(200, 'application/json');
    harness.handler.chunk(Buffer.from('{}'));
    harness.handler.end();
  },
  'worker not reached, sent again': (harness) => {
    harness.submitRequest();
    harness.handler.mayStart();
    harness.handler.failed(false, 'refused');
    harness.nowMs += 100;
    harness.gateway.tick();
  },
  'worker not reached, and no retry left': (harness) => {
    harness.disableRetries();
    harness.submitRequest();
    harness.handler.mayStart();
    harness.handler.failed(false, 'refused');
  },
  'worker failed': (harness) => {
    harness.submitRequest();
    harness.handler.mayStart();
    harness.handler.failed(true, 'reset');
  },
  'path unknown': (harness) => {
    harness.submitRequest({ path: '/none' });
  },
  'group unknown': (harness) => {
    harness.submitRequest({ group: 'nobody' });
  },
  'model unknown': (harness) => {
    harness.submitRequest({ model: 'none' });
  },
  'node may not admit': (harness) => {
    harness.hasLease = false;
    harness.submitRequest();
  },
  'node drains': (harness) => {
    harness.gateway.drain();
    harness.submitRequest();
  },
  'visitor left': (harness) => {
    harness.isWorkerListed = false;
    harness.submitRequest()();
  },
  'no worker in time': (harness) => {
    harness.isWorkerListed = false;
    harness.submitRequest();
    harness.nowMs += LONG_DURATION_MS;
    harness.gateway.tick();
  },
};

/** For each outcome of a request: the gateway's counters, the rejections and what the worker is sent. */
export function gatewayCounters(): unknown {
  return Object.entries(GATEWAY_CASES).map(([name, run]) => {
    const harness = new GatewayHarness();
    run(harness);
    return {
      case: name,
      counters: harness.gateway.counts,
      refusals: harness.refusals.map(({ kind, detail, retryAfterS }) => [kind, detail, retryAfterS]),
      sent: harness.sent.map(({ request }) => request),
    };
  });
}
