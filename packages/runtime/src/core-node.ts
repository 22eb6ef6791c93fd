import { setTimeout as pause } from 'node:timers/promises';
import { PROTOCOL_LEVELS } from '@rainrun/messages';
import { Acceptor, PLATFORM_TIMES, readRecords } from '@rainrun/process-group';
import { PoolLink, type Header } from '@rainrun/gateway';
import { CoreReplica, coreStatus, OperatorService } from '@rainrun/cluster-node';
import { RecordStore } from '@rainrun/storage';
import { fault, randomId, type RandomSource, type Clock, type Fault } from '@rainrun/common';
import type {
  WorkerRecord,
  ListedWorker,
  ReportReply,
  WorkerOrder,
  WorkerOrderReply,
} from '@rainrun/placement';
import { Result } from 'true-myth';
import { request } from 'undici';
import type { Dialect, SystemSettings } from './dialect.js';
import type { Log } from './log.js';
import { WORKER_LINK } from './links.js';
import { OperatorServer } from './operator-server.js';
import { splitAddress, PeerTransport } from './peer-transport.js';

const HEARTBEAT_MS = 25;
/** A core that does not coordinate heartbeats at every second one. */
const SELDOM = 2;
const LIST_MS = 500;
const LIST_WAIT_MS = 900;
const ORDER_WAIT_MS = 800;
const COUNTERS_MS = 10_000;

const CLOCK: Clock = { nowMs: () => performance.now() };
const CHANCE: RandomSource = { next: () => Math.random() };

/** The answer of a worker. */
interface Reply {
  readonly status: number;
  readonly body: string;
}

/**
 * A core on a platform: a member of the group that holds the deployment, with
 * a disk; answers operators, and while it coordinates reads the platform's
 * list and orders the workers.
 * @example
 * const node = await CoreNode.open(settings, dialect, log, broken);
 * if (node.isOk) await node.value.start();
 */
export class CoreNode {
  #settings: SystemSettings;
  #dialect: Dialect;
  #log: Log;
  #wire: PeerTransport;
  #replica: CoreReplica;
  #link = new PoolLink(WORKER_LINK);
  #operators: OperatorService;
  #operatorServer: OperatorServer;
  #timers: NodeJS.Timeout[] = [];
  #listing = false;
  #listFaults = 0;
  #listedMs = -Infinity;
  #stopping = false;
  #led = false;
  #heartbeats = 0;

