/** Operations that this node has submitted and waits for. */
import { create } from '@bufbuild/protobuf';
import { SubmitSchema, type Answer, type Operation } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
import { REMEMBERED_MOST, rememberedCount } from './play.js';

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
  #waiting = new Map<string, Submission>();

  constructor(parts: SubmissionParts<S>) {
    this.#parts = parts;
  }

  /** Whether no further operation of an operator can be remembered now. */
  get full(): boolean {
    const { state: held } = this.#parts.local;
    return held !== undefined && rememberedCount(held) >= REMEMBERED_MOST;
  }

  /** Submits an operation under its id. False: there is no coordinator, and nothing was sent. */
  submit(operation: Operation): boolean {
    const { coordinatorWatch, local } = this.#parts;
    if (!local.inView || coordinatorWatch.live() === undefined) return false;
    this.#waiting.set(operation.id, { operation, sentMs: -Infinity });
    this.sendDue();
    return true;
  }

  /** Nobody waits for an operation any more: it is not sent again. */
  withdraw(id: string): void {
    this.#waiting.delete(id);
  }

  /** The agreed answer to an operation, if it is remembered. */
  ask(id: string): Answer | undefined {
    const { local } = this.#parts;
    const answer = local.state?.answers.find((known) => known.id === id);
    return answer !== undefined && answer.number <= local.committedVersion ? answer : undefined;
  }

  onAnswer(answer: Answer): void {
    if (this.#waiting.delete(answer.id)) this.#parts.dependencies.listener.onAnswer(answer);
  }

  /** Sends the operations that are due, first ones and repeated ones. */
  sendDue(): void {
    const { coordinatorWatch, directory, local, transport } = this.#parts;
    const coordinator = coordinatorWatch.live()?.incarnation ?? '';
    const seat = coordinator === local.incarnation ? local.self : directory.seat(coordinator);
    if (seat === undefined) return;
    const nowMs = local.nowMs();
    for (const [id, submission] of this.#waiting) {
      if (nowMs - submission.sentMs < RESUBMIT_MS) continue;
      const isRepeated = submission.sentMs !== -Infinity;
      submission.sentMs = nowMs;
      const answer = isRepeated ? this.ask(id) : undefined;
      if (answer !== undefined) {
        this.onAnswer(answer);
        continue;
      }
      const value = create(SubmitSchema, { operation: submission.operation });
      transport.parcel(seat, { case: 'submit', value });
    }
  }
}
