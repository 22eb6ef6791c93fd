import { type Answer, type Operation } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
type SubmissionParts<S> = Pick<GroupParts<S>, 'coordinatorWatch' | 'dependencies' | 'directory' | 'local' | 'transport'>;
/**
 * Sends operations to the coordinator, again while no answer comes; the
 * operation's id makes sure that it is applied once.
 * @example
 * if (!submissions.submit(operation)) answerUnavailable();
 */
export declare class Submissions<S> {
    #private;
    constructor(parts: SubmissionParts<S>);
    /** Whether no further operation of an operator can be remembered now. */
    get full(): boolean;
    /** Submits an operation under its id. False: there is no coordinator, and nothing was sent. */
    submit(operation: Operation): boolean;
    /** Nobody waits for an operation any more: it is not sent again. */
    withdraw(id: string): void;
    /** The agreed answer to an operation, if it is remembered. */
    ask(id: string): Answer | undefined;
    onAnswer(answer: Answer): void;
    /** Sends the operations that are due, first ones and repeated ones. */
    sendDue(): void;
}
export {};
