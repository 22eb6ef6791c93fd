import { setTimeout as pause } from 'node:timers/promises';
import { createRequire } from 'node:module';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { PROTOCOL_LEVELS, type Entry } from '@rainrun/messages';
import { Acceptor, GROUP_TIMES, readRecords, type GroupState } from '@rainrun/process-group';
import { UndiciSender, type EndRecord } from '@rainrun/gateway';
import { SpecEdge, ClusterNode, OBSERVE_MS } from '@rainrun/cluster-node';
import { RecordStore } from '@rainrun/storage';
import type { SpecState } from '@rainrun/configuration';
import { fault, randomId, type RandomSource, type Clock, type Fault } from '@rainrun/common';
import { ServiceBroker, type Context, type ServiceSchema } from 'moleculer';
import { pino, type Logger } from 'pino';
import { Result, type Unit } from 'true-myth';
import { GracefulHttpServer } from './graceful-http-server.js';
import { Operators, type OperatorReply } from './operators.js';
import { Recorder } from './recorder.js';
import { readList, sendOrder } from './platform.js';
import type { Settings } from './settings.js';
import { sendFault, visit, type ChatRequest } from './chat-completions.js';
import { PeerTransport } from './peer-transport.js';

const ApiGateway = createRequire(import.meta.url)('moleculer-web') as ServiceSchema;

const GROUP_TICK_MS = 50;
const GATEWAY_TICK_MS = 20;
const LIST_MS = 500;
const COUNTERS_MS = 10_000;
const SPEC_BODY = '3mb';
const HEADERS_MS = 10_000;
const EXPLAINED = 2000;
/** A stopping node answers callers that keep their connections for so long. */
const LINGER_MS = 5000;

/** Operators' paths, and the actions that answer them. */
const OPERATOR_ALIASES = {
  'GET view': 'operator.view',
  'GET spec': 'operator.spec',
  'PUT spec': 'operator.put',
  'PATCH spec': 'operator.change',
  'POST spec/check': 'operator.check',
  'GET spec/history': 'operator.history',
  'GET operations/:id': 'operator.operation',
  'GET zones': 'operator.zones',
  'POST zones/:zone/empty': 'operator.empty',
  'POST zones/:zone/restore': 'operator.restore',
  'GET workers': 'operator.workers',
  'GET groups': 'operator.groups',
  'GET counters': 'operator.counters',
  'GET status': 'operator.status',
  'GET ready': 'operator.ready',
  'GET metrics': 'operator.metrics',
  'GET explain/requests/:id': 'operator.explain',
  'GET explain/models/:model': 'operator.explainModel',
  'POST forget/:name': 'operator.forget',
} as const;

const CLOCK: Clock = { nowMs: () => performance.now() };
const CHANCE: RandomSource = { next: () => Math.random() };

/** What kind of node a program runs. */
export type Role = 'edge' | 'core';

/**
 * A node as a process: the deterministic parts put together with sockets,
 * disk, clock and services.
 * @example
 * const started = await Node.start(settings, 'edge');
 * if (started.isOk) await started.value.stop();
 */
