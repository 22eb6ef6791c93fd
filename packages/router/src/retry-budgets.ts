/** The retry budgets of one edge of the platform system, one for each service. */
import { RetryBudget } from '@rainrun/gateway';
import type { RoutedRequest } from './request.js';

/** What the budgets need from their edge. */
export interface RetryBudgetsDependencies {
  /** Retries allowed in any window: this ratio of the first attempts, plus `extra` in the whole fleet. */
  readonly retries: { readonly ratio: number; readonly extra: number };
  /** How many edges share the extra retries. */
  edges(): number;
  /** The incarnation of this edge; a new incarnation starts with an empty budget. */
  incarnation(): string;
}

/**
 * Keeps one budget for each service, because the bound on retries applies to each service separately.
 * @example
 * budgets.recordFirstAttempt(request);
 * if (budgets.reserve(request)) retry(request);
 */
export class RetryBudgets {
  #dependencies: RetryBudgetsDependencies;
  #byService = new Map<string, RetryBudget>();

  constructor(dependencies: RetryBudgetsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Credits the budget with the fraction of a retry that a new request earns. */
  recordFirstAttempt(request: RoutedRequest): void {
    this.#budgetFor(request).recordFirstAttempt(this.#dependencies.retries.ratio);
  }

  /** Reserves a retry; false if the budget has none left. */
  reserve(request: RoutedRequest): boolean {
    return this.#budgetFor(request).reserve();
  }

  /** Returns the retry that is reserved for a request, if any. */
  release(request: RoutedRequest): void {
    if (request.retryReserved) this.#budgetFor(request).release();
    request.retryReserved = false;
  }

  /** Spends the retry that is reserved for a request; false if its token is gone. */
  spend(request: RoutedRequest): boolean {
    return this.#budgetFor(request).spend();
  }

  /** Whether this edge's share of the budget can ever allow a retry. */
  canEverRetry(request: RoutedRequest): boolean {
    return this.#budgetFor(request).canEverRetry;
  }

  #budgetFor(request: RoutedRequest): RetryBudget {
    const { name } = request.service;
    let budget = this.#byService.get(name);
    if (budget === undefined) {
      budget = new RetryBudget();
      this.#byService.set(name, budget);
    }
    const { retries } = this.#dependencies;
    budget.setAllowance(
      this.#dependencies.incarnation(),
      retries.extra / Math.max(1, this.#dependencies.edges()),
    );
    return budget;
  }
}
