/** An edge node on the platform (the programs under `platform/`): its sockets, timers and connections. */
import { createServer, type Server } from 'node:http';
import { setImmediate as nextTurn, setTimeout as pause } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import { ModelDemandSchema, WorkerOutcomesSchema, type ModelDemand } from '@rainrun/messages';
import { PoolLink } from '@rainrun/gateway';
import { EdgeReplica } from '@rainrun/cluster-node';
import type { Clock, Fault, MemoryBudget } from '@rainrun/common';
import { Router } from '@rainrun/router';
import type { EdgeDialect, PlatformSettings } from './dialect.js';
import { ClientServer } from './client-server.js';
import { ConnectionLimit } from './connection-limit.js';
import { edgeConnectionLimits, frameMemoryBytes, responseBudget } from './resource-limits.js';
import { WORKER_CONNECTION_TIMES, responseMemoryCounts, workerTrafficCounts } from './worker-connections.js';
import type { Log } from './log.js';
import { ResponseExcessLog } from './response-excess-log.js';
import { MONOTONIC_CLOCK, processUsage, SECURE_RANDOM, startTimer } from './process-environment.js';
import { listenForPeers } from './peer-listener.js';
import { splitAddress, PeerTransport } from './peer-transport.js';

/** Tick interval while requests wait here, and while this edge is not ready. */
const TICK_MS = 50;
/** Tick interval while this edge is ready and idle: waking the process costs more than the tick itself. */
const IDLE_TICK_MS = 100;
/**
 * Delay before a model without a worker is reported to the cores, so that further reports share the message.
 */
const URGENT_REQUEST_DELAY_MS = 7;
const COUNTERS_INTERVAL_MS = 10_000;
/**
 * Delay until no new connections arrive: the platform checks readiness every second and acts on the second
 * miss.
 */
const DEREGISTRATION_DELAY_MS = 3000;
/** Part of the grace period kept for the final responses and the goodbye to the cores. */
const SHUTDOWN_RESERVE_MS = 700;
/** Time to send the responses that this node itself gives to requests that are unanswered at shutdown. */
const FINAL_RESPONSES_TIMEOUT_MS = 300;
/** Time to send the goodbye to the cores. */
const GOODBYE_FLUSH_MS = 30;

/**
 * An edge node on a platform: accepts client requests and routes them to workers. Its configuration and
 * worker table come from the cores that it subscribes to.
 * @example
 * const node = new EdgeNode(settings, dialect, log);
 * await node.start();
 */
export class EdgeNode {
  #settings: PlatformSettings;
  #clock: Clock;
  #log: Log;
  #transport: PeerTransport;
  #replica: EdgeReplica;
  #workerLink = new PoolLink(WORKER_CONNECTION_TIMES, startTimer);
  #responseMemory: MemoryBudget;
  #excessLog: ResponseExcessLog;
  #router: Router;
  #clientServer: ClientServer;
  #readiness: Server;
  #timers: NodeJS.Timeout[] = [];
  #stopping = false;
  #wasReady = false;
  #tickTimer: NodeJS.Timeout | undefined;
  #nextTickMs = 0;
  #closed = false;
  #urgentRequestTimer: NodeJS.Timeout | undefined;

