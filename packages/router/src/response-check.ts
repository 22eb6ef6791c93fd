/** Checks the head of a worker's response, so that no response to another request is forwarded. */
import type { Header } from '@rainrun/gateway';
import { headerValue, type HeaderNames } from './headers.js';

/**
 * What the head of a response means: the worker runs the request (`valid`), has not run it (`not-run`), is
 * another worker or lacks the model (`misdirected`), or the response cannot be trusted (`invalid`).
 */
export type HeadCheckResult =
  | { readonly kind: 'valid' }
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'invalid'; readonly reason: string };

/** Status with which a worker rejects a request that is meant for another worker. */
const MISDIRECTED_REQUEST = 421;

/** Lowest status code that does not report success. */
const FIRST_UNSUCCESSFUL = 300;

/**
 * Checks the head of a response to a request.
 * @example
 * checkResponseHead('request-7', names, 421, [['request-id', 'request-7']]); // { kind: 'misdirected' }
 */
export function checkResponseHead(
  requestId: string,
  names: HeaderNames,
  status: number,
  headers: readonly Header[],
): HeadCheckResult {
  if (headerValue(headers, names.requestId) !== requestId)
    return { kind: 'invalid', reason: 'the response belongs to another request' };
  const notRun = headerValue(headers, names.notRun) !== undefined;
  if (notRun && status < FIRST_UNSUCCESSFUL)
    return { kind: 'invalid', reason: 'a successful response is marked as not run' };
  if (status === MISDIRECTED_REQUEST) return { kind: 'misdirected' };
  if (notRun) return { kind: 'not-run' };
  if (status < FIRST_UNSUCCESSFUL && headerValue(headers, names.signature) === undefined)
    return { kind: 'invalid', reason: 'the response has no signature' };
  return { kind: 'valid' };
}
