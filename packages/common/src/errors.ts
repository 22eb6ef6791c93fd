/** Typed errors: the fault kinds, the response to each, and `Fault`, the error value of a `Result`. */

/** Every way in which a call to rainrun can fail. The list is closed. */
export type FaultKind =
  | 'bad-request'
  | 'bad-spec'
  | 'bad-setting'
  | 'unauthenticated'
  | 'unknown-group'
  | 'unknown-model'
  | 'not-found'
  | 'too-large'
  | 'too-slow'
  | 'deadline-past'
  | 'conflict'
  | 'over-share'
  | 'over-quota'
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
  /** This node and the group have no protocol level in common. */
  | 'unbridged'
  | 'wire';

/**
 * The response to a fault: HTTP status, whether the work may have run, and after how many seconds to retry.
 */
export interface FaultResponse {
  readonly status: number;
  readonly ran: 'no' | 'maybe';
  readonly retryAfterS: number;
}

/** The response to each kind of fault. `retryAfterS` 0 means that a retry will not help. */
export const FAULT_RESPONSES: Readonly<Record<FaultKind, FaultResponse>> = {
  'bad-request': { status: 400, ran: 'no', retryAfterS: 0 },
  'bad-spec': { status: 422, ran: 'no', retryAfterS: 0 },
  'bad-setting': { status: 400, ran: 'no', retryAfterS: 0 },
  unauthenticated: { status: 401, ran: 'no', retryAfterS: 0 },
  'unknown-group': { status: 403, ran: 'no', retryAfterS: 0 },
  'unknown-model': { status: 404, ran: 'no', retryAfterS: 0 },
  'not-found': { status: 404, ran: 'no', retryAfterS: 0 },
  'too-large': { status: 413, ran: 'no', retryAfterS: 0 },
  'too-slow': { status: 408, ran: 'no', retryAfterS: 0 },
  'deadline-past': { status: 400, ran: 'no', retryAfterS: 0 },
  conflict: { status: 409, ran: 'no', retryAfterS: 0 },
  'over-share': { status: 429, ran: 'no', retryAfterS: 2 },
  'over-quota': { status: 429, ran: 'no', retryAfterS: 1 },
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

/**
 * Why a call failed, as a value: the `Err` side of a `Result`, never thrown. Only `kind` and `detail` leave
 * the process; `FAULT_RESPONSES` has the status and retry time of each kind.
 */
export interface Fault {
  readonly kind: FaultKind;
  /** What went wrong, for the caller and the logs: one line in most cases. */
  readonly detail: string;
  /** The error or other value that was thrown, if any; for debugging, never sent or logged. */
  readonly cause?: unknown;
  /** Seconds after which to retry, if a better estimate than the table's is known. */
  readonly retryAfterS?: number;
}

/** The optional properties of a fault. */
export type FaultContext = Pick<Fault, 'cause' | 'retryAfterS'>;

/**
 * Makes a fault.
 * @example
 * fault('not-found', 'no operation 7f').kind; // 'not-found'
 * fault('wire', describeError(thrown), { cause: thrown });
 */
export function fault(kind: FaultKind, detail: string, context: FaultContext = {}): Fault {
  return { kind, detail, ...context };
}

/**
 * A thrown value as text, with the error's name before its message.
 * @example
 * describeError(new TypeError('not a number')); // 'TypeError: not a number'
 */
export function describeError(thrown: unknown): string {
  return String(thrown);
}

/**
 * The message of a thrown value without the error's name, for errors whose name adds nothing, as those of
 * system calls.
 * @example
 * errorMessage(new Error('EACCES: permission denied')); // 'EACCES: permission denied'
 */
export function errorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/**
 * Whether a text is one of the fault kinds.
 * @example
 * isFaultKind('conflict'); // true
 * isFaultKind('agreed'); // false
 */
export function isFaultKind(text: string): text is FaultKind {
  return Object.hasOwn(FAULT_RESPONSES, text);
}

/**
 * Describes why a text is not valid JSON without quoting any of it: the JavaScript engine's message quotes
 * the text, which may contain keys.
 * @example
 * describeJsonError(thrown); // 'SyntaxError: at position 17'
 */
export function describeJsonError(thrown: unknown): string {
  if (!(thrown instanceof SyntaxError)) return thrown instanceof Error ? thrown.name : typeof thrown;
  const position = /in JSON at position (\d+)$/.exec(thrown.message)?.[1];
  if (position !== undefined) return `${thrown.name}: at position ${position}`;
  return thrown.message === 'Unexpected end of JSON input' ? `${thrown.name}: it ends early` : thrown.name;
}
