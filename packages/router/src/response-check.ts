/** Judges the head of a worker's response, so that the router of the platform system forwards nothing foreign. */
import type { Header } from '@rainrun/gateway';
import { valueOf, type HeaderNames } from './headers.js';

/**
 * What the head of a response says: the worker runs the request (`valid`), has not run it (`not-run`), is another
 * worker or lacks the model (`misdirected`), or the response cannot be trusted (`invalid`).
 */
export type HeadVerdict =
  | { readonly kind: 'valid' }
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'invalid'; readonly why: string };

/** Status by which a worker says that a request is not for it. */
const MISDIRECTED_REQUEST = 421;

/** Least status that does not say that the request succeeded. */
const FIRST_UNSUCCESSFUL = 300;

/**
 * Judges the head of a response to a request.
 * @example
 * checkHead('request-7', names, 421, [['request-id', 'request-7']]); // { kind: 'misdirected' }
 */
export function checkHead(
  requestId: string,
  names: HeaderNames,
  status: number,
  headers: readonly Header[],
): HeadVerdict {
  if (valueOf(headers, names.requestId) !== requestId)
    return { kind: 'invalid', why: 'an answer to another request' };
  const notRun = valueOf(headers, names.notRun) !== undefined;
  if (notRun && status < FIRST_UNSUCCESSFUL)
    return { kind: 'invalid', why: 'an answer that says that it was not run' };
  if (status === MISDIRECTED_REQUEST) return { kind: 'misdirected' };
  if (notRun) return { kind: 'not-run' };
  if (status < FIRST_UNSUCCESSFUL && valueOf(headers, names.signature) === undefined)
    return { kind: 'invalid', why: 'an answer without its signature' };
  return { kind: 'valid' };
}
