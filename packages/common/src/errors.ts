/** Every way in which a call to rainrun can end other than well. The list is closed. */
export type FaultKind =
  | 'bad-request'
  | 'bad-spec'
  | 'bad-setting'
  | 'unknown-group'
  | 'unknown-model'
  | 'not-found'
  | 'too-large'
  | 'too-slow'
  | 'deadline-past'
  | 'conflict'
  | 'over-share'
  | 'no-worker'
  | 'not-admitting'
  | 'draining'
  | 'unreached'
  | 'worker-nonsense'
  | 'outcome-unknown'
  | 'deadline-exceeded'
  | 'visitor-left'
  | 'operation-unknown'
  | 'disk'
  | 'damaged'
  | 'foreign'
  | 'unbridged'
  | 'wire';

/** What a caller is told: status, whether the work may have run, and when to come back. */
export interface FaultResponse {
  readonly status: number;
  readonly ran: 'no' | 'maybe';
  readonly retryAfterS: number;
}

/** The one table from kind to answer. `retryAfterS` 0 means that coming back will not help. */
export const FAULT_RESPONSES: Readonly<Record<FaultKind, FaultResponse>> = {
  'bad-request': { status: 400, ran: 'no', retryAfterS: 0 },
  'bad-spec': { status: 422, ran: 'no', retryAfterS: 0 },
  'bad-setting': { status: 400, ran: 'no', retryAfterS: 0 },
  'unknown-group': { status: 403, ran: 'no', retryAfterS: 0 },
  'unknown-model': { status: 404, ran: 'no', retryAfterS: 0 },
  'not-found': { status: 404, ran: 'no', retryAfterS: 0 },
  'too-large': { status: 413, ran: 'no', retryAfterS: 0 },
  'too-slow': { status: 408, ran: 'no', retryAfterS: 0 },
  'deadline-past': { status: 400, ran: 'no', retryAfterS: 0 },
  conflict: { status: 409, ran: 'no', retryAfterS: 0 },
  'over-share': { status: 429, ran: 'no', retryAfterS: 2 },
  'no-worker': { status: 503, ran: 'no', retryAfterS: 2 },
  'not-admitting': { status: 503, ran: 'no', retryAfterS: 1 },
  draining: { status: 503, ran: 'no', retryAfterS: 1 },
  unreached: { status: 503, ran: 'no', retryAfterS: 1 },
  'worker-nonsense': { status: 502, ran: 'maybe', retryAfterS: 0 },
  'outcome-unknown': { status: 502, ran: 'maybe', retryAfterS: 0 },
  'deadline-exceeded': { status: 504, ran: 'maybe', retryAfterS: 0 },
  'visitor-left': { status: 499, ran: 'maybe', retryAfterS: 0 },
  'operation-unknown': { status: 504, ran: 'maybe', retryAfterS: 1 },
  disk: { status: 500, ran: 'no', retryAfterS: 0 },
  damaged: { status: 500, ran: 'no', retryAfterS: 0 },
  foreign: { status: 500, ran: 'no', retryAfterS: 0 },
  unbridged: { status: 409, ran: 'no', retryAfterS: 0 },
  wire: { status: 400, ran: 'no', retryAfterS: 0 },
};

/** A fault as it travels inside a process. */
export interface Fault {
  readonly kind: FaultKind;
  readonly detail: string;
  /** When to come back, where more is known than the table says. */
  readonly retryAfterS?: number;
}

/**
 * Makes a fault.
 * @example
 * fault('not-found', 'no operation 7f').kind; // 'not-found'
 */
export function fault(kind: FaultKind, detail: string): Fault {
  return { kind, detail };
}

/**
 * Tells whether a text is one of the closed list of kinds.
 * @example
 * isFaultKind('conflict'); // true
 * isFaultKind('agreed'); // false
 */
export function isFaultKind(text: string): text is FaultKind {
  return Object.hasOwn(FAULT_RESPONSES, text);
}
