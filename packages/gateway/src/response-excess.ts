/** Responses that were stopped at a bound, as they are told to operators. */

/** Which bound a response reached. */
export type ResponseBound =
  /** Bytes that are no part of a body: a head, interim responses, chunk framing or trailers without end. */
  | 'framing'
  /** The lines of one head. */
  | 'head-lines'
  /** The size of one body. */
  | 'body'
  /** The size of one event of a stream. */
  | 'event'
  /** The memory of all responses together, of which its worker held most. */
  | 'memory'
  /** What may still come of a response that nobody needs. */
  | 'unneeded';

/** What had come of a response. */
export interface ReceivedResponse {
  readonly part: 'head' | 'body';
  /** Bytes of its body. */
  readonly bytes: number;
  /** Pieces of its body. */
  readonly pieces: number;
}

/** A response that was stopped at a bound. */
export interface ResponseExcess extends ReceivedResponse {
  readonly bound: ResponseBound;
}
