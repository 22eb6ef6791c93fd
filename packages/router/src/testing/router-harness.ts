/** Test harness for the router: scripted link, client sink, permits and workers. */
import type {
  Header,
  Link,
  LinkHandler,
  LinkRequest,
  LinkSend,
  ReceivedResponse,
  ResponseBound,
} from '@rainrun/gateway';
import {
  checkConfiguration,
  TENANT_SECRET_BYTES,
  TenantDirectory,
  type Configuration,
} from '@rainrun/configuration';
import { FAULT_RESPONSES, MemoryBudget, type Fault } from '@rainrun/common';
import type { PermitAnswer, PermitSource } from '@rainrun/quotas';
import { Router } from '../router.js';
import type { ClientRequest, ResponseSink, WorkerView } from '../request.js';
import { headerValue, type HeaderNames } from '../headers.js';

/** Header names between router and workers in these tests; they differ from the production names. */
export const HEADER_NAMES: HeaderNames = {
  requestId: 'call-id',
  deadlineMs: 'left-ms',
  lastEventId: 'after',
  signature: 'mark',
  expectInstance: 'only',
  notRun: 'unrun',
  priority: 'rank',
  apiKey: 'key',
  tenant: 'holder',
};

const CONFIGURATION_DOCUMENT = {
  revision: 1,
  routes: [
    {
      name: 'non-idempotent',
      host: 'a.example',
      prefix: '/non-idempotent/',
      service: 'service-1',
      kind: 'non_idempotent',
      timeoutMs: 2000,
      attempts: 3,
    },
    {
      name: 'idempotent',
      host: 'a.example',
      prefix: '/idempotent/',
      service: 'service-1',
      kind: 'idempotent',
      timeoutMs: 2000,
      attempts: 3,
      targetMs: 200,
    },
    {
      name: 'single-attempt',
      host: 'a.example',
      prefix: '/single-attempt/',
      service: 'service-1',
      kind: 'idempotent',
      timeoutMs: 2000,
      attempts: 1,
    },
    {
      name: 'resumable',
      host: 'a.example',
      prefix: '/resumable/',
      service: 'service-1',
      kind: 'streaming',
      timeoutMs: 9000,
      attempts: 3,
      resumable: true,
      gapMs: 600,
      targetMs: 500,
    },
    {
      name: 'stream',
      host: 'a.example',
      prefix: '/stream/',
      service: 'service-1',
      kind: 'streaming',
      timeoutMs: 9000,
      attempts: 3,
      resumable: false,
      priority: 2,
    },
    {
      name: 'model',
      host: 'a.example',
      prefix: '/model/',
      service: 'service-2',
      kind: 'idempotent',
      timeoutMs: 2000,
      attempts: 2,
    },
    {
      name: 'public',
      host: 'a.example',
      prefix: '/public/',
      service: 'service-1',
      kind: 'idempotent',
      timeoutMs: 2000,
      attempts: 2,
      public: true,
    },
    {
      name: 'regional',
      host: 'a.example',
      prefix: '/regional/',
      service: 'service-1',
      kind: 'idempotent',
      timeoutMs: 2000,
      regions: ['south'],
    },
  ],
  services: [{ name: 'service-1', warmupPerS: 10 }, { name: 'service-2' }],
};

function testConfiguration(change: object = {}): Configuration {
  const checked = checkConfiguration({ ...CONFIGURATION_DOCUMENT, ...change });
  return checked.isOk ? checked.value : ({} as Configuration);
}

/** A tenant in the configuration of a test. */
export interface TestTenant {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly ratePerS?: number;
  readonly burst?: number;
  readonly priority?: number;
}

const TEST_SECRET = new Uint8Array(TENANT_SECRET_BYTES).fill(7);

