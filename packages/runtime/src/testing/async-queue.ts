/**
 * Hands each item to whoever waited first; what nobody waits for is kept.
 * @example
 * const waiters = new Waiters<number>();
 * waiters.put(1);
 * await waiters.next(); // 1
 */
export class AsyncQueue<Item> {
  #items: Item[] = [];
  #receivers: ((item: Item) => void)[] = [];

  put(item: Item): void {
    const waiter = this.#receivers.shift();
    if (waiter === undefined) this.#items.push(item);
    else waiter(item);
  }

  next(): Promise<Item> {
    const item = this.#items.shift();
    if (item !== undefined) return Promise.resolve(item);
    return new Promise((resolve) => this.#receivers.push(resolve));
  }
}
