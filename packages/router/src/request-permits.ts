/** Quota permits of requests whose tenants have a quota: one for each attempt that a worker may run. */
import type { Permit, PermitAnswer, PermitSource } from '@rainrun/quotas';
import type { AttemptEnd } from './attempt.js';
import type { RoutedRequest } from './request.js';
import type { NextPermit, RequestPermit } from './request-permit.js';

/** Whether a request may be sent now, as far as its tenant's quota is concerned. */
export type PermitState =
  | { readonly kind: 'ready' }
  /** The answer has not arrived yet, or tells an admitted request to wait. */
  | { readonly kind: 'awaited' }
  /** The first answer denied the permit. A request that was admitted before only waits. */
  | { readonly kind: 'over-quota'; readonly retryAfterMs: number };

/** What the permits need from their router. */
export interface RequestPermitsDependencies {
  readonly source: PermitSource;
  /** Monotonic, in milliseconds. */
  nowMs(): number;
  /** Called when the answer for a waiting request arrives. */
  onAnswer(request: RoutedRequest): void;
}

const READY: PermitState = { kind: 'ready' };
const AWAITED: PermitState = { kind: 'awaited' };
const NONE: NextPermit = { kind: 'none' };

/** Outcomes of attempts that certainly did not run, so that their permits can be used again. */
const NOT_RUN: ReadonlySet<AttemptEnd['outcome']> = new Set([
  'not-sent',
  'unreached',
  'not-run',
  'misdirected',
]);

/**
 * Acquires the permits of requests and consumes them. The first answer decides whether a request is admitted.
 * An admitted request is never rejected for quota: it waits and asks again until it expires.
 * @example
 * if (permits.obtain(request).kind === 'ready') send(request);
 * const mayStart = permits.consume(request); // just before the first byte
 */
export class RequestPermits {
  #dependencies: RequestPermitsDependencies;

  constructor(dependencies: RequestPermitsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Requests a permit unless one is held or already requested; returns the resulting state. */
  obtain(request: RoutedRequest): PermitState {
    const requestPermit = this.#permitOf(request);
    const state = requestPermit === undefined ? READY : this.#obtain(request, requestPermit);
    if (state === READY) request.admitted = true;
    return state;
  }

  /** Whether a request holds a valid permit, has requested one, or needs none. */
  isHeld(request: RoutedRequest): boolean {
    const requestPermit = this.#permitOf(request);
    if (requestPermit === undefined || requestPermit.next.kind === 'asked') return true;
    return requestPermit.next.kind === 'held' && this.#isValid(requestPermit.next.permit);
  }

  /** The last check before the first byte is sent: consumes the permit; false if it is missing or expired. */
  consume(request: RoutedRequest): boolean {
    const requestPermit = this.#permitOf(request);
    if (requestPermit === undefined) return true;
    const { next } = requestPermit;
    if (next.kind !== 'held' || !this.#isValid(next.permit)) return false;
    requestPermit.next = NONE;
    requestPermit.consumed = next.permit;
    return true;
  }

  /** Returns the permit of an attempt that did not run to its request. */
  attemptEnded({ permit: requestPermit }: RoutedRequest, outcome: AttemptEnd['outcome']): void {
    if (requestPermit?.consumed === undefined) return;
    const { consumed, next } = requestPermit;
    requestPermit.consumed = undefined;
    if (!NOT_RUN.has(outcome) || next.kind === 'held') return;
    withdrawRequest(requestPermit);
    requestPermit.next = { kind: 'held', permit: consumed };
  }

  /** Withdraws the permit request of a request that has ended. */
  release(request: RoutedRequest): void {
    if (request.permit === undefined) return;
    withdrawRequest(request.permit);
    request.permit = undefined;
  }

  /** The permit state of a request for its current tenant; undefined if it needs no permit. */
  #permitOf(request: RoutedRequest): RequestPermit | undefined {
    const { tenant } = request;
    if (tenant === undefined || tenant.ratePerS <= 0) {
      this.release(request);
      return undefined;
    }
    if (request.permit?.tenant !== tenant.name) {
      this.release(request);
      request.permit = { tenant: tenant.name, next: NONE, consumed: undefined };
    }
    return request.permit;
  }

  #obtain(request: RoutedRequest, requestPermit: RequestPermit): PermitState {
    const current = this.#stateOf(request, requestPermit);
    if (current !== undefined) return current;
    this.#ask(request, requestPermit);
    // A permit that has expired on arrival is requested again at the next call, not in a loop here.
    return this.#stateOf(request, requestPermit) ?? AWAITED;
  }

  /** The state by the permit held or requested; undefined if a permit must be requested now. */
  #stateOf(request: RoutedRequest, { next }: RequestPermit): PermitState | undefined {
    switch (next.kind) {
      case 'none':
        return undefined;
      case 'asked':
        return AWAITED;
      case 'held':
        return this.#isValid(next.permit) ? READY : undefined;
      case 'refused':
        if (!request.admitted) return { kind: 'over-quota', retryAfterMs: next.retryAfterMs };
        return this.#dependencies.nowMs() < next.retryAtMs ? AWAITED : undefined;
    }
  }

  #ask(request: RoutedRequest, requestPermit: RequestPermit): void {
    const pending: NextPermit = { kind: 'asked', withdraw: () => undefined };
    requestPermit.next = pending;
    let isAcquiring = true;
    pending.withdraw = this.#dependencies.source.acquire(requestPermit.tenant, (answer) => {
      if (requestPermit.next !== pending) return;
      requestPermit.next = this.#fromAnswer(answer);
      if (answer.kind === 'granted') request.admitted = true;
      if (!isAcquiring) this.#dependencies.onAnswer(request);
    });
    isAcquiring = false;
  }

  #fromAnswer(answer: PermitAnswer): NextPermit {
    if (answer.kind === 'granted') return { kind: 'held', permit: answer.permit };
    const { retryAfterMs } = answer;
    return { kind: 'refused', retryAfterMs, retryAtMs: this.#dependencies.nowMs() + retryAfterMs };
  }

  #isValid({ endMs }: Permit): boolean {
    return endMs > this.#dependencies.nowMs();
  }
}

function withdrawRequest(requestPermit: RequestPermit): void {
  const { next } = requestPermit;
  requestPermit.next = NONE;
  if (next.kind === 'asked') next.withdraw();
}
