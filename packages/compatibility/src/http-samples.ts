/** Samples of the HTTP interface for clients: headers, bodies, and the responses for faults. */
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { FAULT_RESPONSES, fault, isFaultKind, type RandomSource, type FaultKind } from '@rainrun/common';
import type { GatewayRequestInit, Gateway, GatewayResponseSink } from '@rainrun/gateway';
import { DIALECT } from '@rainrun/platform/dialect';
import { handleChatRequest } from '@rainrun/runtime';

/** All fault kinds, sorted by name because the order of `FAULT_RESPONSES` is not public. */
const KINDS = Object.keys(FAULT_RESPONSES).filter(isFaultKind).sort();

/** For every kind of fault: its status, whether the work may have run, and when to retry. */
export function faultResponses(): unknown {
  return KINDS.map((kind) => {
    const { status, ran, retryAfterS } = FAULT_RESPONSES[kind];
    const onPlatform = DIALECT.statusOfFault(fault(kind, 'detail')) ?? status;
    return [kind, status, ran, retryAfterS, onPlatform];
  });
}

/** Records the response that is written to a client. */
class RecordedResponse extends ServerResponse {
  readonly record: unknown[] = [];

  override writeHead(status: number, ...rest: unknown[]): this {
    this.record.push(
      status,
      rest.find((part) => typeof part === 'object'),
    );
    return this;
  }

  override end(...rest: unknown[]): this {
    this.record.push(rest[0] instanceof Uint8Array ? Buffer.from(rest[0]).toString() : rest[0]);
    return this;
  }
}

/** A random source with a constant value, which makes request ids deterministic. */
const CONSTANT_RANDOM: RandomSource = { next: () => 0.5 };

const CHAT = {
  model: 'model-1',
  adapter: 'adapter-1',
  stream: true,
  messages: [{ role: 'user', content: 'Hi' }],
};

function requestOf(method: string, headers: Record<string, string>, body: unknown) {
  const request = new IncomingMessage(new Socket());
  Object.assign(request, { method, url: '/v1/chat?x=1', body: Buffer.from(JSON.stringify(body)) });
  request.headers = headers;
  return request;
}

/** Passes a client's request to a gateway whose requests `handle` answers, and returns the response. */
function exchange(
  request: IncomingMessage,
  handle: (init: GatewayRequestInit, sink: GatewayResponseSink) => void,
): unknown {
  const response = new RecordedResponse(request);
  const gateway = {
    admit: (init: GatewayRequestInit, sink: GatewayResponseSink) => {
      handle(init, sink);
      return () => undefined;
    },
  };
  handleChatRequest(gateway as unknown as Gateway, 'edge-1', CONSTANT_RANDOM, request, response);
  return response.record;
}

/** What clients send to an edge of a site, and the responses that they get. */
export function clientExchanges(): unknown {
  const headers = { 'rainrun-group': 'group-1', 'rainrun-kind': 'short', 'rainrun-deadline-ms': '1500' };
  const asked: unknown[] = [];
  function recordRequest({
    id,
    path,
    method,
    group,
    kind,
    model,
    adapter,
    prefix,
    streamed,
    body,
    deadlineMs,
  }: GatewayRequestInit): void {
    asked.push([id, path, method, group, kind, model, adapter, prefix, streamed, body?.length, deadlineMs]);
  }
  exchange(requestOf('POST', headers, CHAT), recordRequest);
  exchange(requestOf('GET', headers, {}), recordRequest);
  exchange(requestOf('POST', {}, { model: 'model-1', messages: CHAT.messages }), recordRequest);
  return {
    asked,
    answered: exchange(requestOf('GET', {}, {}), (_init, sink) =>
      sink.respond(200, 'text/plain', Buffer.from('well')),
    ),
    streamed: exchange(requestOf('GET', {}, {}), (_init, sink) => sink.open('text/event-stream')),
    refused: KINDS.map((kind: FaultKind) =>
      exchange(requestOf('GET', {}, {}), (_init, sink) => sink.reject(fault(kind, 'why'))),
    ),
    refusedForAWhile: exchange(requestOf('GET', {}, {}), (_init, sink) =>
      sink.reject({ ...fault('over-share', 'why'), retryAfterS: 7 }),
    ),
    malformed: [
      requestOf('GET', { 'rainrun-deadline-ms': 'soon' }, {}),
      requestOf('DELETE', {}, {}),
      requestOf('POST', {}, { model: '', messages: [] }),
    ].map((request) => exchange(request, () => undefined)),
  };
}
