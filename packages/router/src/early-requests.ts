import type { ClientRequest, ResponseSink } from './request.js';

/** A request that came before any configuration was known. */
interface EarlyRequest {
  readonly request: ClientRequest;
  readonly sink: ResponseSink;
  readonly arrivedMs: number;
  readonly endMs: number;
  cancel: (() => void) | undefined;
}

/** What becomes of an early request: it is taken with the time that it has left, or refused. */
export interface EarlyRequestContext {
  submit(ask: ClientRequest, port: ResponseSink): () => void;
  reject(port: ResponseSink): void;
}

const HELD_MS = 1500;

/**
 * Requests that come just after a start, before this node knows any configuration: they wait a moment for it.
 * @example
 * const leave = early.hold(ask, port, nowMs);
 * early.release(true, nowMs); // a configuration is known: all of them are taken
 */
export class EarlyRequests {
  #context: EarlyRequestContext;
  #pending = new Set<EarlyRequest>();

  constructor(desk: EarlyRequestContext) {
    this.#context = desk;
  }

  get size(): number {
    return this.#pending.size;
  }

  /** The returned function says that the client has left. */
  add(ask: ClientRequest, port: ResponseSink, nowMs: number): () => void {
    const endMs = nowMs + Math.min(HELD_MS, ask.deadlineMs ?? HELD_MS);
    const early: EarlyRequest = { request: ask, sink: port, arrivedMs: nowMs, endMs, cancel: undefined };
    this.#pending.add(early);
    return () => {
      this.#pending.delete(early);
      early.cancel?.();
    };
  }

  /** Takes all that wait where a configuration is known, and else refuses those that have waited long enough. */
  release(isKnown: boolean, nowMs: number): void {
    for (const early of this.#pending) {
      if (!isKnown && nowMs < early.endMs) continue;
      this.#pending.delete(early);
      if (isKnown) early.cancel = this.#context.submit(withTimeLeft(early, nowMs), early.sink);
      else this.#context.reject(early.sink);
    }
  }

  /** Refuses all of them. */
  close(): void {
    for (const { sink: port } of this.#pending) this.#context.reject(port);
    this.#pending.clear();
  }
}

function withTimeLeft({ request: ask, arrivedMs: bornMs }: EarlyRequest, nowMs: number): ClientRequest {
  const { deadlineMs } = ask;
  return {
    ...ask,
    deadlineMs: deadlineMs === undefined ? undefined : Math.max(0, deadlineMs - (nowMs - bornMs)),
  };
}
