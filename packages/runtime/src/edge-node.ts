import { createServer, type Server } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { create } from '@bufbuild/protobuf';
import { ModelDemandSchema, WorkerOutcomesSchema, type ModelDemand } from '@rainrun/messages';
import { PoolLink } from '@rainrun/gateway';
import { EdgeReplica } from '@rainrun/cluster-node';
import type { RandomSource, Clock } from '@rainrun/common';
import { Router } from '@rainrun/router';
import type { EdgeDialect, SystemSettings } from './dialect.js';
import { ClientServer } from './client-server.js';
import { WORKER_LINK } from './links.js';
import type { Log } from './log.js';
import { splitAddress, PeerTransport } from './peer-transport.js';

/** Between two looks at what waits, and at the cores while this edge cannot serve yet. */
const HEARTBEAT_MS = 50;
/** The same while nothing waits here: each wake-up of a process costs more than the look itself. */
const RESTING_HEARTBEAT_MS = 100;
/** A model that stands nowhere is asked for after this, with what else came meanwhile. */
const HASTE_MS = 7;
const COUNTERS_MS = 10_000;
/** The platform asks every second and believes the second miss: so long new connections still come. */
const STILL_COMING_MS = 3000;
const GRACE_LEFT_MS = 700;
/** The last answers of our own get so long to leave. */
const LAST_ANSWERS_MS = 300;
/** So does the word to the cores that this edge goes. */
const LAST_WORD_MS = 30;

const MONOTONIC: Clock = { nowMs: () => performance.now() };
const CHANCE: RandomSource = { next: () => Math.random() };

/**
 * An edge on a platform: clients come in, requests go out to workers; what it
 * knows it is told by the cores that it follows.
 * @example
 * const node = new EdgeNode(settings, dialect, log);
 * await node.start();
 */
export class EdgeNode {
  #settings: SystemSettings;
  #clock: Clock;
  #log: Log;
  #wire: PeerTransport;
  #follower: EdgeReplica;
  #link = new PoolLink(WORKER_LINK);
  #router: Router;
  #front: ClientServer;
  #readiness: Server;
  #timers: NodeJS.Timeout[] = [];
  #stopping = false;
  #wasReady = false;
  #heartbeat: NodeJS.Timeout | undefined;
  #beatAtMs = 0;
  #closed = false;
  #haste: NodeJS.Timeout | undefined;

