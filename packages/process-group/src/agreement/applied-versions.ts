/** Which version each member has applied, as far as the coordinator has heard. */

/**
 * The newest version that each incarnation is known to have applied; 0 for one
 * that was not heard of.
 * @example
 * applied.learn('incarnation-2', 7);
 * applied.of('incarnation-2'); // 7
 */
export class AppliedVersions {
  #numbers = new Map<string, number>();

  /** Notes a version that a member reports; reports may arrive out of order. */
  learn(incarnation: string, number: number): void {
    if (number > this.of(incarnation)) this.#numbers.set(incarnation, number);
  }

  /** Sets what this node itself has applied: 0 again once it is outside a view. */
  set(incarnation: string, number: number): void {
    this.#numbers.set(incarnation, number);
  }

  of(incarnation: string): number {
    return this.#numbers.get(incarnation) ?? 0;
  }
}
