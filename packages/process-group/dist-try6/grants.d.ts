import type { View } from '@rainrun/messages';
/**
 * What the other members granted. A word counts from the moment its heartbeat was
 * sent, and only once this node holds all that the granter held: so a grant
 * brings what was missed.
 * @example
 * const grants = new Grants(1000);
 * grants.given('incarnation-2', sentMs, 7);
 * grants.endMs(view, 'incarnation-1', 7, nowMs) > nowMs; // true while a majority gave its word
 */
export declare class Grants {
    #private;
    constructor(grantMs: number);
    given(incarnation: string, sentMs: number, number: number): void;
    /** The version that a member held when it last gave its word. */
    versionAt(incarnation: string): number | undefined;
    givenDuty(incarnation: string, sentMs: number): void;
    /** Forgets the words for an earlier duty. */
    clearDuties(): void;
    clear(): void;
    /** When the right to admit ends. */
    endMs(view: View, self: string, number: number, nowMs: number): number;
    /** When the right to a duty ends. */
    dutyEndMs(view: View, self: string, nowMs: number): number;
}