/** One attempt on the link; the test acts as the worker. */
export class SentRequest implements LinkSend {
  readonly request: LinkRequest;
  readonly handler: LinkHandler;
  received: ReceivedResponse = { part: 'head', bytes: 0, pieces: 0 };
  aborted = false;
  discarded = false;
  paused = false;
  constructor(request: LinkRequest, handler: LinkHandler) {
    this.request = request;
    this.handler = handler;
  }
  abort(): void {
    this.aborted = true;
  }
  discard(): void {
    this.discarded = true;
  }
  pause(): void {
    this.paused = true;
  }
  resume(): void {
    this.paused = false;
  }
  /** Sends the first byte if the router allows it; returns whether it does. */
  start(): boolean {
    return this.handler.mayStart();
  }
  get id(): string {
    return headerValue(this.request.headers, HEADER_NAMES.requestId) ?? '';
  }
  /** Sends a complete response of the worker. */
  answer(status: number, body: string, headers: readonly Header[] = []): void {
    this.handler.head(status, [[HEADER_NAMES.requestId, this.id], [HEADER_NAMES.signature, 's'], ...headers]);
    this.handler.chunk(Buffer.from(body));
    this.handler.end();
  }
  /** Rejects the request with the header that says that the worker has not run it. */
  rejectAsNotRun(status: number): void {
    this.handler.head(status, [
      [HEADER_NAMES.requestId, this.id],
      [HEADER_NAMES.notRun, '1'],
    ]);
    this.handler.end();
  }
  openStream(mark: string): void {
    this.handler.head(200, [
      [HEADER_NAMES.requestId, this.id],
      [HEADER_NAMES.signature, mark],
      ['content-type', 'text/event-stream'],
    ]);
  }
  events(text: string): void {
    this.handler.chunk(Buffer.from(text));
  }
}

/** A link that records what is sent, so that a test can act as the workers. */
export class RecordingLink implements Link {
  readonly sent: SentRequest[] = [];
  send(request: LinkRequest, handler: LinkHandler): LinkSend {
    const sent = new SentRequest(request, handler);
    this.sent.push(sent);
    return sent;
  }
}

/** A request for a permit, answered by the test. */
export interface PermitRequest {
  readonly tenant: string;
  withdrawn: boolean;
  answer(answer: PermitAnswer): void;
}

/** A permit source controlled by the test: answers at once, or when the test answers a recorded request. */
export class ScriptedPermits implements PermitSource {
  readonly requests: PermitRequest[] = [];
  /** The answer that is given at once; undefined to leave requests unanswered. */
  immediateAnswer: PermitAnswer | undefined = { kind: 'granted', permit: { endMs: Infinity } };

  /** Called on each request for a permit. */
  onRequest: () => void = () => undefined;

  acquire(tenant: string, done: (answer: PermitAnswer) => void): () => void {
    const asked: PermitRequest = { tenant, withdrawn: false, answer: done };
    this.requests.push(asked);
    this.onRequest();
    if (this.immediateAnswer !== undefined) done(this.immediateAnswer);
    return () => {
      asked.withdrawn = true;
    };
  }
}

/** A response sink that records its calls. */
export class RecordingSink implements ResponseSink {
  readonly calls: string[] = [];
  status = 0;
  /** The fault of the rejection; undefined if the request was not rejected. */
  rejection: Fault | undefined;
  text = '';
  slow = false;
  drained: (() => void) | undefined;
  /** Tells the router that the client has the whole response. */
  released: () => void = () => undefined;
  respond(status: number, _headers: readonly Header[], body: Buffer, released: () => void): void {
    this.status = status;
    this.released = released;
    this.calls.push(`respond ${status} ${body.toString()}`);
  }
  reject(reason: Fault): void {
    this.rejection = reason;
    this.status = FAULT_RESPONSES[reason.kind].status;
    this.calls.push(`reject ${this.status}${reason.retryAfterS === undefined ? '' : ' retry-after'}`);
  }
  open(status: number, headers: readonly Header[]): void {
    this.status = status;
    this.calls.push(`open ${status} ${headerValue(headers, HEADER_NAMES.signature) ?? ''}`);
  }
  write(bytes: Buffer, drained: () => void): boolean {
    this.text += bytes.toString();
    this.drained = drained;
    return !this.slow;
  }
  close(): void {
    this.calls.push('close');
  }
  abort(): void {
    this.calls.push('abort');
  }
}

