import { type Version } from '@rainrun/messages';
import type { Records } from '@rainrun/storage';
import { type Life, type Message } from './agreement-messages.js';
import type { Acceptor, readRecords } from './acceptor.js';
import type { Claims } from './claims.js';
import type { Coordinator } from './coordinator.js';
/** The code under check; a mutant brings its own. */
export interface AgreementCode {
    readonly Acceptor: typeof Acceptor;
    readonly Claims: typeof Claims;
    readonly Coordinator: typeof Coordinator;
    readonly readRecords: typeof readRecords;
}
/** What the search may do to one machine. */
export type Input = {
    readonly kind: 'claim';
} | {
    readonly kind: 'sync';
} | {
    readonly kind: 'operate';
} | {
    readonly kind: 'replace';
    readonly disk: string;
} | {
    readonly kind: 'deliver';
    readonly message: Message;
};
/** The first version of the history: agreed by the first voters before the search begins. */
export declare function firstVersion(machines: readonly string[], voters: readonly string[]): Version;
/** The records of a disk that is empty but for its id. */
export declare function emptyDisk(machine: string): Records;
/** The records of a disk that took part in the first version. */
export declare function firstDisk(machine: string, version: Version, founder: string): Records;
/** One life of a machine that votes and may coordinate. */
export declare class ModelMachine {
    #private;
    readonly from: Life;
    /** Why the disk's records were refused. */
    readonly broken: string | undefined;
    constructor(code: AgreementCode, from: Life, records: Records);
    /** What a crash leaves. */
    get records(): Records;
    get writesWait(): boolean;
    /** Whether this machine is among the voters that it knows of, and would claim if it heard of no coordinator. */
    get mayClaim(): boolean;
    /** Whether this machine coordinates and waits for nothing. */
    get idleCoordinator(): boolean;
    /** Messages that are not taken again: claims in this life, replies since this machine claimed. */
    get heardMessages(): ReadonlySet<string>;
    /** Equal for machines that behave alike from now on. */
    fingerprint(): string;
    /** Carries out one input and returns what was sent. */
    apply(input: Input): readonly Message[];
}
