/** Operations that this node has submitted and waits for. */
import { create } from '@bufbuild/protobuf';
import { SubmitSchema, type Answer, type Operation } from '@rainrun/messages';
import type { CoordinatorWatch } from './coordinator-watch.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Transport } from '../transport/transport.js';
import { RETAINED_ANSWERS_MAX, retainedAnswerCount } from './group-state.js';

/** An operation that was not answered is sent again after so long. */
const RESUBMIT_MS = 1000;

interface Submission {
  readonly operation: Operation;
  sentMs: number;
}

/** What submissions need. */
interface SubmissionCollaborators<S> {
  readonly coordinatorWatch: CoordinatorWatch<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
}

/**
 * Sends operations to the coordinator, again while no answer comes; the
 * operation's id makes sure that it is applied once.
 * @example
 * if (!submissions.submit(operation)) answerUnavailable();
 */
export class Submissions<S> {
  #collaborators: SubmissionCollaborators<S>;
  #pending = new Map<string, Submission>();

  constructor(collaborators: SubmissionCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Whether no further answer to an operator can be retained now. */
  get isRetentionFull(): boolean {
    const { state } = this.#collaborators.local;
    return state !== undefined && retainedAnswerCount(state) >= RETAINED_ANSWERS_MAX;
  }

  /** Submits an operation under its id. False: there is no coordinator, and nothing was sent. */
  submit(operation: Operation): boolean {
    const { coordinatorWatch, local } = this.#collaborators;
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
    const { local } = this.#collaborators;
    const answer = local.state?.answers.find((known) => known.id === id);
    return answer !== undefined && answer.number <= local.committedVersion ? answer : undefined;
  }

  onAnswer(answer: Answer): void {
    if (this.#pending.delete(answer.id)) this.#collaborators.dependencies.listener.onAnswer(answer);
  }

  /** Sends the operations that are due, first ones and repeated ones. */
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
