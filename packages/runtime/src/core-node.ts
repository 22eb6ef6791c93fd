/**
 * A core node on the platform (the programs under `platform/`): its sockets, timers, disk and calls to
 * workers.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { PROTOCOL_LEVELS } from '@rainrun/messages';
import { PLATFORM_TIMES, type Acceptor } from '@rainrun/process-group';
import { PoolLink, type Header, type LinkRequest } from '@rainrun/gateway';
import { CoreReplica, coreStatus, OperatorService, quotaStatusesOf } from '@rainrun/cluster-node';
import { fault, type Fault } from '@rainrun/common';
import type { WorkerRecord, ReportReply, WorkerOrder, WorkerOrderReply } from '@rainrun/placement';
import { Result } from 'true-myth';
import { BoundedCalls } from './bounded-call.js';
import { openAcceptor, waitForLastWrites } from './acceptor-disk.js';
import type { Dialect, PlatformSettings } from './dialect.js';
import type { Log } from './log.js';
import { WORKER_CONNECTION_TIMES, workerTrafficCounts } from './worker-connections.js';
import { ResponseExcessLog } from './response-excess-log.js';
import { MONOTONIC_CLOCK, processUsage, SYSTEM_RANDOM, startTimer } from './process-environment.js';
import { coreConnectionLimits, frameMemoryBytes, replyBudget } from './resource-limits.js';
import { OperatorServer } from './operator-server.js';
import { listenForPeers } from './peer-listener.js';
import { readWorkerList } from './platform-list.js';
import { splitAddress, PeerTransport } from './peer-transport.js';

const TICK_MS = 25;
/** A core that is not the coordinator acts on every second tick only. */
const NON_COORDINATOR_TICK_DIVISOR = 2;
const LIST_INTERVAL_MS = 500;
const ORDER_SILENCE_MS = 800;
/** Bounds on the replies of workers to orders and requests for reports; a report has some hundred bytes a model. */
const WORKER_CALL_BOUNDS = { maxBytes: 256 * 1024, timeoutMs: 900 } as const;
const COUNTERS_INTERVAL_MS = 10_000;
/** Interval at which a core without a coordinator logs what it waits for. */
const WAIT_LOG_INTERVAL_MS = 1000;
/**
 * A disk that has synced nothing for this long, while the process was running, counts as failed: the process
 * exits.
 */
const DISK_HANG_MAX_MS = 30_000;

/**
 * A core node on a platform: a member of the group that replicates the deployment, with a disk. It answers
 * operators; while it is the coordinator it also polls the platform's worker list and sends orders to
 * workers.
 * @example
 * const node = await CoreNode.open(settings, dialect, log, onFatal);
 * if (node.isOk) await node.value.start();
 */
export class CoreNode {
  #settings: PlatformSettings;
  #dialect: Dialect;
  #log: Log;
  #onFatal: (why: Fault) => void;
  #acceptor: Acceptor;
  #transport: PeerTransport;
  #replica: CoreReplica;
  #workerLink = new PoolLink(WORKER_CONNECTION_TIMES, startTimer);
  #calls: BoundedCalls;
  #excessLog: ResponseExcessLog;
  #operators: OperatorService;
  #operatorServer: OperatorServer;
  #timers: NodeJS.Timeout[] = [];
  #isPollingList = false;
  #listFailures = 0;
  #lastListPollMs = -Infinity;
  #stopping = false;
  #wasCoordinator = false;
  #ticks = 0;
  #lastWaitLogMs = -Infinity;

