import { majority } from './play.js';
/**
 * What the other members granted. A word counts from the moment its heartbeat was
 * sent, and only once this node holds all that the granter held: so a grant
 * brings what was missed.
 * @example
 * const grants = new Grants(1000);
 * grants.given('incarnation-2', sentMs, 7);
 * grants.endMs(view, 'incarnation-1', 7, nowMs) > nowMs; // true while a majority gave its word
 */
export class Grants {
    #grantMs;
    #words = new Map();
    #duties = new Map();
    constructor(grantMs) {
        this.#grantMs = grantMs;
    }
    given(incarnation, sentMs, number) {
        const known = this.#words.get(incarnation);
        if (known === undefined || sentMs >= known.sentMs)
            this.#words.set(incarnation, { sentMs, number });
    }
    /** The version that a member held when it last gave its word. */
    versionAt(incarnation) {
        return this.#words.get(incarnation)?.number;
    }
    givenDuty(incarnation, sentMs) {
        this.#duties.set(incarnation, Math.max(sentMs, this.#duties.get(incarnation) ?? -Infinity));
    }
    /** Forgets the words for an earlier duty. */
    clearDuties() {
        this.#duties.clear();
    }
    clear() {
        this.#words.clear();
        this.#duties.clear();
    }
    /** When the right to admit ends. */
    endMs(view, self, number, nowMs) {
        return this.#majorityEndMs(view, (incarnation) => {
            if (incarnation === self)
                return nowMs;
            const word = this.#words.get(incarnation);
            return word === undefined ? -Infinity : word.sentMs;
        });
    }
    /** When the right to a duty ends. */
    dutyEndMs(view, self, nowMs) {
        return this.#majorityEndMs(view, (incarnation) => incarnation === self ? nowMs : (this.#duties.get(incarnation) ?? -Infinity));
    }
    #majorityEndMs(view, sentMs) {
        const sent = view.members.map((member) => sentMs(member.incarnation)).sort((one, other) => other - one);
        return (sent[majority(sent.length) - 1] ?? -Infinity) + this.#grantMs;
    }
}
//# sourceMappingURL=grants.js.map