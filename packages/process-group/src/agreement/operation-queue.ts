/** The operations that wait to be sequenced, and the limits on how many go into one version. */
import type { Operation } from '@rainrun/messages';
import { RETAINED_ANSWERS_MAX, retainedAnswerCount } from './group-state.js';

/** Number of operations in one version at most. */
const BATCH_MAX_OPERATIONS = 64;

/** Payload bytes in one version at most, unless one operation is larger: a proposal must fit into a frame. */
const BATCH_MAX_BYTES = 1024 * 1024;

/**
 * The coordinator's queue of submitted operations.
 * @example
 * queue.push(operation);
 * queue.takeBatch(state); // [operation]
 */
export class OperationQueue {
  #operations: Operation[] = [];

  /** Whether an operation with this id is queued. */
  has(id: string): boolean {
    return this.#operations.some((known) => known.id === id);
  }

  push(operation: Operation): void {
    this.#operations.push(operation);
  }

  /** Removes and returns the operations of the next version, as many as `state` can retain answers for. */
  takeBatch(state: Parameters<typeof retainedAnswerCount>[0]): Operation[] {
    let freeAnswers = RETAINED_ANSWERS_MAX - retainedAnswerCount(state);
    const batch: Operation[] = [];
    const remaining: Operation[] = [];
    let bytes = 0;
    for (const operation of this.#operations) {
      const fitsInBytes = batch.length === 0 || bytes + operation.payload.length <= BATCH_MAX_BYTES;
      const fits =
        fitsInBytes && batch.length < BATCH_MAX_OPERATIONS && (operation.transient || freeAnswers > 0);
      if (fits) bytes += operation.payload.length;
      if (fits && !operation.transient) freeAnswers -= 1;
      (fits ? batch : remaining).push(operation);
    }
    this.#operations = remaining;
    return batch;
  }
}
