/** Checks the head of a client's HTTP request and translates the request into the router's terms. */
import type { IncomingMessage } from 'node:http';
import type { Limits } from '@rainrun/configuration';
import { fault, type Fault } from '@rainrun/common';
import type { Header } from '@rainrun/gateway';
import { endToEndHeaders, type ClientRequest } from '@rainrun/router';
import type { ClientHeaderNames } from './dialect.js';

/** The fault and HTTP status with which a request is rejected before its body is read. */
export interface HeadRejection {
  readonly status: number;
  readonly why: Fault;
}

/**
 * Checks the size of the head, that there is exactly one id and at most one host, and the announced size of
 * the body.
 * @example
 * checkHead(req, headerNames, DEFAULT_LIMITS)?.status; // 413 if the announced body is too large
 */
export function checkHead(
  req: IncomingMessage,
  headerNames: ClientHeaderNames,
  limits: Limits,
): HeadRejection | undefined {
  const bytes = headBytes(req);
  if (bytes > limits.headerBytes)
    return { status: 431, why: fault('too-large', `the request headers are too large: ${bytes} bytes`) };
  if (requestId(req, headerNames) === '')
    return { status: 400, why: fault('bad-request', 'the request has no id header') };
  if (isRepeated(req, headerNames.requestId) || isRepeated(req, 'host'))
    return { status: 400, why: fault('bad-request', 'the request has more than one id or host header') };
  if (Number(req.headers['content-length'] ?? 0) > limits.bodyBytes)
    return { status: 413, why: fault('too-large', 'the body is too large') };
  return undefined;
}

/**
 * Converts an HTTP request to the router's request type; times are in milliseconds.
 * @example
 * const request = toClientRequest(req, headerNames, body);
 */
export function toClientRequest(
  req: IncomingMessage,
  headerNames: ClientHeaderNames,
  body: Buffer,
): ClientRequest {
  const [model = '', adapter = ''] = headerText(req, headerNames.model).split('/');
  return {
    id: requestId(req, headerNames),
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    host: (req.headers.host ?? '').replace(/:\d+$/, ''),
    headers: forwardedHeaders(req.rawHeaders, headerNames),
    body,
    deadlineMs: readDeadlineMs(firstValue(req.headers[headerNames.deadlineMs])),
    model,
    adapter,
    prefix: readPrefix(headerText(req, headerNames.prefix)),
    promptTokens: Number(headerText(req, headerNames.tokens).split(',')[0]) || 0,
    lastEventId: firstValue(req.headers[headerNames.lastEventId]),
    apiKey: readApiKey(req, headerNames.apiKey),
  };
}

/**
 * The headers that are forwarded to the worker: the end-to-end headers except `Expect`, the API key and the
 * tenant, which only an edge may set.
 */
function forwardedHeaders(rawHeaders: readonly string[], { apiKey, tenant }: ClientHeaderNames): Header[] {
  const withheld = new Set(['expect', apiKey, tenant]);
  const headers: Header[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2)
    headers.push([rawHeaders[at] ?? '', rawHeaders[at + 1] ?? '']);
  return endToEndHeaders(headers).filter(([name]) => !withheld.has(name.toLowerCase()));
}

/**
 * The client's API key, decoded as UTF-8; undefined if the header is repeated, as it is unclear which value
 * counts.
 */
function readApiKey(req: IncomingMessage, name: string): string | undefined {
  const apiKey = firstValue(req.headers[name]);
  if (apiKey === undefined || isRepeated(req, name)) return undefined;
  return Buffer.from(apiKey, 'latin1').toString('utf8');
}

/** Milliseconds that the client still waits; undefined unless the header holds a number of at least 0. */
function readDeadlineMs(text: string | undefined): number | undefined {
  const deadlineMs = Number(text ?? NaN);
  return Number.isFinite(deadlineMs) && deadlineMs >= 0 ? deadlineMs : undefined;
}

/**
 * Names of the prompt's blocks without their lengths; the last block is left out, as it is unique to the
 * request.
 */
function readPrefix(text: string): string[] {
  const blocks = text.split(',').filter((block) => block !== '');
  return blocks.slice(0, -1).map((block) => block.split(':')[0] ?? '');
}

function headerText(req: IncomingMessage, name: string): string {
  return firstValue(req.headers[name]) ?? '';
}

function requestId(req: IncomingMessage, headerNames: ClientHeaderNames): string {
  return headerText(req, headerNames.requestId);
}

/** Approximate size of the head as it was sent, in bytes. */
function headBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, (req.url ?? '').length + 12);
}

function isRepeated(req: IncomingMessage, header: string): boolean {
  return (req.headersDistinct[header]?.length ?? 0) > 1;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