export class Node {
  #settings: Settings;
  #role: Role;
  #log: Logger;
  #broken: (why: Fault) => void;
  #wire: PeerTransport;
  #clusterNode: ClusterNode;
  #edge: SpecEdge | undefined;
  #sender = new UndiciSender();
  #door = new GracefulHttpServer({
    headersTimeout: HEADERS_MS,
    requestTimeout: 3 * HEADERS_MS,
    keepAliveTimeout: 65_000,
  });
  #operators: Operators;
  #broker = new ServiceBroker({ logger: false, transporter: null, skipProcessEventRegistration: true });
  #timers: NodeJS.Timeout[] = [];
  #ends = new Map<string, Omit<EndRecord, 'body'>>();
  #recorder: Recorder | undefined;
  #listing = false;
  #listFaults = 0;

  private constructor(
    settings: Settings,
    role: Role,
    acceptor: Acceptor | undefined,
    log: Logger,
    broken: (why: Fault) => void,
  ) {
    this.#broken = broken;
    this.#settings = settings;
    this.#role = role;
    this.#log = log;
    this.#wire = new PeerTransport(settings.deployment, (frame) => this.#clusterNode.receive(frame));
    this.#clusterNode = this.#makeClusterNode(acceptor);
    if (role === 'edge') this.#edge = this.#makeEdge();
    if (role === 'edge' && settings.recordFile !== '') this.#recorder = new Recorder(settings, CLOCK.nowMs());
    this.#operators = new Operators({
      clusterNode: this.#clusterNode,
      chance: CHANCE,
      clock: CLOCK,
      counters: () => this.#counters(),
      explain: (id) => this.#ends.get(id),
    });
  }

  /** Starts a node; a fault means that nothing was left open. */
  static async start(
    settings: Settings,
    role: Role,
    broken: (why: Fault) => void,
  ): Promise<Result<Node, Fault>> {
    const log = pino({ level: settings.logLevel, base: { node: settings.name } });
    const acceptor =
      role === 'core' ? await openDisk(settings, broken) : Result.ok<undefined, Fault>(undefined);
    if (acceptor.isErr) return Result.err(acceptor.error);
    const node = new Node(settings, role, acceptor.value, log, broken);
    const open = await node.#open();
    return open.map(() => node);
  }

  /** Stops without losing answers in flight: lets no one in, waits, says goodbye. */
  async stop(): Promise<void> {
    this.#log.info('stopping');
    this.#edge?.gateway.drain();
    this.#door.drain();
    const endMs = CLOCK.nowMs() + this.#settings.drainMs;
    while ((this.#edge?.gateway.inFlight ?? 0) > 0 && CLOCK.nowMs() < endMs) await pause(50);
    this.#clusterNode.group.leave();
    await pause(200);
    await this.#door.empty(Math.min(LINGER_MS, this.#settings.drainMs));
    for (const timer of this.#timers) clearInterval(timer);
    this.#log.info({ counters: this.#counters() }, 'stopped');
    setTimeout(() => this.#door.tear(), 500).unref();
    await this.#broker.stop();
    await this.#recorder?.close();
    await this.#sender.close();
    this.#wire.close();
  }

  #makeClusterNode(acceptor: Acceptor | undefined): ClusterNode {
    const { name, zone, deployment, seeds, founders, bind, reach } = this.#settings;
    return new ClusterNode({
      name,
      zone,
      deployment,
      seeds,
      founders: this.#role === 'core' ? founders : [],
      address: reach ?? bind,
      clock: CLOCK,
      chance: CHANCE,
      times: GROUP_TIMES,
      acceptor,
      send: (address, frame) => this.#wire.post(address, frame),
      order: (address, order, done) => {
        void sendOrder(address, order).then(done);
      },
      onStateChange: (held, entry) => this.#changed(held, entry),
      onCast: () => undefined,
      protocolLevels: PROTOCOL_LEVELS,
      answerQuery: (kind, text) => this.#operators.answer(kind, text),
      onJoinRejected: (why) => this.#broken(fault('unbridged', why)),
      onNewIncarnation: (incarnation) =>
        this.#log.warn({ incarnation }, 'dropped from the view, joining as new'),
    });
  }

  #makeEdge(): SpecEdge {
    const { name, zone } = this.#settings;
    const edge = new SpecEdge(this.#clusterNode, name, zone, CLOCK, CHANCE, this.#sender);
    edge.gateway.on('ended', (record) => this.#remember(record));
    return edge;
  }

  #remember(record: EndRecord): void {
    const { body: _, ...rest } = record;
    this.#ends.set(record.id, rest);
    this.#recorder?.take(record);
    const oldest = this.#ends.keys().next();
    if (this.#ends.size > EXPLAINED && oldest.done !== true) this.#ends.delete(oldest.value);
  }

  #changed(held: GroupState<SpecState>, entry: Entry | undefined): void {
    if (entry === undefined || entry.view !== undefined) {
      const { epoch, number, members } = held.view;
      this.#log.info(
        { epoch, view: number, members: members.map((member) => member.name), version: held.number },
        'view',
      );
    }
    this.#edge?.gateway.tick();
  }

  async #open(): Promise<Result<Unit, Fault>> {
    const listening = await this.#wire.listen(this.#settings.bind);
    if (listening.isErr) return listening;
    for (const schema of this.#services()) this.#broker.createService(schema);
    try {
      await this.#broker.start();
    } catch (thrown) {
      this.#wire.close();
      return Result.err(fault('bad-setting', `http ${this.#settings.http}: ${String(thrown)}`));
    }
    this.#timers.push(
      setInterval(() => this.#clusterNode.tick(), GROUP_TICK_MS),
      setInterval(() => void this.#list(), LIST_MS),
      setInterval(() => this.#log.info({ counters: this.#counters() }, 'counters'), COUNTERS_MS),
    );
    const edge = this.#edge;
    if (edge !== undefined) {
      this.#timers.push(
        setInterval(() => edge.gateway.tick(), GATEWAY_TICK_MS),
        setInterval(() => edge.observe(), OBSERVE_MS),
      );
    }
    this.#log.info({ role: this.#role, bind: this.#settings.bind, http: this.#settings.http }, 'started');
    return Result.ok();
  }

  async #list(): Promise<void> {
    if (this.#listing || this.#settings.platform === '') return;
    this.#listing = true;
    const list = await readList(this.#settings.platform);
    this.#listing = false;
    if (list.isOk) {
      if (this.#listFaults > 0) this.#log.info('the platform can be read again');
      this.#listFaults = 0;
      this.#clusterNode.learnList(list.value);
      this.#sender.keepOnly(new Set(list.value.workers.map((worker) => worker.address)));
    } else {
      if (this.#listFaults === 0)
        this.#log.warn({ detail: list.error.detail }, 'the platform cannot be read');
      this.#listFaults += 1;
    }
  }

  #counters(): Record<string, number> {
    const { group } = this.#clusterNode;
    const { user, system } = process.cpuUsage();
    return {
      ...this.#edge?.gateway.counts,
      ...this.#wire.counts,
      inFlight: this.#edge?.gateway.inFlight ?? 0,
      backlog: this.#edge?.gateway.backlogCount ?? 0,
      version: group.state?.number ?? 0,
      viewNumber: group.view?.number ?? 0,
      members: group.view?.members.length ?? 0,
      admitting: group.holdsLease() ? 1 : 0,
      leading: group.isCoordinator ? 1 : 0,
      contextBytes: group.contextBytes,
      unstableCasts: group.unstableCount,
      cpuMs: Math.round((user + system) / 1000),
      heldMb: Math.round(process.memoryUsage().rss / 2 ** 20),
    };
  }

  #services(): ServiceSchema[] {
    const operators = this.#operators;
    function text(value: unknown): string {
      return typeof value === 'string' ? value : value === undefined ? '' : JSON.stringify(value);
    }
    function base(params: Record<string, unknown>): number | undefined {
      return params['base'] === undefined ? undefined : Number(params['base']);
    }
    function action(run: (params: Record<string, unknown>) => OperatorReply | Promise<OperatorReply>) {
      return async (ctx: Context<Record<string, unknown>, { $statusCode?: number }>): Promise<unknown> => {
        const reply = await run(ctx.params);
        ctx.meta.$statusCode = reply.status;
        return reply.body;
      };
    }
    const operator: ServiceSchema = {
      name: 'operator',
      actions: {
        view: action(() => operators.fresh(() => operators.view())),
        spec: action(() => operators.fresh(() => operators.spec())),
        history: action(() => operators.fresh(() => operators.history())),
        check: action((params) => operators.check(text(params['text']))),
        put: action((params) => operators.put(text(params['text']), base(params), text(params['id']))),
        change: action((params) => operators.change(params['patch'] ?? {}, base(params), text(params['id']))),
        operation: action((params) => operators.operation(text(params['id']))),
        zones: action(() => operators.fresh(() => operators.zones())),
        empty: action((params) =>
          operators.submit('zone.empty', { zone: text(params['zone']) }, text(params['id'])),
        ),
        restore: action((params) =>
          operators.submit('zone.restore', { zone: text(params['zone']) }, text(params['id'])),
        ),
        workers: action(() => operators.fromCoordinator('workers', '')),
        groups: action(() => operators.fromCoordinator('groups', '')),
        counters: action((params) => operators.rows('counters', text(params['node']))),
        status: action((params) => operators.rows('status', text(params['node']))),
        ready: action(() => operators.ready()),
        explain: action((params) => operators.explain(text(params['id']))),
        explainModel: action((params) => operators.fromCoordinator('explainModel', text(params['model']))),
        forget: action((params) => operators.fromCoordinator('forget', text(params['name']))),
        metrics(ctx: Context<unknown, { $responseType?: string }>) {
          ctx.meta.$responseType = 'text/plain; version=0.0.4';
          return operators.metrics();
        },
      },
    };
    return [operator, this.#api()];
  }

  #api(): ServiceSchema {
    const gateway = this.#edge?.gateway;
    const door = this.#door;
    const { name } = this.#settings;
    const { host, port } = {
      host: this.#settings.http.split(':')[0] ?? '',
      port: Number(this.#settings.http.split(':')[1]),
    };
    function visitor(req: ChatRequest, res: ServerResponse): void {
      if (gateway === undefined) sendFault(res, fault('not-found', 'this node serves operators only'), '');
      else visit(gateway, name, CHANCE, req, res);
    }
    return {
      name: 'api',
      mixins: [ApiGateway],
      settings: {
        ip: host,
        port,
        logRequest: null,
        logRequestParams: null,
        logResponse: null,
        logRouteRegistration: null,
        onError: answerError,
        routes: [
          {
            path: '/rainrun/v1',
            mergeParams: true,
            bodyParsers: { json: { limit: SPEC_BODY } },
            aliases: OPERATOR_ALIASES,
          },
          {
            path: '/',
            bodyParsers: { raw: { type: () => true, limit: this.#settings.bodyMaxBytes } },
            aliases: { ':rest(.*)': visitor },
          },
        ],
      },
      methods: {
        createServer(this: { server: Server; isHTTPS: boolean; httpHandler: RequestListener }): void {
          this.server = door.create(this.httpHandler);
          this.isHTTPS = false;
        },
      },
    };
  }
}

/** Answers a request that the HTTP layer could not read or find. */
function answerError(
  _req: IncomingMessage,
  res: ServerResponse,
  thrown: Error & { type?: string; code?: number | string },
): void {
  if (thrown.type === 'entity.too.large') sendFault(res, fault('too-large', 'the body is too large'), '');
  else if (thrown.type === 'entity.parse.failed')
    sendFault(res, fault('bad-request', 'the body is not JSON'), '');
  else if (thrown.code === 404) sendFault(res, fault('not-found', 'nothing is served here'), '');
  else sendFault(res, fault('bad-request', thrown.message), '');
}

async function openDisk(settings: Settings, broken: (why: Fault) => void): Promise<Result<Acceptor, Fault>> {
  const opened = await RecordStore.open(settings.folder);
  if (opened.isErr) return Result.err(opened.error);
  const { recordStore, records } = opened.value;
  const opening = readRecords(records, randomId(CHANCE));
  if (opening.isErr) return Result.err(opening.error);
  const { deployment } = opening.value;
  if (deployment !== '' && deployment !== settings.deployment) {
    return Result.err(
      fault(
        'foreign',
        `${settings.folder} belongs to deployment "${deployment}", not "${settings.deployment}"`,
      ),
    );
  }
  const acceptor = new Acceptor(opening.value, recordStore, settings.deployment, broken);
  if (records.disk === undefined) acceptor.writeDiskRecord();
  return Result.ok(acceptor);
}
