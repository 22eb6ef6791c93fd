/** Chat completion requests over HTTP on an edge of the research groups' system. */
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

const ChatBodySchema = v.pipe(v.string(), v.parseJson(), ChatSchema);

type Chat = v.InferOutput<typeof ChatSchema>;

/**
 * Length of the first message's start, in characters, by which prompts with a common prefix are recognized.
 */
const PREFIX_CHARS = 256;

/** A request as moleculer-web passes it on, with its body read. */
export type ChatRequest = IncomingMessage & { body?: unknown; originalUrl?: string };

/**
 * Sends the error response that `FAULT_RESPONSES` gives for the kind of the fault.
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
  const retryAfterS = why.retryAfterS ?? row.retryAfterS;
  if (retryAfterS > 0) headers['retry-after'] = String(retryAfterS);
  res.writeHead(row.status, headers);
  res.end(JSON.stringify({ error: { kind: why.kind, message: why.detail, ran: row.ran, id } }));
}

class ChatResponse implements GatewayResponseSink {
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

  /** Closes the connection without the final chunk, so that the client sees that the body is incomplete. */
  abort(): void {
    this.#res.destroy();
  }
}

function header(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

function readGatewayRequest(req: ChatRequest, id: string): Result<GatewayRequestInit, Fault> {
  const deadlineText = header(req, 'rainrun-deadline-ms');
  const deadlineMs = deadlineText === '' ? undefined : Number(deadlineText);
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
  if (!Buffer.isBuffer(req.body)) return Result.err(fault('bad-request', 'the request has no body'));
  const body = req.body;
  return readChat(body).map(({ model, adapter, stream, messages }) => {
    const prefix = hashText(`${model}/${adapter}/${(messages[0]?.content ?? '').slice(0, PREFIX_CHARS)}`);
    return { ...shared, method: 'POST', model, adapter, prefix, streamed: stream, body };
  });
}

/** Parses the JSON body of a chat completion; the fault names each invalid field. */
function readChat(body: Buffer): Result<Chat, Fault> {
  const parsed = v.safeParse(ChatBodySchema, body.toString('utf8'));
  if (parsed.success) return Result.ok(parsed.output);
  const details = parsed.issues.map((issue) =>
    issue.type === 'parse_json'
      ? 'the body is not JSON'
      : `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`,
  );
  return Result.err(fault('bad-request', details.join('; ')));
}

/**
 * Passes a client's HTTP request to the gateway, and cancels it there if the client disconnects.
 * @example
 * handleChatRequest(gateway, 'edge-1', chance, req, res);
 */
export function handleChatRequest(
  gateway: Gateway,
  edge: string,
  chance: RandomSource,
  req: ChatRequest,
  res: ServerResponse,
): void {
  const id = `${edge}.${randomId(chance)}`;
  const request = readGatewayRequest(req, id);
  if (request.isErr) return sendFault(res, request.error, id);
  const cancel = gateway.admit(request.value, new ChatResponse(res, id));
  res.on('close', () => {
    if (!res.writableFinished) cancel();
  });
}
