/** Operations that were submitted to the process group and await their answers. Shared by both families. */
import type { Answer, Operation } from '@rainrun/messages';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';

/** Called once, with the committed answer to an operation. */
export type AnswerCallback = (answer: Answer) => void;

/** The part of the process group that takes operations. */
export interface OperationGroup {
  /** Submits an operation; returns false if no coordinator can be reached. */
  submit(operation: Operation): boolean;
  /** Stops sending an operation again. */
  withdraw(id: string): void;
}

/**
 * Submits operations, and calls back once for each answer.
 * @example
 * const pending = new PendingOperations();
 * pending.submit(group, operation, (answer) => reply(answer));
 * pending.onAnswer(answer); // calls back
 */
export class PendingOperations {
  #callbacks = new Map<string, AnswerCallback>();

  /**
   * Submits an operation; returns its id, or `unreached` if nothing was sent and `done` will not be called.
   */
  submit(group: OperationGroup, operation: Operation, done: AnswerCallback): Result<string, Fault> {
    this.#callbacks.set(operation.id, done);
    if (group.submit(operation)) return Result.ok(operation.id);
    this.#callbacks.delete(operation.id);
    return Result.err(fault('unreached', 'no coordinator can be reached; nothing was sent'));
  }

  /** Calls back for an answer if its operation was submitted here and not abandoned. */
  onAnswer(answer: Answer): void {
    const done = this.#callbacks.get(answer.id);
    this.#callbacks.delete(answer.id);
    done?.(answer);
  }

  /**
   * Drops the callback of an operation, whose outcome remains unknown, and stops sending the operation again.
   */
  abandon(group: OperationGroup, id: string): void {
    this.#callbacks.delete(id);
    group.withdraw(id);
  }
}
