/**
 * Keeps continuations under small integer keys and uses freed places again.
 * A key carries the generation of its place, so a late key finds nothing.
 * @example
 * const slab = new Slab<string>();
 * const key = slab.put('a');
 * slab.take(key); // 'a'
 * slab.take(key); // undefined
 */
export class Slab<T> {
  #places: (T | undefined)[] = [];
  #generations: number[] = [];
  #free: number[] = [];
  #count = 0;

  get count(): number {
    return this.#count;
  }

  put(value: T): number {
    const place = this.#free.pop() ?? this.#places.length;
    this.#places[place] = value;
    this.#generations[place] ??= 0;
    this.#count += 1;
    return place + (this.#generations[place] ?? 0) * 0x100000;
  }

  get(key: number): T | undefined {
    const place = key % 0x100000;
    if (Math.floor(key / 0x100000) !== this.#generations[place]) return undefined;
    return this.#places[place];
  }

  take(key: number): T | undefined {
    const value = this.get(key);
    if (value === undefined) return undefined;
    const place = key % 0x100000;
    this.#places[place] = undefined;
    this.#generations[place] = (this.#generations[place] ?? 0) + 1;
    this.#free.push(place);
    this.#count -= 1;
    return value;
  }
}
