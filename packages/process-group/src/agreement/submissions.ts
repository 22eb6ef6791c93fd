/** Operations that this node has submitted and waits for. */
import { create } from '@bufbuild/protobuf';
import { SubmitSchema, type Answer, type Operation } from '@rainrun/messages';
import type { GroupParts } from '../group-parts.js';
import { RETAINED_ANSWERS_MAX, retainedAnswerCount } from './group-state.js';

/** An operation that was not answered is sent again after so long. */
const RESUBMIT_MS = 1000;

interface Submission {
  readonly operation: Operation;
  sentMs: number;
}

type SubmissionParts<S> = Pick<
  GroupParts<S>,
  'coordinatorWatch' | 'dependencies' | 'directory' | 'local' | 'transport'
>;

/**
 * Sends operations to the coordinator, again while no answer comes; the
 * operation's id makes sure that it is applied once.
 * @example
 * if (!submissions.submit(operation)) answerUnavailable();
 */
export class Submissions<S> {
  #parts: SubmissionParts<S>;
  #pending = new Map<string, Submission>();

  constructor(parts: SubmissionParts<S>) {
    this.#parts = parts;
  }

  /** Whether no further answer to an operator can be retained now. */
  get isFull(): boolean {
    const { state } = this.#parts.local;
    return state !== undefined && retainedAnswerCount(state) >= RETAINED_ANSWERS_MAX;
  }

  /** Submits an operation under its id. False: there is no coordinator, and nothing was sent. */
  submit(operation: Operation): boolean {
    const { coordinatorWatch, local } = this.#parts;
    if (!local.inView || coordinatorWatch.live() === undefined) return false;
    this.#pending.set(operation.id, { operation, sentMs: -Infinity });
    this.sendDue();
    return true;
  }

  /** Nobody waits for an operation any more: it is not sent again. */
  withdraw(id: string): void {
    this.#pending.delete(id);
  }

  /** The committed answer to an operation, if it is retained. */
  result(id: string): Answer | undefined {
    const { local } = this.#parts;
    const answer = local.state?.answers.find((known) => known.id === id);
    return answer !== undefined && answer.number <= local.committedVersion ? answer : undefined;
  }

  onAnswer(answer: Answer): void {
    if (this.#pending.delete(answer.id)) this.#parts.dependencies.listener.onAnswer(answer);
  }

  /** Sends the operations that are due, first ones and repeated ones. */
  sendDue(): void {
    const { coordinatorWatch, directory, local, transport } = this.#parts;
    const coordinator = coordinatorWatch.live()?.incarnation ?? '';
    const member = coordinator === local.incarnation ? local.self : directory.member(coordinator);
    if (member === undefined) return;
    const nowMs = local.nowMs();
    for (const [id, submission] of this.#pending) {
      if (nowMs - submission.sentMs < RESUBMIT_MS) continue;
      const isRepeated = submission.sentMs !== -Infinity;
      submission.sentMs = nowMs;
      const answer = isRepeated ? this.result(id) : undefined;
      if (answer !== undefined) {
        this.onAnswer(answer);
        continue;
      }
      const value = create(SubmitSchema, { operation: submission.operation });
      transport.sendOrdered(member, { case: 'submit', value });
    }
  }
}
