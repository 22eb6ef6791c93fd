/** The permits of requests whose tenants have a quota: one for each attempt that a worker may run. */
import type { Permit, PermitAnswer, PermitSource } from '@rainrun/quotas';
import type { AttemptEnd } from './attempt.js';
import type { RoutedRequest } from './request.js';
import type { NextPermit, RequestPermit } from './request-permit.js';

/** Whether a request may be sent now, as far as its tenant's quota is concerned. */
export type PermitState =
  | { readonly kind: 'ready' }
  /** The answer is not there yet, or says to wait. */
  | { readonly kind: 'awaited' }
  /** The first answer said so; a request that was admitted once only waits. */
  | { readonly kind: 'over-quota'; readonly retryAfterMs: number };

/** What permits need of their router. */
export interface RequestPermitsDependencies {
  readonly source: PermitSource;
  /** Monotonic, in milliseconds. */
  nowMs(): number;
  /** An answer came for a request that has been waiting for it. */
  onAnswer(request: RoutedRequest): void;
}

const READY: PermitState = { kind: 'ready' };
const AWAITED: PermitState = { kind: 'awaited' };
const NONE: NextPermit = { kind: 'none' };

/** Ends of attempts that certainly did not run, whose permits can be used again. */
const NOT_RUN: ReadonlySet<AttemptEnd['outcome']> = new Set([
  'not-sent',
  'unreached',
  'not-run',
  'misdirected',
]);

/**
 * Gets the permits of requests and consumes them. The first answer decides whether a request is admitted; after that
 * it is never rejected for quota: it waits and asks again until its time has passed.
 * @example
 * if (permits.obtain(request).kind === 'ready') send(request);
 * const mayStart = permits.consume(request); // just before the first byte
 */
export class RequestPermits {
  #dependencies: RequestPermitsDependencies;

  constructor(dependencies: RequestPermitsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Asks for a permit unless one is held or asked for, and says how the request stands. */
  obtain(request: RoutedRequest): PermitState {
    const requestPermit = this.#permitOf(request);
    const state = requestPermit === undefined ? READY : this.#obtain(request, requestPermit);
    if (state === READY) request.admitted = true;
    return state;
  }

  /** Whether a request holds a permit that has not ended, or has asked for one, or needs none. */
  isHeld(request: RoutedRequest): boolean {
    const requestPermit = this.#permitOf(request);
    if (requestPermit === undefined || requestPermit.next.kind === 'asked') return true;
    return requestPermit.next.kind === 'held' && this.#isValid(requestPermit.next.permit);
  }

  /** The last check before the first byte leaves: uses up the permit that is held, if it has not ended. */
  consume(request: RoutedRequest): boolean {
    const requestPermit = this.#permitOf(request);
    if (requestPermit === undefined) return true;
    const { next } = requestPermit;
    if (next.kind !== 'held' || !this.#isValid(next.permit)) return false;
    requestPermit.next = NONE;
    requestPermit.consumed = next.permit;
    return true;
  }

  /** Gives the permit of an attempt that did not run back to its request. */
  attemptEnded({ permit: requestPermit }: RoutedRequest, outcome: AttemptEnd['outcome']): void {
    if (requestPermit?.consumed === undefined) return;
    const { consumed, next } = requestPermit;
    requestPermit.consumed = undefined;
    if (!NOT_RUN.has(outcome) || next.kind === 'held') return;
    withdrawRequest(requestPermit);
    requestPermit.next = { kind: 'held', permit: consumed };
  }

  /** The request has ended: no permit is asked for any more. */
  release(request: RoutedRequest): void {
    if (request.permit === undefined) return;
    withdrawRequest(request.permit);
    request.permit = undefined;
  }

  /** What a request holds of its tenant's quota; undefined where it needs no permit. */
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
    // A permit that has ended by the time it is given is asked for anew at the next look, not in a loop here.
    return this.#stateOf(request, requestPermit) ?? AWAITED;
  }

  /** Undefined: a permit is to be asked for now. */
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
