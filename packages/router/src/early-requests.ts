/** Requests that reach an edge of the platform system before its first configuration is known. */
import type { ClientRequest, ResponseSink } from './request.js';
import { ADMISSION_POLICY } from './routing-policy.js';

/** A request that arrived before any configuration was known. */
interface EarlyRequest {
  readonly request: ClientRequest;
  readonly sink: ResponseSink;
  readonly arrivedMs: number;
  readonly expiresMs: number;
  cancel: (() => void) | undefined;
}

/** How an early request ends: it is submitted with its remaining time, or rejected. */
export interface EarlyRequestContext {
  submit(request: ClientRequest, sink: ResponseSink): () => void;
  reject(sink: ResponseSink): void;
}

/**
 * Holds requests that arrive just after a start, before this node knows any configuration, for a short time.
 * @example
 * const clientLeft = early.add(clientRequest, sink, nowMs);
 * early.release(true, nowMs); // a configuration is known: all of them are submitted
 */
export class EarlyRequests {
  #context: EarlyRequestContext;
  #pending = new Set<EarlyRequest>();

  constructor(context: EarlyRequestContext) {
    this.#context = context;
  }

  get size(): number {
    return this.#pending.size;
  }

  /** Holds a request; the returned function must be called when the client disconnects. */
  add(request: ClientRequest, sink: ResponseSink, nowMs: number): () => void {
    const { configurationWaitMs } = ADMISSION_POLICY;
    const expiresMs = nowMs + Math.min(configurationWaitMs, request.deadlineMs ?? configurationWaitMs);
    const entry: EarlyRequest = { request, sink, arrivedMs: nowMs, expiresMs, cancel: undefined };
    this.#pending.add(entry);
    return () => {
      this.#pending.delete(entry);
      entry.cancel?.();
    };
  }

  /** Submits all held requests once a configuration is known; until then, rejects those that have expired. */
  release(isConfigured: boolean, nowMs: number): void {
    for (const entry of this.#pending) {
      if (!isConfigured && nowMs < entry.expiresMs) continue;
      this.#pending.delete(entry);
      if (isConfigured) entry.cancel = this.#context.submit(withRemainingTime(entry, nowMs), entry.sink);
      else this.#context.reject(entry.sink);
    }
  }

  /** Rejects all held requests. */
  close(): void {
    for (const { sink } of this.#pending) this.#context.reject(sink);
    this.#pending.clear();
  }
}

function withRemainingTime({ request, arrivedMs }: EarlyRequest, nowMs: number): ClientRequest {
  const { deadlineMs } = request;
  return {
    ...request,
    deadlineMs: deadlineMs === undefined ? undefined : Math.max(0, deadlineMs - (nowMs - arrivedMs)),
  };
}
