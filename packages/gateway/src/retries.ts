/** Which requests may leave again, within the fleet's retry budget. */
import { RetryBudget } from './retry-budget.js';
import type { GatewayDependencies } from './dependencies.js';
import type { SendResult } from './send.js';
import type { GatewayRequest } from './gateway-request.js';

/** A request leaves so often at most. */
const MAX_ATTEMPTS = 4;

/**
 * This edge's retries: first sends earn a part of one, each further send
 * costs one. A retry is reserved when a send has failed, and spent when the
 * request leaves again.
 * @example
 * if (retries.mayRetry(request, result, nowMs)) wait(request);
 */
export class Retries {
  #dependencies: GatewayDependencies;
  #budget = new RetryBudget();
  #count: (name: string) => void;

  constructor(dependencies: GatewayDependencies, count: (name: string) => void) {
    this.#dependencies = dependencies;
    this.#count = count;
  }

  /** Whether a failed send may be followed by another. */
  mayRetry(request: GatewayRequest, result: SendResult, nowMs: number): boolean {
    if (nowMs > request.deadlineMs || request.attempts >= MAX_ATTEMPTS) return false;
    if (result.sent && !request.idempotent) return false;
    if (!result.sent && !result.tried) {
      request.attempts -= 1;
      return request.retry !== 'lost';
    }
    this.#updateAllowance();
    if (request.retry === 'reserved') this.#budget.spend();
    request.retry = this.#budget.reserve() ? 'reserved' : 'lost';
    if (request.retry === 'lost') {
      this.#count('retries-refused');
      return false;
    }
    this.#count('retries');
    return true;
  }

  /** Each request that leaves for the first time earns a part of a retry; each that leaves again costs one. */
  mayStart(request: GatewayRequest): boolean {
    this.#updateAllowance();
    if (request.retry === 'reserved') {
      request.retry = this.#budget.spend() ? 'none' : 'lost';
      return request.retry === 'none';
    }
    if (!request.started) this.#budget.recordFirstAttempt(this.#dependencies.spec()?.retries.ratio ?? 0);
    request.started = true;
    return true;
  }

  /** A request has ended: a retry that it did not use is given back. */
  release(request: GatewayRequest): void {
    if (request.retry === 'reserved') this.#budget.release();
  }

  /** The allowance is parted among the edges of the view; outside of it there is none. */
  #updateAllowance(): void {
    const edges = this.#dependencies.edges().length;
    const allowance = this.#dependencies.spec()?.retries.allowance ?? 0;
    this.#budget.setAllowance(this.#dependencies.incarnation(), edges === 0 ? 0 : allowance / edges);
  }
}