  constructor(settings: PlatformSettings, dialect: EdgeDialect, log: Log, clock = MONOTONIC_CLOCK) {
    this.#settings = settings;
    this.#clock = clock;
    this.#log = log;
    this.#excessLog = new ResponseExcessLog(log);
    const connectionLimits = edgeConnectionLimits(settings);
    this.#transport = new PeerTransport('system', (frame) => this.#replica.receive(frame), {
      connections: connectionLimits.peers,
      frameBytes: frameMemoryBytes(settings),
    });
    this.#replica = new EdgeReplica({
      name: settings.name,
      zone: settings.zone,
      address: `${settings.host}:${settings.ports[0] + 1}`,
      deployment: 'system',
      seeds: settings.seeds.map((host) => `${host}:${settings.ports[0]}`),
      clock,
      chance: SECURE_RANDOM,
      quota: settings.quota,
      send: (address, frame) => this.#transport.send(address, frame),
      demands: () => this.#demands(),
      outcomes: () => this.#router.takeOutcomes().map((one) => create(WorkerOutcomesSchema, one)),
      onChange: (what) => this.#onReplicaChange(what),
    });
    this.#responseMemory = responseBudget(settings, clock);
    this.#router = new Router({
      zone: settings.zone,
      clock,
      link: this.#workerLink,
      headerNames: dialect.workerHeaderNames,
      retries: settings.retries,
      configuration: () => this.#replica.configuration,
      tenants: () => this.#replica.tenants,
      permits: this.#replica.permits,
      responseMemory: this.#responseMemory,
      evacuatedZones: () => this.#replica.state.evacuated,
      workers: () => this.#replica.workers,
      edges: () => this.#replica.edgeCount,
      incarnation: () => this.#replica.incarnation,
      regionOf: (zone) => settings.regions[zone] ?? '',
      onResponseExcess: ({ id }, excess) => this.#excessLog.record(id, excess),
      onModelMissing: () => this.#requestUpdateSoon(),
      onWaiting: () => this.#tickWithin(TICK_MS),
    });
    this.#clientServer = new ClientServer({
      headerNames: dialect.clientHeaderNames,
      machine: settings,
      clock,
      limits: () => this.#replica.configuration?.limits ?? undefined,
      isDraining: () => this.#stopping,
      onRequest: (request, sink) => this.#router.submit(request, sink),
    });
    const readinessConnections = new ConnectionLimit(connectionLimits.readiness, clock);
    this.#readiness = createReadinessServer(
      (path) => path === dialect.readinessPath && this.#replica.ready && !this.#stopping,
      readinessConnections,
    );
  }

  /**
   * Listens for cores, clients and readiness checks, and starts to subscribe. `onFatal` is called if the port
   * for the cores stays in use (`bad-setting`): the process must exit then.
   */
  async start(onFatal: (why: Fault) => void): Promise<void> {
    const { host, listenAddresses: listen } = this.#settings;
    void this.#listenForCores(onFatal);
    await this.#clientServer.listen(listen.clients);
    this.#readiness.listen(splitAddress(listen.readiness).port, host);
    this.#timers.push(setInterval(() => this.#logCounters(), COUNTERS_INTERVAL_MS));
    this.#tick();
    this.#log.info({ clients: listen.clients }, 'started');
  }

  async #listenForCores(onFatal: (why: Fault) => void): Promise<void> {
    const { host, ports } = this.#settings;
    const bound = await listenForPeers(this.#transport, `${host}:${ports[0] + 1}`, this.#log);
    if (bound.isErr) onFatal(bound.error);
  }

  /**
   * Graceful shutdown: fails readiness checks, then stops accepting, then waits for open requests within
   * the grace period.
   */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const startMs = this.#clock.nowMs();
    const endMs = startMs + this.#settings.graceMs - SHUTDOWN_RESERVE_MS;
    this.#log.info({ open: this.#clientServer.openRequests }, 'stopping');
    await pause(Math.min(DEREGISTRATION_DELAY_MS, this.#settings.graceMs / 2));
    // Timers run before sockets in the event loop: after a stall, this reads requests that have already arrived.
    await nextTurn();
    await nextTurn();
    this.#clientServer.close();
    while (this.#clientServer.openRequests > 0 && this.#clock.nowMs() < endMs) await pause(25);
    this.#router.close();
    this.#replica.leave();
    const lastMs = this.#clock.nowMs() + FINAL_RESPONSES_TIMEOUT_MS;
    do await pause(GOODBYE_FLUSH_MS);
    while (this.#clientServer.openRequests > 0 && this.#clock.nowMs() < lastMs);
    this.#log.info(this.#counterLogFields(), 'stopped');
    await this.close();
  }

  /** Closes timers, sockets and connections immediately. */
  async close(): Promise<void> {
    this.#closed = true;
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#tickTimer);
    clearTimeout(this.#urgentRequestTimer);
    this.#clientServer.closeAllConnections();
    this.#readiness.close();
    this.#transport.close();
    await this.#workerLink.close();
  }

  #tick(): void {
    this.#tickTimer = undefined;
    this.#replica.tick();
    this.#router.tick();
    this.#logReadiness();
    const isIdle = this.#replica.ready && this.#router.waiting === 0;
    this.#tickWithin(isIdle ? IDLE_TICK_MS : TICK_MS);
  }

  /** Schedules the next tick to run after at most `waitMs`. */
  #tickWithin(waitMs: number): void {
    if (this.#closed) return;
    const atMs = this.#clock.nowMs() + waitMs;
    if (this.#tickTimer !== undefined && this.#nextTickMs <= atMs) return;
    clearTimeout(this.#tickTimer);
    this.#nextTickMs = atMs;
    this.#tickTimer = setTimeout(() => this.#tick(), waitMs);
  }

  #requestUpdateSoon(): void {
    this.#replica.reportDemandSoon();
    this.#urgentRequestTimer ??= setTimeout(() => {
      this.#urgentRequestTimer = undefined;
      this.#replica.tick();
    }, URGENT_REQUEST_DELAY_MS);
  }

  #logReadiness(): void {
    if (this.#replica.ready === this.#wasReady) return;
    this.#wasReady = this.#replica.ready;
    this.#log.info(
      {
        ready: this.#wasReady,
        revision: this.#replica.state.revision,
        workers: this.#replica.workers.size,
      },
      'readiness',
    );
  }

  #onReplicaChange(what: 'state' | 'workers'): void {
    if (what === 'state') {
      this.#clientServer.applyLimits();
      this.#log.info(
        { revision: this.#replica.state.revision, evacuated: this.#replica.state.evacuated },
        'configuration',
      );
    } else
      this.#workerLink.keepOnly(new Set([...this.#replica.workers.values()].map((worker) => worker.address)));
    this.#router.tick();
  }

  #demands(): ModelDemand[] {
    return this.#router.demands().map((demand) => create(ModelDemandSchema, demand));
  }

  #logCounters(): void {
    this.#excessLog.flush();
    this.#log.info(this.#counterLogFields(), 'counters');
  }

  /** The counters, the worker that sent the most since the last ones, and requests by tenant if there are any. */
  #counterLogFields(): object {
    const counters = this.#counters();
    const busiestWorker = this.#workerLink.traffic.takeBusiest();
    return this.#replica.tenants === undefined
      ? { counters, busiestWorker }
      : { counters, busiestWorker, tenants: this.#router.tenantCounts };
  }

  #counters(): Record<string, number> {
    return {
      ...this.#router.counts,
      inFlight: this.#router.inFlight,
      waiting: this.#router.waiting,
      edges: this.#replica.edgeCount,
      workers: this.#replica.workers.size,
      edition: this.#replica.state.edition,
      framesIn: this.#transport.counts.framesIn,
      bytesIn: this.#transport.counts.bytesIn,
      framesEvicted: this.#transport.counts.framesEvicted,
      ...this.#clientServer.counts,
      ...responseMemoryCounts(this.#responseMemory),
      answersStopped: this.#excessLog.total,
      ...workerTrafficCounts(this.#workerLink.traffic),
      ...processUsage(),
    };
  }
}

/** A server that answers checks with 200 where the node is ready, and with 503 elsewhere. */
function createReadinessServer(isReady: (path?: string) => boolean, connections: ConnectionLimit): Server {
  const server = createServer((req, res) => {
    res.writeHead(isReady(req.url) ? 200 : 503, { 'content-length': '0' });
    res.end();
    connections.touch(req.socket);
  });
  server.on('connection', (socket) => connections.add(socket));
  return server;
}