  private constructor(
    settings: PlatformSettings,
    dialect: Dialect,
    log: Log,
    acceptor: Acceptor,
    onFatal: (why: Fault) => void,
  ) {
    this.#settings = settings;
    this.#dialect = dialect;
    this.#log = log;
    this.#excessLog = new ResponseExcessLog(log);
    this.#onFatal = onFatal;
    this.#acceptor = acceptor;
    this.#transport = new PeerTransport('system', (frame) => this.#replica.receive(frame), {
      connections: coreConnectionLimits(settings).peers,
      frameBytes: frameMemoryBytes(settings),
    });
    this.#calls = this.#newCalls();
    const seeds = seedAddresses(settings);
    this.#replica = new CoreReplica({
      name: settings.name,
      address: `${settings.host}:${settings.ports[0]}`,
      zone: settings.zone,
      deployment: 'system',
      seeds,
      founders: settings.founding ? seeds : acceptor.founders,
      desiredVoterCount: 2 * settings.toleratedLosses + 1,
      clock: MONOTONIC_CLOCK,
      chance: SYSTEM_RANDOM,
      quota: settings.quota,
      times: PLATFORM_TIMES,
      acceptor,
      protocolLevels: PROTOCOL_LEVELS,
      send: (address, frame) => this.#transport.send(address, frame),
      order: (row, order, done) => this.#sendOrder(row, order, done),
      report: (row, done) => this.#requestReport(row, done),
      onStateChange: (state) =>
        log.info({ edition: state.edition, revision: state.revision, evacuated: state.evacuated }, 'agreed'),
      onNewIncarnation: (incarnation) => log.warn({ incarnation }, 'dropped from the view; joining anew'),
      onJoinRejected: (why) => log.error({ why }, 'the group does not let this node in'),
      onPlacementDecision: (text) => log.debug({}, text),
    });
    this.#operators = new OperatorService({
      replica: this.#replica,
      clock: MONOTONIC_CLOCK,
      format: dialect,
      status: () => coreStatus(this.#replica, quotaStatusesOf(this.#replica.quotaStats)),
    });
    this.#operatorServer = new OperatorServer({
      dialect,
      handler: this.#operators,
      log,
      machine: settings,
      clock: MONOTONIC_CLOCK,
    });
  }

  #newCalls(): BoundedCalls {
    return new BoundedCalls({
      link: this.#workerLink,
      timer: startTimer,
      memory: replyBudget(this.#settings, MONOTONIC_CLOCK),
      onExcess: (address, excess) => this.#excessLog.record(address, excess),
    });
  }

  /**
   * Opens the disk; a fault says why it cannot be used. `onFatal` is called later with a fault after which
   * the process must exit: the disk fails or hangs (`disk`), or the peer port stays in use (`bad-setting`).
   */
  static async open(
    settings: PlatformSettings,
    dialect: Dialect,
    log: Log,
    onFatal: (why: Fault) => void,
  ): Promise<Result<CoreNode, Fault>> {
    const acceptor = await openAcceptor({
      folder: settings.folder,
      deployment: 'system',
      founders: settings.founding ? seedAddresses(settings) : [],
      random: SYSTEM_RANDOM,
      onFatal,
    });
    return acceptor.map((opened) => new CoreNode(settings, dialect, log, opened, onFatal));
  }

  /** Starts the listeners and timers, with which the node joins the group. */
  start(): void {
    const { host, listenAddresses: listen } = this.#settings;
    void this.#listenForPeers();
    this.#operatorServer.listen(host, splitAddress(listen.operators).port);
    this.#timers.push(
      setInterval(() => this.#tick(), TICK_MS),
      setInterval(() => this.#logCounters(), COUNTERS_INTERVAL_MS),
    );
    this.#log.info({ operators: listen.operators, founding: this.#settings.founding }, 'started');
  }

  async #listenForPeers(): Promise<void> {
    const { host, ports } = this.#settings;
    const bound = await listenForPeers(this.#transport, `${host}:${ports[0]}`, this.#log);
    if (bound.isErr) this.#onFatal(bound.error);
  }

  /**
   * Graceful shutdown: rejects operator calls, leaves the group, stops the timers and waits for the disk; the
   * process should exit then.
   */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#log.info({ counters: this.#counters() }, 'stopping');
    this.#operators.drain();
    this.#replica.group.leave();
    await pause(150);
    for (const timer of this.#timers) clearInterval(timer);
    this.#transport.close();
    await waitForLastWrites(this.#acceptor);
  }

  #tick(): void {
    this.#ticks += 1;
    this.#operators.tick();
    const { isCoordinator: leading } = this.#replica.group;
    if (!leading && this.#ticks % NON_COORDINATOR_TICK_DIVISOR !== 0) return;
    this.#replica.tick();
    this.#checkWaits();
    if (leading !== this.#wasCoordinator) {
      this.#wasCoordinator = leading;
      this.#lastListPollMs = -Infinity;
      this.#log.info({ leading, epoch: this.#replica.group.epoch }, 'coordination');
    }
    if (leading && MONOTONIC_CLOCK.nowMs() - this.#lastListPollMs >= LIST_INTERVAL_MS)
      void this.#pollWorkerList();
  }

  /** Logs what this core waits for, and reports a fatal fault if the disk has hung for too long. */
  #checkWaits(): void {
    const { group } = this.#replica;
    const { diskWaitMs } = group;
    if (diskWaitMs > DISK_HANG_MAX_MS)
      return this.#onFatal(fault('disk', `no write was synced for ${Math.round(diskWaitMs)} ms`));
    const wait = group.coordinatorWait();
    const nowMs = MONOTONIC_CLOCK.nowMs();
    if (wait === undefined || nowMs - this.#lastWaitLogMs < WAIT_LOG_INTERVAL_MS) return;
    this.#lastWaitLogMs = nowMs;
    const { isListening: listening } = this.#transport;
    this.#log.warn({ wait, listening }, 'no coordinator');
  }

  // Worker list of the platform.

  async #pollWorkerList(): Promise<void> {
    if (this.#isPollingList) return;
    this.#isPollingList = true;
    this.#lastListPollMs = MONOTONIC_CLOCK.nowMs();
    const list = await readWorkerList(this.#settings.provider.address, this.#calls, this.#dialect);
    this.#isPollingList = false;
    if (list.isOk) {
      this.#listFailures = 0;
      this.#replica.updateWorkerList(list.value);
    } else {
      if (this.#listFailures === 0)
        this.#log.warn({ kind: list.error.kind, detail: list.error.detail }, 'worker list unavailable');
      this.#listFailures += 1;
    }
  }

  // Calls to workers.

  #sendOrder(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void {
    const body = this.#dialect.writeOrder(order, this.#replica.group.self.incarnation);
    const request = this.#workerRequest(row, 'POST', this.#dialect.orderPath, body);
    const mayStart = (): boolean => this.#replica.group.singletonEpoch() === order.fence;
    this.#calls.call(request, { ...WORKER_CALL_BOUNDS, mayStart }, (reply) => {
      done(reply === undefined ? 'no-answer' : this.#dialect.readOrderReply(reply.status));
      this.#replica.tick();
    });
  }

  #requestReport(row: WorkerRecord, done: (reply: ReportReply) => void): void {
    const request = this.#workerRequest(row, 'GET', this.#dialect.reportPath, '');
    this.#calls.call(request, WORKER_CALL_BOUNDS, (reply) => {
      done(reply?.status === 200 ? this.#dialect.readReport(reply.body) : 'no-answer');
    });
  }

  #workerRequest(row: WorkerRecord, method: string, target: string, body: string): LinkRequest {
    const headers: Header[] = [
      ['host', row.address],
      [this.#dialect.workerHeaderNames.expectInstance, row.id],
    ];
    if (body !== '') headers.push(['content-type', 'application/json']);
    const stallMs = ORDER_SILENCE_MS;
    return { address: row.address, method, target, headers, body: Buffer.from(body), stallMs };
  }

  #logCounters(): void {
    this.#excessLog.flush();
    const busiestWorker = this.#workerLink.traffic.takeBusiest();
    this.#log.info({ counters: this.#counters(), busiestWorker }, 'counters');
  }

  #counters(): Record<string, number> {
    const { group, planner, subscriberCount: followers, workerTable } = this.#replica;
    return {
      version: group.state?.number ?? 0,
      members: group.view?.members.length ?? 0,
      voters: group.state?.voters.length ?? 0,
      leading: group.isCoordinator ? 1 : 0,
      granted: group.holdsLease() ? 1 : 0,
      'without coordinator ms': group.coordinatorWait()?.waitedMs ?? 0,
      'disk wait ms': Math.round(group.diskWaitMs),
      followers,
      // Sequence number of the table's last change, not a count of rows; the metric name is kept for compatibility.
      rows: workerTable.number,
      ...planner.counts,
      framesIn: this.#transport.counts.framesIn,
      'peer resets': this.#transport.counts.resets,
      'listen failures': this.#transport.counts.listenFailures,
      bytesOut: this.#transport.counts.bytesOut,
      framesEvicted: this.#transport.counts.framesEvicted,
      ...this.#operatorServer.counts,
      ...workerTrafficCounts(this.#workerLink.traffic),
      answersStopped: this.#excessLog.total,
      ...processUsage(),
    };
  }
}

/** Addresses at which the seed nodes listen for peers. */
function seedAddresses({ ports, seeds }: PlatformSettings): string[] {
  return seeds.map((host) => `${host}:${ports[0]}`);
}
