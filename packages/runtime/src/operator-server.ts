/** The HTTP server for operator calls on a core of the platform. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { OperatorCall, OperatorReply, OperatorService } from '@rainrun/cluster-node';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import type { Dialect } from './dialect.js';
import { jsonDepth } from './json-depth.js';
import type { Log } from './log.js';

/**
 * Limit for a request body: a configuration has at most 3 MiB, but a caller's JSON may hold more whitespace.
 */
export const BODY_MAX_BYTES = 4 * 1024 * 1024;
const JSON_DEPTH_MAX = 64;

/** The part of the operator service that this server calls. */
export type OperatorCallHandler = Pick<OperatorService, 'answer' | 'failure'>;

/**
 * Reads operator calls, passes them to the operator service and logs each. A call whose caller has
 * disconnected is dropped: the caller may already have sent it to another node.
 * @example
 * const server = new OperatorServer(dialect, service, log);
 * server.listen('10.0.0.4', 8146);
 */
export class OperatorServer {
  #dialect: Dialect;
  #handler: OperatorCallHandler;
  #log: Log;
  #server: Server;

  constructor(dialect: Dialect, handler: OperatorCallHandler, log: Log) {
    this.#dialect = dialect;
    this.#handler = handler;
    this.#log = log;
    this.#server = createServer((req, res) => {
      this.#receive(req, res).catch((thrown: unknown) => {
        log.error({ err: thrown, detail: String(thrown) }, 'operator call failed');
        res.destroy();
      });
    });
  }

  /** The port on which the server listens, 0 before it does. */
  get port(): number {
    const bound = this.#server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  listen(host: string, port: number, listening: () => void = () => undefined): void {
    this.#server.listen({ host, port, backlog: 256 }, listening);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #receive(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
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

  async #answer(req: IncomingMessage, body: Result<string, Fault>): Promise<OperatorReply> {
    const call = body.andThen((text) =>
      this.#dialect.readCall(req.method ?? '', req.url ?? '', req.headers, text),
    );
    const reply = call.isOk ? await this.#execute(call.value, req) : this.#handler.failure(call.error);
    this.#log.info(
      call.isOk ? callLogFields(call.value, reply) : rejectionLogFields(call.error, reply),
      'operator',
    );
    return reply;
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

/**
 * The body of a call as text. One that is too large is read and discarded, so that the caller gets a
 * response, not a reset.
 */
function readBody(req: IncomingMessage): Promise<Result<string, Fault>> {
  const tooLarge = fault('too-large', `the body is larger than ${BODY_MAX_BYTES} bytes`);
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    req.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes <= BODY_MAX_BYTES) {
        parts.push(part);
        return;
      }
      parts.length = 0;
      resolve(Result.err(tooLarge));
    });
    req.on('end', () => resolve(readText(Buffer.concat(parts))));
    req.on('error', (thrown) => resolve(Result.err(fault('bad-request', thrown.message))));
  });
}

function readText(bytes: Buffer): Result<string, Fault> {
  return tryOrElse(
    () => fault('bad-request', 'the body is not UTF-8 text'),
    () => new TextDecoder('utf-8', { fatal: true }).decode(bytes),
  ).andThen((text) =>
    jsonDepth(text) > JSON_DEPTH_MAX
      ? Result.err<string, Fault>(fault('bad-request', `the body is nested deeper than ${JSON_DEPTH_MAX}`))
      : Result.ok<string, Fault>(text),
  );
}
