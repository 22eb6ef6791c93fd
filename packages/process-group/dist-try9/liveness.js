/** Failure detection: which members answer, and what they say of one another. */
import { FailureDetector } from '@rainrun/failure-detector';
import { majority } from './play.js';
/**
 * What this node knows of the health of the others: whether they answer its
 * heartbeats and keep up with its channel, whom they suspect themselves, and
 * who has said goodbye.
 * @example
 * if (!liveness.isLive('incarnation-2', nowMs)) suspects.push('incarnation-2');
 */
export class Liveness {
    #parts;
    #detector;
    /** Whom each member suspects, as its last heartbeat said. */
    #suspectsOf = new Map();
    /** Members that cannot coordinate now, as their last heartbeat said. */
    #unable = new Set();
    #saidGoodbye = new Set();
    constructor(parts) {
        this.#parts = parts;
        this.#detector = new FailureDetector(parts.dependencies.times);
    }
    /** To be called at every tick; returns for how long this process itself was away. */
    tick(nowMs) {
        return this.#detector.tick(nowMs);
    }
    /** Live: answers our heartbeats and does not lag behind our parcels beyond the bound. */
    isLive(incarnation, nowMs) {
        const lagMs = this.#parts.transport.lagMs(incarnation, nowMs);
        return lagMs <= this.#parts.dependencies.times.lagMs && this.#detector.live(incarnation, nowMs);
    }
    /** Whether most members say that they cannot reach this incarnation. */
    isReported(incarnation) {
        const view = this.#parts.local.view;
        if (view === undefined)
            return false;
        const reports = view.members.filter((member) => this.#suspectsOf.get(member.incarnation)?.includes(incarnation));
        return reports.length >= majority(view.members.length);
    }
    isUnable(incarnation) {
        return this.#unable.has(incarnation);
    }
    hasSaidGoodbye(incarnation) {
        return this.#saidGoodbye.has(incarnation);
    }
    watch(incarnation, nowMs) {
        this.#detector.watch(incarnation, nowMs);
    }
    answered(incarnation, nowMs) {
        this.#detector.answered(incarnation, nowMs);
    }
    /** Holds an incarnation for failed, for good. */
    report(incarnation) {
        this.#detector.report(incarnation);
    }
    onBye(incarnation) {
        this.#saidGoodbye.add(incarnation);
        this.#detector.report(incarnation);
    }
    /** Takes what a member says of itself and the others. */
    learn(from, heartbeat) {
        this.#suspectsOf.set(from, heartbeat.suspects);
        if (heartbeat.unable)
            this.#unable.add(from);
        else
            this.#unable.delete(from);
    }
    forget(incarnation) {
        this.#detector.forget(incarnation);
    }
    /** A new view: what was said of members of the old one does not count. */
    clearReports() {
        this.#suspectsOf.clear();
    }
    clear() {
        this.#detector.clear();
        this.#suspectsOf.clear();
    }
}
//# sourceMappingURL=liveness.js.map