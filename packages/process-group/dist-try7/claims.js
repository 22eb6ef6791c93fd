import { create } from '@bufbuild/protobuf';
import { ClaimSchema, PromiseSchema, } from '@rainrun/messages';
import { disksOf, isQuorum, later } from './play.js';
/**
 * Claims of an voter to the next epoch, and its answers to those of others.
 * It asks first whether a majority would grant, so that it unseats nobody who
 * is at work.
 * @example
 * const claims = new Claims(context);
 * if (claims.due(nowMs) && !claims.isTaken(undefined, nowMs)) claims.begin(nowMs);
 */
export class Claims {
    #context;
    #claiming;
    #afterMs;
    #courtedMs = -Infinity;
    constructor(context) {
        this.#context = context;
        this.#afterMs = context.nowMs() + context.times.suspectMs + context.chance.next() * 300;
    }
    /** Whether a claim is under way. */
    get pressing() {
        return this.#claiming !== undefined;
    }
    due(nowMs) {
        return nowMs >= this.#afterMs;
    }
    /** This node has slept: it listens before it claims. */
    woke(nowMs) {
        this.#afterMs = Math.max(this.#afterMs, nowMs + this.#context.times.suspectMs);
    }
    /** This node has ceased to coordinate. */
    resigned() {
        const { times, chance } = this.#context;
        this.#afterMs = this.#context.nowMs() + times.suspectMs + chance.next() * 500;
    }
    /** A coordinator of the newest epoch has proposed something. */
    courted() {
        this.#courtedMs = this.#context.nowMs();
    }
    forget() {
        this.#claiming = undefined;
    }
    /** Whether a coordinator is at work as far as this node can see; a claim against it is not supported. */
    isTaken(claimant, nowMs) {
        const following = this.#context.following();
        if (following !== undefined && following !== claimant)
            return true;
        return nowMs - this.#courtedMs < this.#context.times.suspectMs;
    }
    begin(nowMs) {
        const { acceptor } = this.#context;
        const epoch = this.#context.epoch() + 1;
        this.#claiming = {
            epoch,
            bornMs: nowMs,
            sentMs: -Infinity,
            asking: true,
            supporters: new Set([acceptor.disk]),
            promises: new Map(),
        };
        this.#press(this.#claiming, nowMs);
    }
    tick(nowMs) {
        if (this.#claiming !== undefined)
            this.#press(this.#claiming, nowMs);
    }
    #press(claiming, nowMs) {
        const { acceptor, times } = this.#context;
        if (nowMs - claiming.bornMs > times.suspectMs)
            return this.#drop(nowMs);
        if (nowMs - claiming.sentMs < times.resendMs)
            return;
        claiming.sentMs = nowMs;
        const { epoch, asking } = claiming;
        const value = create(ClaimSchema, { epoch, disk: acceptor.disk, asking });
        for (const disk of disksOf(this.#context.voters())) {
            if (asking ? claiming.supporters.has(disk) : claiming.promises.has(disk))
                continue;
            const seat = this.#context.voterSeat(disk);
            if (disk === acceptor.disk)
                acceptor.claim(value, (promise) => this.onPromise(promise));
            else if (seat !== undefined)
                this.#context.post(seat, { case: 'claim', value });
        }
    }
    #drop(nowMs) {
        this.#claiming = undefined;
        this.#afterMs = nowMs + 200 + this.#context.chance.next() * 800;
    }
    onClaim(from, claim) {
        const { acceptor } = this.#context;
        const seat = this.#context.seat(from);
        if (seat === undefined)
            return;
        const taken = this.isTaken(from, this.#context.nowMs());
        if (taken || claim.asking) {
            const granted = !taken && claim.epoch > acceptor.promisedEpoch;
            const { epoch, asking } = claim;
            const value = create(PromiseSchema, {
                epoch,
                asking,
                granted,
                disk: acceptor.disk,
                seenEpoch: this.#context.epoch(),
            });
            return this.#context.post(seat, { case: 'promise', value });
        }
        acceptor.claim(claim, (promise) => this.#context.post(seat, { case: 'promise', value: promise }));
    }
    onPromise(promise) {
        const claiming = this.#claiming;
        this.#context.sawEpoch(promise.granted ? 0 : promise.seenEpoch);
        if (claiming === undefined || promise.epoch !== claiming.epoch)
            return;
        if (!promise.granted)
            return this.#drop(this.#context.nowMs());
        if (promise.asking)
            return this.#supported(claiming, promise.disk);
        claiming.promises.set(promise.disk, promise);
        this.#conclude(claiming);
    }
    /**
     * Takes the epoch once a quorum promised it. This node's own disk must be
     * among them: after a crash it would otherwise claim the same epoch again,
     * and coordinate in it a second time.
     */
    #conclude(claiming) {
        const { promises, epoch } = claiming;
        const { disk } = this.#context.acceptor;
        const best = bestOf(claiming);
        if (best?.state === undefined || !promises.has(disk))
            return;
        if (!isQuorum(best.state, promises) || !isQuorum(this.#context.voters(), promises))
            return;
        this.#claiming = undefined;
        if (best.state.voters.some((voter) => voter.disk === disk))
            this.#context.take(epoch, best);
    }
    #supported(claiming, disk) {
        claiming.supporters.add(disk);
        if (!claiming.asking || !isQuorum(this.#context.voters(), claiming.supporters))
            return;
        claiming.asking = false;
        claiming.sentMs = -Infinity;
        this.#press(claiming, this.#context.nowMs());
    }
}
/** The newest version that an voter accepted, of those that promised. */
function bestOf(claiming) {
    let best;
    for (const { accepted } of claiming.promises.values()) {
        if (accepted !== undefined && (best === undefined || later(accepted, best)))
            best = accepted;
    }
    return best;
}
//# sourceMappingURL=claims.js.map