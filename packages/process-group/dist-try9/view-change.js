/** A member's side of a view change: stopping, flushing, entering the next view, starting anew. */
import { create } from '@bufbuild/protobuf';
import { FlushSchema } from '@rainrun/messages';
/**
 * Takes this node from one view to the next: it stops its casts at the
 * coordinator's word, hands over what may be missing elsewhere, and opens the
 * new view once that is in force. A node that was left out starts anew.
 * @example
 * viewChange.onStop('incarnation-1', stop); // answers with a flush
 */
export class ViewChange {
    #parts;
    #stopEpoch = 0;
    /** Incarnations that stay, while a change is under way. */
    #staying;
    constructor(parts) {
        this.#parts = parts;
    }
    /** Whether a change is under way that leaves this member out: it is granted nothing any more. */
    isLeavingOut(incarnation) {
        return this.#staying !== undefined && !this.#staying.has(incarnation);
    }
    onStop(from, stop) {
        const { directory, local, transport, versions } = this.#parts;
        const held = local.held;
        if (!local.inView || held === undefined || stop.epoch < local.epoch || stop.epoch < this.#stopEpoch)
            return;
        if (stop.view > held.view.number)
            return versions.fetch(from);
        if (stop.view < held.view.number)
            return;
        local.sawEpoch(stop.epoch);
        const seat = directory.seat(from);
        if (seat === undefined)
            return;
        transport.post(seat, { case: 'flush', value: this.flush(stop.epoch, stop.change, stop.staying) });
    }
    /** Stops the casts of this view and hands over those that may be missing elsewhere. */
    flush(epoch, change, staying) {
        this.#stopEpoch = epoch;
        this.#staying = new Set(staying);
        return create(FlushSchema, { epoch, change, unstable: this.#parts.casts.stop() });
    }
    /** Makes a view the one in force here; casts begin with `open`. */
    enter(view) {
        const { casts, directory, liveness, local, transport, versions } = this.#parts;
        const nowMs = local.nowMs();
        local.enterView();
        this.#staying = undefined;
        this.#stopEpoch = 0;
        versions.clearGap();
        const incarnations = new Set(view.members.map((member) => member.incarnation));
        for (const member of view.members) {
            directory.learn(member);
            liveness.watch(member.incarnation, nowMs);
        }
        transport.keepOnly(incarnations);
        this.#forgetOutsiders(incarnations, nowMs);
        liveness.clearReports();
        casts.enter(view);
    }
    /** Lets in what came before its view, once the view has been announced. */
    open() {
        this.#parts.casts.open();
    }
    /** Leaves the view, if any, and looks for the group as a new member. */
    rejoin() {
        const { casts, coordination, coordinatorWatch, dependencies, directory, discovery } = this.#parts;
        const { election, leases, liveness, local, transport, versions } = this.#parts;
        directory.learnAddresses(local.held?.view.members ?? []);
        local.startAnew();
        casts.clear();
        this.#staying = undefined;
        versions.clearGap();
        coordination.drop();
        election.claims?.forget();
        coordinatorWatch.clear();
        liveness.clear();
        transport.clear();
        leases.clear();
        discovery.clearGreetings();
        dependencies.audience.onReborn(local.incarnation);
    }
    #forgetOutsiders(incarnations, nowMs) {
        const { directory, discovery, liveness } = this.#parts;
        for (const incarnation of directory.incarnations()) {
            if (incarnations.has(incarnation) || discovery.isInTouch(incarnation, nowMs))
                continue;
            directory.forget(incarnation);
            discovery.forget(incarnation);
            liveness.forget(incarnation);
        }
    }
}
//# sourceMappingURL=view-change.js.map