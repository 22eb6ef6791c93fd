/**
 * Maps names to dense indices at the door; inside, only indices travel.
 * @example
 * const register = new Register();
 * register.index('north'); // 0
 * register.index('north'); // 0
 * register.name(0); // 'north'
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
