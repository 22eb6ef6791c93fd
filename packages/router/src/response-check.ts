/** Judges the head of a worker's response, so that the router of the platform system forwards nothing foreign. */
import type { Header } from '@rainrun/gateway';
import { headerValue, type HeaderNames } from './headers.js';

/**
 * What the head of a response says: the worker runs the request (`valid`), has not run it (`not-run`), is another
 * worker or lacks the model (`misdirected`), or the response cannot be trusted (`invalid`).
 */
export type HeadCheckResult =
  | { readonly kind: 'valid' }
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'invalid'; readonly reason: string };

/** Status by which a worker says that a request is not for it. */
const MISDIRECTED_REQUEST = 421;

/** Least status that does not say that the request succeeded. */
const FIRST_UNSUCCESSFUL = 300;

/**
 * Judges the head of a response to a request.
 * @example
 * checkHead('request-7', names, 421, [['request-id', 'request-7']]); // { kind: 'misdirected' }
 */
export function checkResponseHead(
  requestId: string,
  names: HeaderNames,
  status: number,
  headers: readonly Header[],
): HeadCheckResult {
  if (headerValue(headers, names.requestId) !== requestId)
    return { kind: 'invalid', reason: 'an answer to another request' };
  const notRun = headerValue(headers, names.notRun) !== undefined;
  if (notRun && status < FIRST_UNSUCCESSFUL)
    return { kind: 'invalid', reason: 'an answer that says that it was not run' };
  if (status === MISDIRECTED_REQUEST) return { kind: 'misdirected' };
  if (notRun) return { kind: 'not-run' };
  if (status < FIRST_UNSUCCESSFUL && headerValue(headers, names.signature) === undefined)
    return { kind: 'invalid', reason: 'an answer without its signature' };
  return { kind: 'valid' };
}
