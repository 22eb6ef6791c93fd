/** The operations that this node has submitted and not yet seen answered. */
import { create } from '@bufbuild/protobuf';
import { SubmitSchema, type Answer, type Operation } from '@rainrun/messages';
import type { CoordinatorWatch } from './coordinator-watch.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Transport } from '../transport/transport.js';
import { RETAINED_ANSWERS_MAX, retainedAnswerCount } from './group-state.js';

/** Interval after which an unanswered operation is sent again. */
const RESUBMIT_MS = 1000;

interface Submission {
  readonly operation: Operation;
  sentMs: number;
}

/** What submissions need from the other parts of the group. */
interface SubmissionCollaborators<S> {
  readonly coordinatorWatch: CoordinatorWatch<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
}

/**
 * Sends operations to the coordinator and resends them until they are answered. The operation's id
 * ensures that it is applied only once.
 * @example
 * if (!submissions.submit(operation)) answerUnavailable();
 */
export class Submissions<S> {
  #collaborators: SubmissionCollaborators<S>;
  #pending = new Map<string, Submission>();

  constructor(collaborators: SubmissionCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Whether the group retains as many answers to operators as it can, so that no further one fits. */
  get isRetentionFull(): boolean {
    const { state } = this.#collaborators.local;
    return state !== undefined && retainedAnswerCount(state) >= RETAINED_ANSWERS_MAX;
  }

  /** Submits an operation under its id. Returns false, having sent nothing, if no coordinator is known. */
  submit(operation: Operation): boolean {
    const { coordinatorWatch, local } = this.#collaborators;
    if (!local.inView || coordinatorWatch.live() === undefined) return false;
    this.#pending.set(operation.id, { operation, sentMs: -Infinity });
    this.sendDue();
    return true;
  }

  /** Stops resending an operation that nobody waits for any longer. */
  withdraw(id: string): void {
    this.#pending.delete(id);
  }

  /** The committed answer to an operation, if it is retained. */
  result(id: string): Answer | undefined {
    const { local } = this.#collaborators;
    const answer = local.state?.answers.find((known) => known.id === id);
    return answer !== undefined && answer.number <= local.committedVersion ? answer : undefined;
  }

  /** Passes an answer to the listener, unless its operation was withdrawn or already answered. */
  onAnswer(answer: Answer): void {
    if (this.#pending.delete(answer.id)) this.#collaborators.dependencies.listener.onAnswer(answer);
  }

  /** Sends the operations that are due, for the first time or again. */
  sendDue(): void {
    const { coordinatorWatch, directory, local, transport } = this.#collaborators;
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
