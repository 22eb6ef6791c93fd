/** Decides which failed requests may be sent again within the retry budget. */
import { RetryBudget } from './retry-budget.js';
import type { GatewayDependencies } from './dependencies.js';
import type { SendResult } from './send.js';
import type { GatewayRequest } from './gateway-request.js';

/** Most attempts per request, the first one included. */
const MAX_ATTEMPTS = 4;

/**
 * This edge's retries: each first attempt earns a fraction of a retry token, and each retry costs one token.
 * The token is reserved when a send has failed, and spent when the request is sent again.
 * @example
 * if (retries.mayRetry(request, result, nowMs)) enqueue(request);
 */
export class Retries {
  #dependencies: GatewayDependencies;
  #budget = new RetryBudget();
  #count: (name: string) => void;

  constructor(dependencies: GatewayDependencies, count: (name: string) => void) {
    this.#dependencies = dependencies;
    this.#count = count;
  }

  /** Whether a request may be sent again after a failed send; reserves a token if it may and needs one. */
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

  /** Accounts for a send just before its first byte; false if the token of a retry is no longer there. */
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

  /** Gives back the token of a finished request that did not use its retry. */
  release(request: GatewayRequest): void {
    if (request.retry === 'reserved') this.#budget.release();
  }

  /** Divides the allowance evenly among the edges of the view; outside of a view there is none. */
  #updateAllowance(): void {
    const edges = this.#dependencies.edges().length;
    const allowance = this.#dependencies.spec()?.retries.allowance ?? 0;
    this.#budget.setAllowance(this.#dependencies.incarnation(), edges === 0 ? 0 : allowance / edges);
  }
}
