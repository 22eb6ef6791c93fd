/** Operations that this node has submitted and waits for. */
import { create } from '@bufbuild/protobuf';
import { SubmitSchema } from '@rainrun/messages';
import { REMEMBERED_MOST, rememberedCount } from './play.js';
/** An operation that was not answered is sent again after so long. */
const RESUBMIT_MS = 1000;
/**
 * Sends operations to the coordinator, again while no answer comes; the
 * operation's id makes sure that it is applied once.
 * @example
 * if (!submissions.submit(operation)) answerUnavailable();
 */
export class Submissions {
    #parts;
    #waiting = new Map();
    constructor(parts) {
        this.#parts = parts;
    }
    /** Whether no further operation of an operator can be remembered now. */
    get full() {
        const { held } = this.#parts.local;
        return held !== undefined && rememberedCount(held) >= REMEMBERED_MOST;
    }
    /** Submits an operation under its id. False: there is no coordinator, and nothing was sent. */
    submit(operation) {
        const { coordinatorWatch, local } = this.#parts;
        if (!local.inView || coordinatorWatch.live() === undefined)
            return false;
        this.#waiting.set(operation.id, { operation, sentMs: -Infinity });
        this.sendDue();
        return true;
    }
    /** Nobody waits for an operation any more: it is not sent again. */
    withdraw(id) {
        this.#waiting.delete(id);
    }
    /** The agreed answer to an operation, if it is remembered. */
    ask(id) {
        const { local } = this.#parts;
        const answer = local.held?.answers.find((known) => known.id === id);
        return answer !== undefined && answer.number <= local.agreed ? answer : undefined;
    }
    onAnswer(answer) {
        if (this.#waiting.delete(answer.id))
            this.#parts.dependencies.audience.onAnswer(answer);
    }
    /** Sends the operations that are due, first ones and repeated ones. */
    sendDue() {
        const { coordinatorWatch, directory, local, transport } = this.#parts;
        const coordinator = coordinatorWatch.live()?.incarnation ?? '';
        const seat = coordinator === local.incarnation ? local.seat : directory.seat(coordinator);
        if (seat === undefined)
            return;
        const nowMs = local.nowMs();
        for (const [id, submission] of this.#waiting) {
            if (nowMs - submission.sentMs < RESUBMIT_MS)
                continue;
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
//# sourceMappingURL=submissions.js.map