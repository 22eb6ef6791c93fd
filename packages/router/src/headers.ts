/** Headers between the router of the platform system and its workers. */
import type { Header } from '@rainrun/gateway';
import type { RoutedRequest } from './request.js';

/** The names of the headers between router and workers; compared without case. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadlineMs: string;
  readonly lastEventId: string;
  readonly signature: string;
  readonly expectInstance: string;
  readonly notRun: string;
  readonly priority: string;
  /** The API key of a client; never forwarded to workers. */
  readonly apiKey: string;
  /** The name of the tenant that holds the API key. */
  readonly tenant: string;
}

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'proxy-connection',
  'te',
  'trailer',
  'upgrade',
  'proxy-authenticate',
  'proxy-authorization',
]);

/**
 * Whether a header applies to a single connection only.
 * @example
 * isHopByHop('Connection'); // true
 */
export function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name.toLowerCase());
}

/**
 * The end-to-end headers: neither hop-by-hop headers nor those that `Connection` names.
 * @example
 * endToEndHeaders([['Connection', 'x-hop'], ['X-Hop', '1'], ['X-Note', '2']]); // [['X-Note', '2']]
 */
export function endToEndHeaders(headers: readonly Header[]): Header[] {
  const named = new Set<string>();
  for (const [name, value] of headers) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const option of value.split(',')) named.add(option.trim().toLowerCase());
  }
  return headers.filter(([name]) => !isHopByHop(name) && !named.has(name.toLowerCase()));
}

/**
 * The value of a header, by its case-insensitive name.
 * @example
 * headerValue([['Retry-After', '1']], 'retry-after'); // '1'
 */
export function headerValue(headers: readonly Header[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  return headers.find(([known]) => known.toLowerCase() === wanted)?.[1];
}

/**
 * The headers of one attempt: the client's without its API key and hop-by-hop headers, and the router's own,
 * which replace client headers of the same names.
 * @param remainingMs - time until the request expires, in whole milliseconds
 */
export function attemptHeaders(
  request: RoutedRequest,
  workerId: string,
  names: HeaderNames,
  remainingMs: number,
): Header[] {
  const { clientRequest, tenant, lastEventId, streamed } = request;
  const own = new Set(
    [
      names.deadlineMs,
      names.expectInstance,
      names.priority,
      names.lastEventId,
      names.apiKey,
      names.tenant,
    ].map((name) => name.toLowerCase()),
  );
  const headers: Header[] = clientRequest.headers.filter(
    ([name]) => !isHopByHop(name) && !own.has(name.toLowerCase()) && name.toLowerCase() !== 'content-length',
  );
  if (clientRequest.deadlineMs !== undefined) headers.push([names.deadlineMs, String(remainingMs)]);
  if (lastEventId !== undefined) headers.push([names.lastEventId, lastEventId]);
  headers.push([names.expectInstance, workerId]);
  if (streamed) headers.push([names.priority, String(request.workerPriority)]);
  if (tenant !== undefined) headers.push([names.tenant, toHeaderValue(tenant.name)]);
  return headers;
}

/** Encodes text as UTF-8 in a header value, in which each character is one byte. */
function toHeaderValue(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}
