import { STRICT_QUOTA_BOUNDS } from '@rainrun/quotas';
import { create } from '@bufbuild/protobuf';
import { encodeDeployment, EMPTY_DEPLOYMENT } from '@rainrun/configuration';
import {
  FrameSchema,
  MemberSchema,
  StateUpdateSchema,
  WIRE_VERSION,
  WorkerRowSchema,
  type Subscribe,
  type Frame,
} from '@rainrun/messages';
import type { EdgeDialect } from '../dialect.js';
import { EdgeNode } from '../edge-node.js';
import type { PlatformSettings } from '../dialect.js';
import type { Log } from '../log.js';
import { PeerTransport } from '../peer-transport.js';
import { TEST_NAMES } from './stand-in-names.js';
import { LoopbackHost, type EdgeAddresses } from './loopback-host.js';
import { RawClient } from './raw-client.js';
import type { StandInWorker } from './stand-in-worker.js';

/** The dialect with the header names that stand-in workers and raw clients use. */
export const TEST_DIALECT: EdgeDialect = {
  clientHeaderNames: {
    requestId: TEST_NAMES.requestId,
    deadlineMs: 'left-ms',
    model: 'model',
    prefix: 'prefix',
    tokens: 'tokens',
    lastEventId: 'last-event-id',
    apiKey: 'key',
    tenant: 'holder',
  },
  workerHeaderNames: {
    requestId: TEST_NAMES.requestId,
    deadlineMs: 'left-ms',
    lastEventId: 'last-event-id',
    signature: TEST_NAMES.signature,
    expectInstance: 'only',
    notRun: TEST_NAMES.notRun,
    priority: 'rank',
    apiKey: 'key',
    tenant: 'holder',
  },
  readinessPath: '/ready',
};

/** A log whose `seen` resolves when an info line with the expected message is written. */
class LogWaiter implements Log {
  #expected: string;
  #seen: () => void = () => undefined;
  readonly seen: Promise<void>;

  constructor(expected: string) {
    this.#expected = expected;
    this.seen = new Promise((resolve) => {
      this.#seen = resolve;
    });
  }

  debug(): void {
    return;
  }

  info(_data: object, message: string): void {
    if (message === this.#expected) this.#seen();
  }

  warn(): void {
    return;
  }

  error(): void {
    return;
  }
}

const CORE_INCARNATION = 'stand-in-core';
const TABLE_ID = '1-table';

/** A stand-in worker in the worker table of the stand-in core. */
export interface ListedStandIn {
  readonly id: string;
  readonly address: string;
  readonly leaving?: boolean;
  /** `look` unless it is named. */
  readonly service?: string;
}

/**
 * A stand-in for a core that sends a configuration and a worker table to the edges that subscribe to it.
 * @example
 * const core = await StandInCore.open('127.0.0.1:7001', { revision: 1, routes: [], services: [] });
 * core.setWorkers([{ id: 'w1', address: '127.0.0.1:8001' }]);
 */
export class StandInCore {
  #transport: PeerTransport;
  #address: string;
  #state: Uint8Array;
  #edition = 1;
  #row = 0;
  #workers: readonly ListedStandIn[] = [];
  #waitingForEdge: (() => void)[] = [];

  private constructor(address: string, document: Readonly<Record<string, unknown>>) {
    this.#address = address;
    this.#state = encodeState(this.#edition, document);
    this.#transport = new PeerTransport('system', (frame) => this.#receive(frame));
  }

  /** Listens at IP:PORT; throws if the address is in use. */
  static async open(address: string, document: Readonly<Record<string, unknown>>): Promise<StandInCore> {
    const core = new StandInCore(address, document);
    const bound = await core.#transport.listen(address);
    if (bound.isErr) throw new Error(bound.error.detail);
    return core;
  }

