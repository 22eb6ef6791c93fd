import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayRequestInit, Gateway, GatewayResponseSink } from '@rainrun/gateway';
import { FAULT_RESPONSES, fault, hashText, randomId, type RandomSource, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import * as v from 'valibot';

const ChatSchema = v.looseObject({
  model: v.pipe(v.string(), v.minLength(1)),
  adapter: v.optional(v.string(), ''),
  stream: v.optional(v.boolean(), false),
  messages: v.pipe(v.array(v.looseObject({ role: v.string(), content: v.string() })), v.minLength(1)),
});

const PREFIX_CHARS = 256;

/** A request as moleculer-web hands it on, its body read. */
export type ChatRequest = IncomingMessage & { body?: unknown; originalUrl?: string };

/**
 * The answer for a fault, by the table of kinds, sent at once.
 * @example
 * sendFault(res, fault('over-share', 'too many wait'), 'id-1');
 */
export function sendFault(res: ServerResponse, why: Fault, id: string): void {
  const row = FAULT_RESPONSES[why.kind];
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const headers: Record<string, string> = { 'content-type': 'application/json', 'rainrun-id': id };
  const returnS = why.retryAfterS ?? row.retryAfterS;
  if (returnS > 0) headers['retry-after'] = String(returnS);
  res.writeHead(row.status, headers);
  res.end(JSON.stringify({ error: { kind: why.kind, message: why.detail, ran: row.ran, id } }));
}

class HttpPort implements GatewayResponseSink {
  #res: ServerResponse;
  #id: string;

  constructor(res: ServerResponse, id: string) {
    this.#res = res;
    this.#id = id;
  }

  respond(status: number, contentType: string, body: Uint8Array): void {
    this.#res.writeHead(status, {
      'content-type': contentType,
      'content-length': body.length,
      'rainrun-id': this.#id,
    });
    this.#res.end(body);
  }

  reject(why: Fault): void {
    sendFault(this.#res, why, this.#id);
  }

  open(contentType: string): void {
    this.#res.writeHead(200, {
      'content-type': contentType,
      'cache-control': 'no-store',
      'rainrun-id': this.#id,
    });
  }

  write(bytes: Uint8Array, resume: () => void): boolean {
    if (this.#res.write(bytes)) return true;
    this.#res.once('drain', resume);
    return false;
  }

  close(): void {
    this.#res.end();
  }

  /** The chunked body is left without its end, so that the visitor sees the cut. */
  abort(): void {
    this.#res.destroy();
  }
}

function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

function readAsk(req: ChatRequest, id: string): Result<GatewayRequestInit, Fault> {
  const wish = header(req, 'rainrun-deadline-ms');
  const deadlineMs = wish === '' ? undefined : Number(wish);
  if (deadlineMs !== undefined && !Number.isFinite(deadlineMs))
    return Result.err(fault('bad-request', 'rainrun-deadline-ms is not a number'));
  const path = req.originalUrl ?? req.url ?? '/';
  const shared = {
    id,
    path,
    group: header(req, 'rainrun-group'),
    kind: header(req, 'rainrun-kind'),
    deadlineMs,
  };
  if (req.method === 'GET') {
    return Result.ok({
      ...shared,
      method: 'GET',
      model: '',
      adapter: '',
      prefix: hashText(path),
      streamed: false,
      body: undefined,
    });
  }
  if (req.method !== 'POST') return Result.err(fault('bad-request', `method ${req.method ?? ''}`));
  if (!Buffer.isBuffer(req.body)) return Result.err(fault('bad-request', 'no body'));
  const body = req.body;
  let data: unknown;
  try {
    data = JSON.parse(body.toString('utf8'));
  } catch {
    return Result.err(fault('bad-request', 'the body is not JSON'));
  }
  const chat = v.safeParse(ChatSchema, data);
  if (!chat.success)
    return Result.err(
      fault(
        'bad-request',
        chat.issues.map((issue) => `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`).join('; '),
      ),
    );
  const { model, adapter, stream, messages } = chat.output;
  const prefix = hashText(`${model}/${adapter}/${(messages[0]?.content ?? '').slice(0, PREFIX_CHARS)}`);
  return Result.ok({ ...shared, method: 'POST', model, adapter, prefix, streamed: stream, body });
}

/**
 * Takes a visitor's request from HTTP to the gateway.
 * @example
 * visit(gateway, 'edge-1', chance, req, res);
 */
export function visit(
  gateway: Gateway,
  edge: string,
  chance: RandomSource,
  req: ChatRequest,
  res: ServerResponse,
): void {
  const id = `${edge}.${randomId(chance)}`;
  const ask = readAsk(req, id);
  if (ask.isErr) return sendFault(res, ask.error, id);
  const leave = gateway.admit(ask.value, new HttpPort(res, id));
  res.on('close', () => {
    if (!res.writableFinished) leave();
  });
}
