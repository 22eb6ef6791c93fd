/** A monotonic clock. */
export interface Clock {
  /** Milliseconds since an arbitrary fixed time. */
  nowMs(): number;
}
