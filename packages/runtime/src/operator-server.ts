/** The HTTP server for operator calls on a core of the platform. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { OperatorCall, OperatorReply, OperatorService } from '@rainrun/cluster-node';
import { fault, type Clock, type Fault, type MemoryBudget } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { BodyReader, type BodyRejection } from './body-reader.js';
import { ConnectionLimit } from './connection-limit.js';
import type { Dialect } from './dialect.js';
import { jsonExtent } from './json-extent.js';
import type { Log } from './log.js';
import { PipelineLimit } from './pipeline-limit.js';
import { ReadPacer } from './read-pacer.js';
import { bodyBudget, coreConnectionLimits, type MachineLimits } from './resource-limits.js';
import { onResponseClose } from './response-close.js';
import { serverCounts } from './server-counts.js';
import { UnfinishedBodies } from './unfinished-bodies.js';

/**
 * Limit for a request body: a configuration has at most 3 MiB, but a caller's JSON may hold more whitespace.
 */
export const BODY_MAX_BYTES = 4 * 1024 * 1024;
const JSON_DEPTH_MAX = 64;
/** Routes, models and keys take more than 11 bytes a value: a configuration of 3 MiB stays below it. */
const JSON_VALUES_MAX = 300_000;

/** Timeouts of connections; an operator's machine sends even a large configuration within a few seconds. */
const SERVER_TIMEOUTS = { headersTimeout: 10_000, requestTimeout: 60_000 } as const;
/** Time after which a body of which nothing came is given up. */
const BODY_IDLE_TIMEOUT_MS = 15_000;
const IDLE_CHECK_INTERVAL_MS = 1000;
const STATUS_REQUEST_TIMEOUT = 408;

/** What is wrong with a body that is not read to its end; the rest is discarded, so that the caller gets a reply. */
const BODY_FAULTS: Readonly<Record<BodyRejection, Fault>> = {
  'too-large': fault('too-large', `the body is larger than ${BODY_MAX_BYTES} bytes`),
  'no-memory': fault('over-share', 'the bodies of all calls here are too large'),
  idle: fault('bad-request', 'nothing of the body came for a time'),
};

/** What the operator server needs from its node. */
export interface OperatorServerDependencies {
  readonly dialect: Dialect;
  readonly handler: OperatorCallHandler;
  readonly log: Log;
  readonly machine: MachineLimits;
  readonly clock: Clock;
}

/** The part of the operator service that this server calls. */
export type OperatorCallHandler = Pick<OperatorService, 'answer' | 'failure'>;

/**
 * Reads operator calls, passes them to the operator service and logs each that was read. A call whose caller has
 * disconnected is dropped: the caller may already have sent it to another node.
 * @example
 * const server = new OperatorServer({ dialect, handler: service, log, machine, clock });
 * server.listen('10.0.0.4', 8146);
 */
export class OperatorServer {
  #dialect: Dialect;
  #handler: OperatorCallHandler;
  #log: Log;
  #server: Server;
  #bodies: MemoryBudget;
  #connectionLimit: ConnectionLimit;
  #pipelineLimit = new PipelineLimit();
  #unfinishedBodies = new UnfinishedBodies();
  #pacer = new ReadPacer();
  #idleCheck: NodeJS.Timeout;

