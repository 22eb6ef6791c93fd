/** Which version each member has applied, as far as the coordinator knows. */

/**
 * The newest version that each incarnation is known to have applied; 0 for an incarnation
 * that has reported none.
 * @example
 * applied.learn('incarnation-2', 7);
 * applied.of('incarnation-2'); // 7
 */
export class AppliedVersions {
  #numbers = new Map<string, number>();

  /** Records the version that a member reports; reports may arrive out of order. */
  learn(incarnation: string, number: number): void {
    if (number > this.of(incarnation)) this.#numbers.set(incarnation, number);
  }

  /** Sets the version that this node itself has applied, which falls to 0 when it leaves its view. */
  set(incarnation: string, number: number): void {
    this.#numbers.set(incarnation, number);
  }

  of(incarnation: string): number {
    return this.#numbers.get(incarnation) ?? 0;
  }
}
