import type { ClientRequest, ResponseSink } from './request.js';

/** A request that came before any configuration was known. */
interface EarlyRequest {
  readonly ask: ClientRequest;
  readonly port: ResponseSink;
  readonly bornMs: number;
  readonly endMs: number;
  leave: (() => void) | undefined;
}

/** What becomes of an early request: it is taken with the time that it has left, or refused. */
export interface EarlyRequestContext {
  take(ask: ClientRequest, port: ResponseSink): () => void;
  refuse(port: ResponseSink): void;
}

const HELD_MS = 1500;

/**
 * Requests that come just after a start, before this node knows any configuration: they wait a moment for it.
 * @example
 * const leave = early.hold(ask, port, nowMs);
 * early.release(true, nowMs); // a configuration is known: all of them are taken
 */
export class EarlyRequests {
  #desk: EarlyRequestContext;
  #held = new Set<EarlyRequest>();

  constructor(desk: EarlyRequestContext) {
    this.#desk = desk;
  }

  get size(): number {
    return this.#held.size;
  }

  /** The returned function says that the client has left. */
  hold(ask: ClientRequest, port: ResponseSink, nowMs: number): () => void {
    const endMs = nowMs + Math.min(HELD_MS, ask.deadlineMs ?? HELD_MS);
    const early: EarlyRequest = { ask, port, bornMs: nowMs, endMs, leave: undefined };
    this.#held.add(early);
    return () => {
      this.#held.delete(early);
      early.leave?.();
    };
  }

  /** Takes all that wait where a configuration is known, and else refuses those that have waited long enough. */
  release(isKnown: boolean, nowMs: number): void {
    for (const early of this.#held) {
      if (!isKnown && nowMs < early.endMs) continue;
      this.#held.delete(early);
      if (isKnown) early.leave = this.#desk.take(withTimeLeft(early, nowMs), early.port);
      else this.#desk.refuse(early.port);
    }
  }

  /** Refuses all of them. */
  close(): void {
    for (const { port } of this.#held) this.#desk.refuse(port);
    this.#held.clear();
  }
}

function withTimeLeft({ ask, bornMs }: EarlyRequest, nowMs: number): ClientRequest {
  const { deadlineMs } = ask;
  return {
    ...ask,
    deadlineMs: deadlineMs === undefined ? undefined : Math.max(0, deadlineMs - (nowMs - bornMs)),
  };
}