/** An idle worker of service `service-1` in zone `north`, with the given changes. */
export function worker(id: string, change: Partial<WorkerView> = {}): WorkerView {
  return {
    id,
    service: 'service-1',
    address: `${id}:80`,
    zone: 'north',
    draining: false,
    slots: 4,
    warmUpUntilMs: -Infinity,
    models: new Map(),
    number: 1,
    sharePercent: 100,
    ...change,
  };
}

/** Memory for the responses of a test. */
const RESPONSE_MEMORY_BYTES = 32 * 2 ** 20;

/** A router whose clock, workers, configuration and link are controlled by the test. */
export class RouterHarness {
  nowMs = 1000;
  edges = 1;
  evacuated: string[] = [];
  workers = new Map<string, WorkerView>();
  modelMissingCount = 0;
  waitCount = 0;
  /** Whether this edge has a configuration. */
  configured = true;
  configuration = testConfiguration();
  tenants: TenantDirectory | undefined;
  /** The responses that were stopped, by worker and bound. */
  readonly excesses: (readonly [worker: string, bound: ResponseBound])[] = [];
  readonly link = new RecordingLink();
  readonly permits = new ScriptedPermits();
  readonly responseMemory = new MemoryBudget({
    limitBytes: RESPONSE_MEMORY_BYTES,
    smallBytes: RESPONSE_MEMORY_BYTES / 100,
    clock: { nowMs: () => this.nowMs },
    eviction: 'largest-owner',
  });
  readonly router: Router;
  #submittedCount = 0;

  constructor(
    workers: readonly WorkerView[],
    retries = { ratio: 1, extra: 20 },
    incarnation = 'incarnation-1',
  ) {
    this.putWorkers(...workers);
    this.router = new Router({
      zone: 'north',
      clock: { nowMs: () => this.nowMs },
      link: this.link,
      headerNames: HEADER_NAMES,
      retries,
      configuration: () => (this.configured ? this.configuration : undefined),
      tenants: () => this.tenants,
      permits: this.permits,
      responseMemory: this.responseMemory,
      evacuatedZones: () => this.evacuated,
      workers: () => this.workers,
      edges: () => this.edges,
      incarnation: () => incarnation,
      regionOf: (zone) => (zone === 'south-a' ? 'south' : 'elsewhere'),
      onResponseExcess: (by, { bound }) => {
        this.excesses.push([by.id, bound]);
      },
      onModelMissing: () => {
        this.modelMissingCount += 1;
      },
      onWaiting: () => {
        this.waitCount += 1;
      },
    });
  }

  /** Applies a configuration with these tenants, and calls `tick` as an edge does after a change. */
  setTenants(tenants: readonly TestTenant[] | undefined): void {
    this.configuration = testConfiguration({ tenants });
    const entries = this.configuration.tenants;
    this.tenants =
      entries === undefined || entries === null ? undefined : new TenantDirectory(entries, TEST_SECRET);
    this.router.tick();
  }

  putWorkers(...workers: readonly WorkerView[]): void {
    for (const one of workers) this.workers.set(one.id, one);
  }

  submit(target: string, change: Partial<ClientRequest> = {}): { sink: RecordingSink; leave: () => void } {
    this.#submittedCount += 1;
    const id = change.id ?? `q${this.#submittedCount}`;
    const sink = new RecordingSink();
    const clientRequest: ClientRequest = {
      id,
      method: 'POST',
      target,
      host: 'a.example',
      headers: [
        ['Call-Id', id],
        ['X-Own', 'kept'],
      ],
      body: Buffer.from('body'),
      deadlineMs: 1500,
      model: '',
      adapter: '',
      prefix: [],
      promptTokens: 0,
      lastEventId: undefined,
      apiKey: undefined,
      ...change,
    };
    return { sink, leave: this.router.submit(clientRequest, sink) };
  }

  /** Earns retry budget with requests that are served at once. */
  earnRetryBudget(count: number): void {
    for (let done = 0; done < count; done += 1) {
      this.submit('/non-idempotent/x');
      const sent = this.lastSent();
      sent.start();
      sent.answer(200, 'ok');
    }
  }

  lastSent(): SentRequest {
    return this.link.sent.at(-1) as SentRequest;
  }

  advance(waitMs: number): void {
    this.nowMs += waitMs;
    this.router.tick();
  }
}
