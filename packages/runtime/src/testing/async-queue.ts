/**
 * A queue that gives each item to the receiver that has waited longest, or keeps it until one asks.
 * @example
 * const queue = new AsyncQueue<number>();
 * queue.put(1);
 * await queue.next(); // 1
 */
export class AsyncQueue<Item> {
  #items: Item[] = [];
  #receivers: ((item: Item) => void)[] = [];

  put(item: Item): void {
    const receiver = this.#receivers.shift();
    if (receiver === undefined) this.#items.push(item);
    else receiver(item);
  }

  next(): Promise<Item> {
    const item = this.#items.shift();
    if (item !== undefined) return Promise.resolve(item);
    return new Promise((resolve) => this.#receivers.push(resolve));
  }
}
