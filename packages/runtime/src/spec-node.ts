/**
 * A node of the research groups' system (the programs `edge` and `core`): its sockets, timers, disk and
 * services.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';
import { PROTOCOL_LEVELS, type Entry } from '@rainrun/messages';
import { GROUP_TIMES, type Acceptor, type GroupState } from '@rainrun/process-group';
import { UndiciSender, type EndRecord } from '@rainrun/gateway';
import { SpecEdge, ClusterNode, OBSERVATION_INTERVAL_MS } from '@rainrun/cluster-node';
import type { SpecState } from '@rainrun/configuration';
import { fault, type Fault } from '@rainrun/common';
import { ServiceBroker, type ServiceSchema } from 'moleculer';
import { pino, type Logger } from 'pino';
import { Result, type Unit } from 'true-myth';
import { openAcceptor, waitForLastWrites } from './acceptor-disk.js';
import { GracefulHttpServer } from './graceful-http-server.js';
import { MONOTONIC_CLOCK, processUsage, SYSTEM_RANDOM, startTimer } from './process-environment.js';
import { apiService, operatorActions } from './spec-http-services.js';
import { SpecOperatorService } from './spec-operator-service.js';
import { RequestRecorder } from './request-recorder.js';
import { readSpecWorkerList, sendSpecOrder } from './spec-platform-client.js';
import type { Settings } from './settings.js';
import { sendFault, handleChatRequest, type ChatRequest } from './chat-completions.js';
import { PeerTransport } from './peer-transport.js';

const GROUP_TICK_MS = 50;
const GATEWAY_TICK_MS = 20;
const LIST_INTERVAL_MS = 500;
const COUNTERS_INTERVAL_MS = 10_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Number of finished requests kept for `explain`; the oldest are dropped first. */
const END_RECORDS_MAX = 2000;
/** Time during which a stopping node still responds on connections that callers keep open. */
const DRAIN_LINGER_MS = 5000;

/** The kind of node that a program runs. */
export type Role = 'edge' | 'core';

/**
 * A node as a process: connects the deterministic parts to sockets, disk, clock and HTTP services.
 * @example
 * const started = await SpecNode.start(settings, 'edge');
 * if (started.isOk) await started.value.stop();
 */
