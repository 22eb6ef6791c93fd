/** Sends the answers of operations to the members that submitted them. */
import type { Answer, Member } from '@rainrun/messages';
import type { CoordinatorContext } from './coordinator-context.js';

/**
 * Remembers who submitted each operation, and sends that member the answer once.
 * @example
 * answers.expect('operation-1', member);
 * answers.send(answer); // to that member
 */
export class AnswerDispatcher {
  #context: Pick<CoordinatorContext<unknown>, 'sendOrdered'>;
  #submitters = new Map<string, Member>();

  constructor(context: Pick<CoordinatorContext<unknown>, 'sendOrdered'>) {
    this.#context = context;
  }

  /** Records who submitted an operation; the latest submitter gets the answer. */
  expect(id: string, submitter: Member): void {
    this.#submitters.set(id, submitter);
  }

  /** Sends an answer to the submitter of its operation, unless that has been done. */
  send(answer: Answer): void {
    const submitter = this.#submitters.get(answer.id);
    if (submitter === undefined) return;
    this.#submitters.delete(answer.id);
    this.#context.sendOrdered(submitter, { case: 'answer', value: answer });
  }
}
