import type { Records } from '@rainrun/storage';
import { Group } from './group.js';
/** One process on a machine. */
export interface TestNode {
    readonly name: string;
    readonly records: Records;
    readonly group: Group<readonly string[]>;
    /** Writes that are not synced yet, and when they will be. */
    readonly writes: {
        readonly dueMs: number;
        readonly sync: () => void;
    }[];
    /** How long this disk takes for a write. */
    syncMs: number;
    stalled: boolean;
    running: boolean;
}
/**
 * Real groups in virtual time. A node that is started again takes its records
 * with it, or none, under a new disk id, as after a loss of its disk.
 * @example
 * const cluster = new TestCluster(['a', 'b', 'c'], 1);
 * cluster.found();
 */
export declare class TestCluster {
    #private;
    nowMs: number;
    readonly nodes: Map<string, TestNode>;
    /** Ids of the operations that were acknowledged. */
    readonly acknowledged: Set<string>;
    readonly cuts: Set<string>;
    constructor(seeds: readonly string[], faultTolerance: number, seed?: number);
    /** Starts all machines for the first time and waits for a settled group. */
    found(): void;
    start(name: string, records?: Records): TestNode;
    node(name: string): TestNode;
    /** Ends a process; what its disk had synced stays in the returned node's records. */
    stop(name: string): TestNode;
    /** Submits an operation at a node; true if it was sent. */
    submit(name: string, payloadBytes?: number): boolean;
    /** Cuts a machine off from all others, or ends that. */
    cutOff(name: string, isCut: boolean): void;
    run(forMs: number): void;
    /** Runs until something holds, and says how long that took. */
    runUntil(holds: () => boolean, mostMs: number): number;
    get running(): TestNode[];
    /** The node that holds the coordinator's lease. */
    leader(): TestNode | undefined;
    /** Acknowledged operations that a node's state lacks. */
    lacks(name: string): string[];
}