  /** Replaces the worker table; resolves when an edge has confirmed it. */
  setWorkers(workers: readonly ListedStandIn[]): Promise<void> {
    this.#workers = workers;
    this.#row += 1;
    return new Promise((resolve) => this.#waitingForEdge.push(resolve));
  }

  /** Replaces the configuration; resolves when an edge has confirmed it. */
  setConfiguration(document: Readonly<Record<string, unknown>>): Promise<void> {
    this.#edition += 1;
    this.#state = encodeState(this.#edition, document);
    return new Promise((resolve) => this.#waitingForEdge.push(resolve));
  }

  close(): void {
    this.#transport.close();
  }

  #receive(frame: Frame): void {
    if (frame.body.case !== 'subscribe') return;
    const subscribe = frame.body.value;
    if (subscribe.tableRow === this.#row && subscribe.edition === this.#edition) {
      for (const resolve of this.#waitingForEdge) resolve();
      this.#waitingForEdge = [];
    }
    this.#sendUpdate(subscribe);
  }

  #sendUpdate(subscribe: Subscribe): void {
    const member = create(MemberSchema, {
      name: 'core',
      incarnation: CORE_INCARNATION,
      address: this.#address,
    });
    const value = create(StateUpdateSchema, {
      edition: this.#edition,
      state: subscribe.edition === this.#edition ? new Uint8Array() : this.#state,
      hasLease: true,
      coordinator: member,
      cores: [member],
      tableId: TABLE_ID,
      tableRow: this.#row,
      snapshot: subscribe.tableRow !== this.#row,
      baseRow: this.#row,
      rows:
        subscribe.tableRow === this.#row
          ? []
          : this.#workers.map(({ id, address, leaving, service }, index) =>
              create(WorkerRowSchema, {
                id,
                address,
                service: service ?? 'look',
                zone: 'north',
                slots: 8,
                draining: leaving ?? false,
                number: this.#row * 100 + index,
              }),
            ),
      edgeCount: 1,
    });
    const frame = create(FrameSchema, {
      wire: WIRE_VERSION,
      deployment: 'system',
      from: CORE_INCARNATION,
      to: subscribe.subscriber?.incarnation ?? '',
    });
    frame.body = { case: 'stateUpdate', value };
    this.#transport.send(subscribe.subscriber?.address ?? '', frame);
  }
}

function encodeState(edition: number, document: Readonly<Record<string, unknown>>): Uint8Array {
  return encodeDeployment({ ...EMPTY_DEPLOYMENT, edition, revision: edition, document });
}

/** A configuration with a route of each kind, all to the service of the stand-in workers. */
export function testDocument(change: object = {}): Readonly<Record<string, unknown>> {
  const shared = { host: 'a.example', service: 'look', timeoutMs: 5000, targetMs: 300, attempts: 3 };
  return {
    revision: 1,
    routes: [
      { ...shared, name: 'once', prefix: '/once/', kind: 'non_idempotent' },
      { ...shared, name: 'often', prefix: '/often/', kind: 'idempotent' },
      { ...shared, name: 'brief', prefix: '/brief/', kind: 'non_idempotent', timeoutMs: 150 },
      { ...shared, name: 'open', prefix: '/open/', kind: 'idempotent', public: true },
      { ...shared, name: 'tell', prefix: '/tell/', kind: 'streaming', resumable: false },
      {
        ...shared,
        name: 'talk',
        prefix: '/talk/',
        kind: 'streaming',
        resumable: true,
        gapMs: 300,
        timeoutMs: 60_000,
      },
    ],
    services: [{ name: 'look' }],
    limits: { headerMs: 400, idleMs: 15_000 },
    ...change,
  };
}

/** Options of an edge under test that differ from the defaults. */
export interface EdgeOptions {
  readonly graceMs?: number;
  readonly tenants?: readonly object[];
}

/**
 * Runs the node of the real edge program in this process, with a stand-in core that lists stand-in workers.
 * @example
 * const edge = await EdgeUnderTest.open([worker]);
 * const client = await edge.connect();
 */
export class EdgeUnderTest {
  readonly core: StandInCore;
  readonly node: EdgeNode;
  /** Added to the edge's monotonic clock, to simulate a machine that was frozen for this time. */
  clockJumpMs = 0;
  #clockReads = 0;
  #reserved: LoopbackHost;
  #clients: RawClient[] = [];

  private constructor(core: StandInCore, reserved: LoopbackHost, options: EdgeOptions, log: Log) {
    this.core = core;
    this.#reserved = reserved;
    this.node = new EdgeNode(testSettings(reserved.edgeAddresses, options), TEST_DIALECT, log, {
      nowMs: () => {
        this.#clockReads += 1;
        return performance.now() + this.clockJumpMs;
      },
    });
  }

  static async open(workers: readonly StandInWorker[], options: EdgeOptions = {}): Promise<EdgeUnderTest> {
    const reserved = await LoopbackHost.reserve();
    const { host, corePort } = reserved.edgeAddresses;
    const core = await StandInCore.open(
      `${host}:${corePort}`,
      testDocument(options.tenants === undefined ? {} : { tenants: options.tenants }),
    );
    const ready = new LogWaiter('readiness');
    const edge = new EdgeUnderTest(core, reserved, options, ready);
    void core.setWorkers(workers.map(({ name, address }) => ({ id: name, address })));
    await edge.node.start((why) => {
      throw new Error(`${why.kind}: ${why.detail}`);
    });
    await ready.seen;
    return edge;
  }

  async connect(): Promise<RawClient> {
    const client = await RawClient.connect(this.#reserved.edgeAddresses.clients);
    this.#clients.push(client);
    return client;
  }

  /** Resolves after two ticks of the edge, on which it ends requests that are past their deadline. */
  async nextTick(): Promise<void> {
    const from = this.#clockReads;
    // The replica and the router each read the clock on every tick.
    while (this.#clockReads < from + 4) await new Promise((resolve) => setImmediate(resolve));
  }

  async close(): Promise<void> {
    for (const client of this.#clients) client.close();
    await this.node.close();
    this.core.close();
    this.#reserved.release();
  }
}

function testSettings(addresses: EdgeAddresses, { graceMs = 3000 }: EdgeOptions): PlatformSettings {
  const { host, corePort, edgePort, clients, readiness } = addresses;
  return {
    name: 'edge-1',
    zone: 'north',
    regions: {},
    host,
    ports: [corePort, edgePort],
    seeds: [host],
    founding: false,
    folder: '',
    toleratedLosses: 1,
    listenAddresses: { clients, readiness, operators: '127.0.0.1:0' },
    provider: { address: '', callsPerS: 1, lagMs: 1000 },
    retries: { ratio: 1, extra: 20 },
    quota: STRICT_QUOTA_BOUNDS,
    revocation: { strict: false, withinMs: 2000 },
    graceMs,
    memoryMb: 256,
    openFiles: 4096,
  };
}
