/** A slab allocator for values that are looked up by small integer keys. */

/**
 * Stores values under integer keys and reuses freed slots. A key contains the generation of its slot, so that
 * a stale key does not find the value that uses the slot later.
 * @example
 * const slab = new Slab<string>();
 * const key = slab.put('a');
 * slab.take(key); // 'a'
 * slab.take(key); // undefined
 */
export class Slab<T> {
  #slots: (T | undefined)[] = [];
  #generations: number[] = [];
  #free: number[] = [];
  #count = 0;

  get count(): number {
    return this.#count;
  }

  put(value: T): number {
    const slot = this.#free.pop() ?? this.#slots.length;
    this.#slots[slot] = value;
    this.#generations[slot] ??= 0;
    this.#count += 1;
    return slot + (this.#generations[slot] ?? 0) * 0x100000;
  }

  get(key: number): T | undefined {
    const slot = key % 0x100000;
    if (Math.floor(key / 0x100000) !== this.#generations[slot]) return undefined;
    return this.#slots[slot];
  }

  take(key: number): T | undefined {
    const value = this.get(key);
    if (value === undefined) return undefined;
    const slot = key % 0x100000;
    this.#slots[slot] = undefined;
    this.#generations[slot] = (this.#generations[slot] ?? 0) + 1;
    this.#free.push(slot);
    this.#count -= 1;
    return value;
  }
}