  constructor(settings: SystemSettings, dialect: EdgeDialect, log: Log, clock = MONOTONIC) {
    this.#settings = settings;
    this.#clock = clock;
    this.#log = log;
    this.#wire = new PeerTransport('system', (frame) => this.#follower.receive(frame));
    this.#follower = new EdgeReplica({
      name: settings.name,
      zone: settings.zone,
      address: `${settings.host}:${settings.ports[0] + 1}`,
      deployment: 'system',
      seeds: settings.seeds.map((host) => `${host}:${settings.ports[0]}`),
      clock,
      chance: CHANCE,
      send: (address, frame) => this.#wire.post(address, frame),
      demands: () => this.#wants(),
      outcomes: () => this.#router.takeOutcomes().map((one) => create(WorkerOutcomesSchema, one)),
      onChange: (what) => this.#changed(what),
    });
    this.#router = new Router({
      zone: settings.zone,
      clock,
      link: this.#link,
      headerNames: dialect.workerHeaderNames,
      retries: settings.retries,
      configuration: () => this.#follower.configuration,
      evacuated: () => this.#follower.state.evacuated,
      workers: () => this.#follower.workers,
      edges: () => this.#follower.edgeCount,
      incarnation: () => this.#follower.incarnation,
      region: (zone) => settings.regions[zone] ?? '',
      onModelMissing: () => this.#hasten(),
      onWaiting: () => this.#beatWithin(HEARTBEAT_MS),
    });
    this.#front = new ClientServer({
      words: dialect.clientHeaderNames,
      limits: () => this.#follower.configuration?.limits ?? undefined,
      leaving: () => this.#stopping,
      take: (ask, port) => this.#router.submit(ask, port),
    });
    this.#readiness = createServer((req, res) => {
      const ready = req.url === dialect.readinessPath && this.#follower.ready && !this.#stopping;
      res.writeHead(ready ? 200 : 503, { 'content-length': '0' });
      res.end();
    });
  }

  async start(): Promise<void> {
    const { host, ports, listen } = this.#settings;
    const bound = await this.#wire.listen(`${host}:${ports[0] + 1}`);
    if (bound.isErr) this.#log.error({ detail: bound.error.detail }, 'cannot listen for the cores');
    await this.#front.listen(listen.clients);
    this.#readiness.listen(splitAddress(listen.readiness).port, host);
    this.#timers.push(
      setInterval(() => this.#log.info({ counters: this.#counters() }, 'counters'), COUNTERS_MS),
    );
    this.#beat();
    this.#log.info({ clients: listen.clients }, 'started');
  }

  /** Lets the platform send others elsewhere, answers what is under way, and goes. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const startMs = this.#clock.nowMs();
    const endMs = startMs + this.#settings.graceMs - GRACE_LEFT_MS;
    this.#log.info({ open: this.#front.open }, 'stopping');
    await pause(Math.min(STILL_COMING_MS, this.#settings.graceMs / 2));
    this.#front.close();
    while (this.#front.open > 0 && this.#clock.nowMs() < endMs) await pause(25);
    this.#router.close();
    this.#follower.leave();
    const lastMs = this.#clock.nowMs() + LAST_ANSWERS_MS;
    do await pause(LAST_WORD_MS);
    while (this.#front.open > 0 && this.#clock.nowMs() < lastMs);
    this.#log.info({ counters: this.#counters() }, 'stopped');
    await this.close();
  }

  /** Ends at once: timers, sockets and connections. */
  async close(): Promise<void> {
    this.#closed = true;
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#heartbeat);
    clearTimeout(this.#haste);
    this.#front.tear();
    this.#readiness.close();
    this.#wire.close();
    await this.#link.close();
  }

  #beat(): void {
    this.#heartbeat = undefined;
    this.#follower.tick();
    this.#router.tick();
    this.#noteReady();
    const isResting = this.#follower.ready && this.#router.waiting === 0;
    this.#beatWithin(isResting ? RESTING_HEARTBEAT_MS : HEARTBEAT_MS);
  }

  /** Lets the next heartbeat come in this time at the latest. */
  #beatWithin(waitMs: number): void {
    if (this.#closed) return;
    const atMs = this.#clock.nowMs() + waitMs;
    if (this.#heartbeat !== undefined && this.#beatAtMs <= atMs) return;
    clearTimeout(this.#heartbeat);
    this.#beatAtMs = atMs;
    this.#heartbeat = setTimeout(() => this.#beat(), waitMs);
  }

  #hasten(): void {
    this.#follower.requestUpdateSoon();
    this.#haste ??= setTimeout(() => {
      this.#haste = undefined;
      this.#follower.tick();
    }, HASTE_MS);
  }

  #noteReady(): void {
    if (this.#follower.ready === this.#wasReady) return;
    this.#wasReady = this.#follower.ready;
    this.#log.info(
      {
        ready: this.#wasReady,
        revision: this.#follower.state.revision,
        workers: this.#follower.workers.size,
      },
      'readiness',
    );
  }

  #changed(what: 'state' | 'workers'): void {
    if (what === 'state') {
      this.#front.applyLimits();
      this.#log.info(
        { revision: this.#follower.state.revision, evacuated: this.#follower.state.evacuated },
        'configuration',
      );
    } else this.#link.keepOnly(new Set([...this.#follower.workers.values()].map((worker) => worker.address)));
    this.#router.tick();
  }

  #wants(): ModelDemand[] {
    return this.#router.demands().map((asked) => create(ModelDemandSchema, asked));
  }

  #counters(): Record<string, number> {
    const { user, system } = process.cpuUsage();
    return {
      ...this.#router.counts,
      inFlight: this.#router.inFlight,
      waiting: this.#router.waiting,
      edges: this.#follower.edgeCount,
      workers: this.#follower.workers.size,
      edition: this.#follower.state.edition,
      framesIn: this.#wire.counts.framesIn,
      bytesIn: this.#wire.counts.bytesIn,
      cpuMs: Math.round((user + system) / 1000),
      heldMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
    };
  }
}