  private constructor(settings: SystemSettings, dialect: Dialect, log: Log, acceptor: Acceptor) {
    this.#settings = settings;
    this.#dialect = dialect;
    this.#log = log;
    this.#wire = new PeerTransport('system', (frame) => this.#replica.receive(frame));
    const seeds = settings.seeds.map((host) => `${host}:${settings.ports[0]}`);
    this.#replica = new CoreReplica({
      name: settings.name,
      address: `${settings.host}:${settings.ports[0]}`,
      zone: settings.zone,
      deployment: 'system',
      seeds,
      founders: settings.founding ? seeds : [],
      desiredVoterCount: 2 * settings.lossesBorne + 1,
      clock: CLOCK,
      chance: CHANCE,
      times: PLATFORM_TIMES,
      acceptor,
      protocolLevels: PROTOCOL_LEVELS,
      send: (address, frame) => this.#wire.post(address, frame),
      order: (row, order, done) => this.#order(row, order, done),
      report: (row, done) => this.#report(row, done),
      onStateChange: (state) =>
        log.info({ edition: state.edition, revision: state.revision, evacuated: state.evacuated }, 'agreed'),
      onNewIncarnation: (incarnation) => log.warn({ incarnation }, 'dropped from the view; joining anew'),
      onJoinRejected: (why) => log.error({ why }, 'the group does not let this node in'),
      onPlacementDecision: (text) => log.debug({}, text),
    });
    this.#operators = new OperatorService({
      replica: this.#replica,
      clock: CLOCK,
      format: dialect,
      status: () => coreStatus(this.#replica),
    });
    this.#operatorServer = new OperatorServer(dialect, this.#operators, log);
  }

  /** Opens the disk; a fault says why it cannot be used. */
  static async open(
    settings: SystemSettings,
    dialect: Dialect,
    log: Log,
    broken: (why: Fault) => void,
  ): Promise<Result<CoreNode, Fault>> {
    const opened = await RecordStore.open(settings.folder);
    if (opened.isErr) return Result.err(opened.error);
    const { recordStore, records } = opened.value;
    return readRecords(records, randomId(CHANCE)).map((opening) => {
      const acceptor = new Acceptor(opening, recordStore, 'system', broken);
      if (records.disk === undefined) acceptor.writeDiskRecord();
      return new CoreNode(settings, dialect, log, acceptor);
    });
  }

  async start(): Promise<void> {
    const { host, ports, listen } = this.#settings;
    const bound = await this.#wire.listen(`${host}:${ports[0]}`);
    if (bound.isErr) this.#log.error({ detail: bound.error.detail }, 'cannot listen for the other nodes');
    this.#operatorServer.listen(host, splitAddress(listen.operators).port);
    this.#timers.push(
      setInterval(() => this.#tick(), HEARTBEAT_MS),
      setInterval(() => this.#log.info({ counters: this.#counters() }, 'counters'), COUNTERS_MS),
    );
    this.#log.info({ operators: listen.operators, founding: this.#settings.founding }, 'started');
  }

  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#log.info({ counters: this.#counters() }, 'stopping');
    this.#operators.drain();
    this.#replica.group.leave();
    await pause(150);
    for (const timer of this.#timers) clearInterval(timer);
  }

  #tick(): void {
    this.#heartbeats += 1;
    this.#operators.tick();
    const { isCoordinator: leading } = this.#replica.group;
    if (!leading && this.#heartbeats % SELDOM !== 0) return;
    this.#replica.tick();
    if (leading !== this.#led) {
      this.#led = leading;
      this.#listedMs = -Infinity;
      this.#log.info({ leading, epoch: this.#replica.group.epoch }, 'coordination');
    }
    if (leading && CLOCK.nowMs() - this.#listedMs >= LIST_MS) void this.#list();
  }

  // The platform's list.

  async #list(): Promise<void> {
    if (this.#listing) return;
    this.#listing = true;
    this.#listedMs = CLOCK.nowMs();
    const list = await this.#readList();
    this.#listing = false;
    if (list.isOk) {
      this.#listFaults = 0;
      this.#replica.learnList(list.value);
    } else {
      if (this.#listFaults === 0)
        this.#log.warn({ detail: list.error.detail }, 'the platform cannot be read');
      this.#listFaults += 1;
    }
  }

  async #readList(): Promise<Result<ListedWorker[], Fault>> {
    const workers: ListedWorker[] = [];
    let next: string | undefined;
    try {
      do {
        const { statusCode, body } = await request(
          `http://${this.#settings.provider.address}${this.#dialect.listPath(next)}`,
          { headersTimeout: LIST_WAIT_MS, bodyTimeout: LIST_WAIT_MS },
        );
        const text = await body.text();
        if (statusCode !== 200)
          return Result.err(fault('unreached', `the platform's list answered ${statusCode}`));
        const page = this.#dialect.readPage(text);
        if (page.isErr) return Result.err(page.error);
        workers.push(...page.value.workers);
        next = page.value.next;
      } while (next !== undefined);
      return Result.ok(workers);
    } catch (thrown) {
      return Result.err(fault('unreached', String(thrown)));
    }
  }

  // Orders.

  #order(row: WorkerRecord, order: WorkerOrder, done: (reply: WorkerOrderReply) => void): void {
    const body = this.#dialect.writeOrder(order, this.#replica.group.self.incarnation);
    this.#call(
      row,
      'POST',
      this.#dialect.orderPath,
      body,
      () => this.#replica.group.singletonEpoch() === order.fence,
      (reply) => {
        done(reply === undefined ? 'no-answer' : this.#dialect.readOrderReply(reply.status));
        this.#replica.tick();
      },
    );
  }

  #report(row: WorkerRecord, done: (reply: ReportReply) => void): void {
    this.#call(
      row,
      'GET',
      this.#dialect.reportPath,
      '',
      () => true,
      (reply) => {
        done(reply?.status === 200 ? this.#dialect.readReport(reply.body) : 'no-answer');
      },
    );
  }

  /** One call to a worker; `done` comes once, with nothing where there was no whole answer. */
  #call(
    row: WorkerRecord,
    method: string,
    target: string,
    body: string,
    mayStart: () => boolean,
    done: (reply: Reply | undefined) => void,
  ): void {
    let open = true;
    let status = 0;
    const parts: Buffer[] = [];
    function finish(reply: Reply | undefined): void {
      if (!open) return;
      open = false;
      clearTimeout(timer);
      done(reply);
    }
    const headers: Header[] = [
      ['host', row.address],
      [this.#dialect.workerHeaderNames.expectInstance, row.id],
    ];
    if (body !== '') headers.push(['content-type', 'application/json']);
    const send = this.#link.send(
      { address: row.address, method, target, headers, body: Buffer.from(body), stallMs: ORDER_WAIT_MS },
      {
        mayStart: () => open && mayStart(),
        head: (code) => {
          status = code;
        },
        chunk: (bytes) => void parts.push(bytes),
        end: () => finish({ status, body: Buffer.concat(parts).toString('utf8') }),
        failed: () => finish(undefined),
      },
    );
    const timer = setTimeout(() => {
      send.abort();
      finish(undefined);
    }, ORDER_WAIT_MS + 100);
  }

  #counters(): Record<string, number> {
    const { group, planner, subscriberCount: followers, workerTable: book } = this.#replica;
    const { user, system } = process.cpuUsage();
    return {
      version: group.state?.number ?? 0,
      members: group.view?.members.length ?? 0,
      voters: group.state?.voters.length ?? 0,
      leading: group.isCoordinator ? 1 : 0,
      granted: group.holdsLease() ? 1 : 0,
      followers,
      rows: book.number,
      ...planner.counts,
      framesIn: this.#wire.counts.framesIn,
      bytesOut: this.#wire.counts.bytesOut,
      cpuMs: Math.round((user + system) / 1000),
      heldMb: Math.round(process.memoryUsage.rss() / 2 ** 20),
    };
  }
}
