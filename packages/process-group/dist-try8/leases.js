import { Grants } from './grants.js';
/** A duty ends by this fraction of a grant before the grants of the others do. */
const DUTY_MARGIN_FRACTION = 1 / 4;
/**
 * The leases that a majority of the view grants this node with its
 * acknowledgements: one to admit work by the state held, and one to act as
 * the only coordinator ("duty").
 * @example
 * if (leases.isGranted()) admit(request);
 */
export class Leases {
    #parts;
    #grants;
    /** Since when a majority has known this node's epoch for the newest. */
    #dutySinceMs;
    constructor(parts) {
        this.#parts = parts;
        this.#grants = new Grants(parts.dependencies.times.grantMs);
    }
    /** Notes since when this node has its duty. */
    tick(nowMs) {
        if (this.#hasDuty(nowMs))
            this.#dutySinceMs ??= nowMs;
    }
    /** When this node's right to admit ends; compare with the clock just before each act. */
    grantEndMs() {
        const { local } = this.#parts;
        if (!local.inView || local.held === undefined || local.leaving)
            return -Infinity;
        return this.#grants.endMs(local.held.view, local.incarnation, local.held.number, local.nowMs());
    }
    /** The version that a member held when it last gave its word. */
    versionAt(incarnation) {
        return this.#grants.versionAt(incarnation);
    }
    isGranted() {
        return this.grantEndMs() > this.#parts.local.nowMs();
    }
    /** The epoch in which this node may act alone for all, or undefined. Ends before the grant does. */
    dutyEpoch() {
        const { coordination, dependencies, local } = this.#parts;
        const nowMs = local.nowMs();
        if (this.#dutySinceMs === undefined || nowMs < this.#dutySinceMs + dependencies.times.grantMs)
            return undefined;
        return this.#hasDuty(nowMs) ? coordination.coordinator?.epoch : undefined;
    }
    /** Takes the grants in a member's acknowledgement of the heartbeat sent at `sentMs`. */
    onAck(from, sentMs, ack) {
        this.#grants.given(from, sentMs, ack.number);
        if (ack.duty)
            this.#grants.givenDuty(from, sentMs);
    }
    /** This node coordinates a new epoch: grants for an earlier duty do not count. */
    startDuty() {
        this.#dutySinceMs = undefined;
        this.#grants.clearDuties();
    }
    clear() {
        this.#grants.clear();
    }
    #hasDuty(nowMs) {
        const { coordination, dependencies, local } = this.#parts;
        if (coordination.coordinator?.ready !== true || !local.inView || local.held === undefined)
            return false;
        if (local.leaving)
            return false;
        const marginMs = dependencies.times.grantMs * DUTY_MARGIN_FRACTION;
        return this.#grants.dutyEndMs(local.held.view, local.incarnation, nowMs) - marginMs > nowMs;
    }
}
//# sourceMappingURL=leases.js.map