  constructor({ dialect, handler, log, machine, clock }: OperatorServerDependencies) {
    this.#dialect = dialect;
    this.#handler = handler;
    this.#log = log;
    this.#connectionLimit = new ConnectionLimit(coreConnectionLimits(machine).operators, clock);
    this.#bodies = bodyBudget(machine, BODY_MAX_BYTES, clock);
    this.#server = createServer(SERVER_TIMEOUTS, (req, res) => {
      if (!this.#pipelineLimit.accept(req, res)) return;
      this.#receive(req, res).catch((thrown: unknown) => {
        log.error({ err: thrown, detail: String(thrown) }, 'operator call failed');
        res.destroy();
      });
    });
    this.#server.on('connection', (socket) => {
      this.#connectionLimit.add(socket);
    });
    this.#idleCheck = setInterval(
      () => this.#unfinishedBodies.rejectIdle(clock.nowMs() - BODY_IDLE_TIMEOUT_MS),
      IDLE_CHECK_INTERVAL_MS,
    ).unref();
  }

  /** The port on which the server listens, 0 before it does. */
  get port(): number {
    const bound = this.#server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  /** What callers hold here, and how many of them gave way, by the names of the counters. */
  get counts(): Readonly<Record<string, number>> {
    return serverCounts({
      bodies: this.#bodies,
      unfinishedBodies: this.#unfinishedBodies,
      connections: this.#connectionLimit,
      pipelines: this.#pipelineLimit,
    });
  }

  listen(host: string, port: number, listening: () => void = () => undefined): void {
    this.#server.listen({ host, port, backlog: 256 }, listening);
  }

  close(): void {
    clearInterval(this.#idleCheck);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #receive(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await this.#readBody(req, res);
    this.#connectionLimit.begin(req.socket);
    onResponseClose(req, res, () => this.#connectionLimit.end(req.socket));
    // The end of a connection is read one turn of the event loop after the call on it.
    await nextTurn();
    await nextTurn();
    if (isCallerGone(req)) return;
    const reply = await this.#answer(req, body);
    if (res.destroyed) return;
    res.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(reply.body),
    });
    res.end(reply.body);
  }

  /** Reads a body; its memory counts as held until the response is closed. */
  #readBody(req: IncomingMessage, res: ServerResponse): Promise<Result<Buffer, BodyRejection>> {
    return new Promise((resolve) => {
      const reader = new BodyReader(
        req,
        { maxBytes: BODY_MAX_BYTES, budget: this.#bodies, pacer: this.#pacer },
        {
          complete: (body) => resolve(Result.ok(body)),
          rejected: (reason) => resolve(Result.err(reason)),
        },
      );
      this.#unfinishedBodies.add(reader, req, res);
      onResponseClose(req, res, () => reader.release());
    });
  }

  async #answer(req: IncomingMessage, body: Result<Buffer, BodyRejection>): Promise<OperatorReply> {
    const call = body
      .mapErr((reason) => BODY_FAULTS[reason])
      .andThen(readText)
      .andThen((text) => this.#dialect.readCall(req.method ?? '', req.url ?? '', req.headers, text));
    const reply = call.isOk ? await this.#execute(call.value, req) : this.#reject(call.error, body);
    // Bodies without room or end are only counted: a crowd of them would fill the log.
    if (body.isOk || body.error === 'too-large')
      this.#log.info(
        call.isOk ? callLogFields(call.value, reply) : rejectionLogFields(call.error, reply),
        'operator',
      );
    return reply;
  }

  /** The reply to a call that is not executed; after 408, unlike 400, a caller tries again. */
  #reject(why: Fault, body: Result<Buffer, BodyRejection>): OperatorReply {
    const reply = this.#handler.failure(why);
    return body.isErr && body.error === 'idle' ? { ...reply, status: STATUS_REQUEST_TIMEOUT } : reply;
  }

  #execute(call: OperatorCall, req: IncomingMessage): Promise<OperatorReply> {
    return new Promise((resolve) => this.#handler.answer(call, resolve, () => isCallerGone(req)));
  }
}

function callLogFields(call: OperatorCall, { status }: OperatorReply): Record<string, unknown> {
  return { call: call.kind, base: 'base' in call ? call.base : undefined, status };
}

/** Leaves out the cause of the fault: a thrown error may quote the body, which can hold secrets. */
function rejectionLogFields({ kind, detail }: Fault, { status }: OperatorReply): Record<string, unknown> {
  return { refused: { kind, detail }, status };
}

/**
 * Whether the caller has closed its connection. Its call may have been delayed in a frozen process or by a
 * network partition that has healed.
 */
function isCallerGone(req: IncomingMessage): boolean {
  return req.socket.readableEnded || req.socket.destroyed;
}

/** The body of a call as text. */
function readText(bytes: Buffer): Result<string, Fault> {
  return tryOrElse(
    () => fault('bad-request', 'the body is not UTF-8 text'),
    () => new TextDecoder('utf-8', { fatal: true }).decode(bytes),
  ).andThen(checkExtent);
}

/** Rejects a text that is nested too deeply to be parsed, or holds more values than a core has room for. */
function checkExtent(text: string): Result<string, Fault> {
  const { depth, values } = jsonExtent(text);
  if (depth > JSON_DEPTH_MAX)
    return Result.err(fault('bad-request', `the body is nested deeper than ${JSON_DEPTH_MAX}`));
  if (values > JSON_VALUES_MAX)
    return Result.err(fault('too-large', `the body holds more than ${JSON_VALUES_MAX} values`));
  return Result.ok(text);
}
