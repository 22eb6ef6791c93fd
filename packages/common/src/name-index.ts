/** Interning of names as small integers. */

/**
 * Interns names as dense indices, in the order of their first use.
 * @example
 * const names = new NameIndex();
 * names.index('north'); // 0
 * names.index('north'); // 0
 * names.name(0); // 'north'
 */
export class NameIndex {
  #names: string[] = [];
  #indices = new Map<string, number>();

  get size(): number {
    return this.#names.length;
  }

  index(name: string): number {
    const known = this.#indices.get(name);
    if (known !== undefined) return known;
    this.#names.push(name);
    this.#indices.set(name, this.#names.length - 1);
    return this.#names.length - 1;
  }

  name(index: number): string {
    return this.#names[index] ?? '';
  }
}
