import { type Accepted, type Claim, type Promise as Promised, type Propose, type Version } from '@rainrun/messages';
/** One life of a machine: from its start to its crash. */
export interface Life {
    readonly machine: string;
    readonly life: number;
}
/** A message or an event that the invariants look at. */
export type Message = {
    readonly kind: 'claim';
    readonly from: Life;
    readonly to: string;
    readonly claim: Claim;
} | {
    readonly kind: 'propose';
    readonly from: Life;
    readonly to: string;
    readonly propose: Propose;
} | {
    readonly kind: 'promise';
    readonly from: Life;
    readonly to: Life;
    readonly promise: Promised;
} | {
    readonly kind: 'accepted';
    readonly from: Life;
    readonly to: Life;
    readonly accepted: Accepted;
} | {
    readonly kind: 'elected';
    readonly from: Life;
    readonly epoch: number;
} | {
    readonly kind: 'chosen';
    readonly from: Life;
    readonly version: Version;
};
/** A digest of some bytes. */
export declare function digestOf(bytes: Uint8Array): string;
/** A digest of what a version says, whatever the epoch it was proposed in. */
export declare function contentOf(version: Version): string;
/** A name for a version: equal for equal versions of one epoch. */
export declare function nameOf(version: Version | undefined): string;
/** A life as one word. */
export declare function lifeName({ machine, life }: Life): string;
/** The life that a word stands for. */
export declare function lifeOf(name: string): Life;
/** The same for equal messages: a message that is sent again is no new one. */
export declare function messageName(message: Message): string;
