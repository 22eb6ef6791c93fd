/** Timers of connections to workers, passed in since the packages below `runtime` start none themselves. */

/**
 * Calls `run` once after a delay in milliseconds, unless the returned function is called before that.
 * @example
 * const cancel = timer(1000, () => send.abort());
 */
export type LinkTimer = (delayMs: number, run: () => void) => () => void;