export class SpecNode {
  #settings: Settings;
  #role: Role;
  #log: Logger;
  #onFatal: (why: Fault) => void;
  #acceptor: Acceptor | undefined;
  #transport: PeerTransport;
  #clusterNode: ClusterNode;
  #edge: SpecEdge | undefined;
  #sender = new UndiciSender(startTimer);
  #httpServer = new GracefulHttpServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 3 * HEADERS_TIMEOUT_MS,
    keepAliveTimeout: 65_000,
  });
  #operators: SpecOperatorService;
  #broker = new ServiceBroker({ logger: false, transporter: null, skipProcessEventRegistration: true });
  #timers: NodeJS.Timeout[] = [];
  #endRecords = new Map<string, Omit<EndRecord, 'body'>>();
  #recorder: RequestRecorder | undefined;
  #isPollingList = false;
  #listFailures = 0;

  private constructor(
    settings: Settings,
    role: Role,
    acceptor: Acceptor | undefined,
    log: Logger,
    onFatal: (why: Fault) => void,
  ) {
    this.#onFatal = onFatal;
    this.#settings = settings;
    this.#role = role;
    this.#log = log;
    this.#acceptor = acceptor;
    this.#transport = new PeerTransport(settings.deployment, (frame) => this.#clusterNode.receive(frame));
    this.#clusterNode = this.#makeClusterNode(acceptor);
    if (role === 'edge') this.#edge = this.#makeEdge();
    if (role === 'edge' && settings.recordFile !== '')
      this.#recorder = new RequestRecorder(settings, MONOTONIC_CLOCK.nowMs());
    this.#operators = new SpecOperatorService({
      clusterNode: this.#clusterNode,
      chance: SYSTEM_RANDOM,
      clock: MONOTONIC_CLOCK,
      counters: () => this.#counters(),
      explain: (id) => this.#endRecords.get(id),
    });
  }

  /** Starts a node; when it returns a fault, nothing is left open. */
  static async start(
    settings: Settings,
    role: Role,
    onFatal: (why: Fault) => void,
  ): Promise<Result<SpecNode, Fault>> {
    const log = pino({ level: settings.logLevel, base: { node: settings.name } });
    const acceptor =
      role === 'core' ? await openDisk(settings, onFatal) : Result.ok<undefined, Fault>(undefined);
    if (acceptor.isErr) return Result.err(acceptor.error);
    const node = new SpecNode(settings, role, acceptor.value, log, onFatal);
    const services = await node.#startServices();
    return services.map(() => node);
  }

  /**
   * Graceful shutdown: rejects new requests, waits for those in flight, leaves the group, then waits for the disk.
   */
  async stop(): Promise<void> {
    this.#log.info({ inFlight: this.#edge?.gateway.inFlight ?? 0 }, 'stopping');
    this.#edge?.gateway.drain();
    this.#httpServer.drain();
    const endMs = MONOTONIC_CLOCK.nowMs() + this.#settings.drainMs;
    while ((this.#edge?.gateway.inFlight ?? 0) > 0 && MONOTONIC_CLOCK.nowMs() < endMs) await pause(50);
    this.#clusterNode.group.leave();
    await pause(200);
    await this.#httpServer.waitUntilIdle(Math.min(DRAIN_LINGER_MS, this.#settings.drainMs));
    for (const timer of this.#timers) clearInterval(timer);
    this.#log.info({ counters: this.#counters() }, 'stopped');
    setTimeout(() => this.#httpServer.closeAllConnections(), 500).unref();
    await this.#broker.stop();
    await this.#recorder?.close();
    await this.#sender.close();
    this.#transport.close();
    if (this.#acceptor !== undefined) await waitForLastWrites(this.#acceptor);
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
      clock: MONOTONIC_CLOCK,
      chance: SYSTEM_RANDOM,
      times: GROUP_TIMES,
      acceptor,
      send: (address, frame) => this.#transport.send(address, frame),
      order: (address, order, done) => {
        void sendSpecOrder(address, order).then(done);
      },
      onStateChange: (groupState, entry) => this.#onStateChange(groupState, entry),
      onCast: () => undefined,
      protocolLevels: PROTOCOL_LEVELS,
      answerQuery: (kind, text) => this.#operators.queries.answer(kind, text),
      onJoinRejected: (why) => this.#onFatal(fault('unbridged', why)),
      onNewIncarnation: (incarnation) =>
        this.#log.warn({ incarnation }, 'dropped from the view, joining as new'),
    });
  }

  #makeEdge(): SpecEdge {
    const { name, zone } = this.#settings;
    const edge = new SpecEdge(this.#clusterNode, name, zone, MONOTONIC_CLOCK, SYSTEM_RANDOM, this.#sender);
    edge.gateway.on('ended', (record) => this.#recordEnd(record));
    return edge;
  }

  #recordEnd(record: EndRecord): void {
    const { body: _, ...endRecord } = record;
    this.#endRecords.set(record.id, endRecord);
    this.#recorder?.record(record);
    const oldest = this.#endRecords.keys().next();
    if (this.#endRecords.size > END_RECORDS_MAX && oldest.done !== true)
      this.#endRecords.delete(oldest.value);
  }

  #onStateChange(groupState: GroupState<SpecState>, entry: Entry | undefined): void {
    if (entry === undefined || entry.view !== undefined) {
      const { epoch, number, members } = groupState.view;
      this.#log.info(
        { epoch, view: number, members: members.map((member) => member.name), version: groupState.number },
        'view',
      );
    }
    this.#edge?.gateway.tick();
  }

  async #startServices(): Promise<Result<Unit, Fault>> {
    const listening = await this.#transport.listen(this.#settings.bind);
    if (listening.isErr) return listening;
    for (const schema of this.#services()) this.#broker.createService(schema);
    try {
      await this.#broker.start();
    } catch (thrown) {
      this.#transport.close();
      return Result.err(fault('bad-setting', `http ${this.#settings.http}: ${String(thrown)}`));
    }
    this.#timers.push(
      setInterval(() => this.#clusterNode.tick(), GROUP_TICK_MS),
      setInterval(() => void this.#pollWorkerList(), LIST_INTERVAL_MS),
      setInterval(() => this.#log.info({ counters: this.#counters() }, 'counters'), COUNTERS_INTERVAL_MS),
    );
    const edge = this.#edge;
    if (edge !== undefined) {
      this.#timers.push(
        setInterval(() => edge.gateway.tick(), GATEWAY_TICK_MS),
        setInterval(() => edge.castMeasures(), OBSERVATION_INTERVAL_MS),
      );
    }
    this.#log.info({ role: this.#role, bind: this.#settings.bind, http: this.#settings.http }, 'started');
    return Result.ok();
  }

  async #pollWorkerList(): Promise<void> {
    if (this.#isPollingList || this.#settings.platform === '') return;
    this.#isPollingList = true;
    const list = await readSpecWorkerList(this.#settings.platform);
    this.#isPollingList = false;
    if (list.isOk) {
      if (this.#listFailures > 0)
        this.#log.info({ failures: this.#listFailures }, 'worker list available again');
      this.#listFailures = 0;
      this.#clusterNode.publishWorkerList(list.value);
      this.#sender.keepOnly(new Set(list.value.workers.map((worker) => worker.address)));
    } else {
      if (this.#listFailures === 0)
        this.#log.warn({ kind: list.error.kind, detail: list.error.detail }, 'worker list unavailable');
      this.#listFailures += 1;
    }
  }

  #counters(): Record<string, number> {
    const { group } = this.#clusterNode;
    return {
      ...this.#edge?.gateway.counts,
      ...this.#transport.counts,
      inFlight: this.#edge?.gateway.inFlight ?? 0,
      backlog: this.#edge?.gateway.backlogCount ?? 0,
      version: group.state?.number ?? 0,
      viewNumber: group.view?.number ?? 0,
      members: group.view?.members.length ?? 0,
      admitting: group.holdsLease() ? 1 : 0,
      leading: group.isCoordinator ? 1 : 0,
      contextBytes: group.contextBytes,
      unstableCasts: group.unstableCastCount,
      ...processUsage(),
    };
  }

  #services(): ServiceSchema[] {
    const api = apiService({
      address: this.#settings.http,
      httpServer: this.#httpServer,
      bodyMaxBytes: this.#settings.bodyMaxBytes,
      onClientRequest: (req, res) => this.#onClientRequest(req, res),
    });
    return [operatorActions(this.#operators), api];
  }

  #onClientRequest(req: ChatRequest, res: ServerResponse): void {
    const gateway = this.#edge?.gateway;
    if (gateway === undefined) sendFault(res, fault('not-found', 'this node serves operators only'), '');
    else handleChatRequest(gateway, this.#settings.name, SYSTEM_RANDOM, req, res);
  }
}

function openDisk(settings: Settings, onFatal: (why: Fault) => void): Promise<Result<Acceptor, Fault>> {
  const { folder, deployment } = settings;
  return openAcceptor({
    folder,
    deployment,
    random: SYSTEM_RANDOM,
    onFatal,
    check: (opened) =>
      opened.deployment === '' || opened.deployment === deployment
        ? undefined
        : fault('foreign', `${folder} belongs to deployment "${opened.deployment}", not "${deployment}"`),
  });
}
