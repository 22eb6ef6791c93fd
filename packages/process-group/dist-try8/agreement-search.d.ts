import { type AgreementCode, type Input } from './agreement-model.js';
/** How often each kind of trouble and of work may come. */
export interface Budget {
    readonly claims: number;
    readonly crashes: number;
    readonly operations: number;
    readonly replacements: number;
    /** Machines that may go for good with their disks, one after the other's replacement. */
    readonly losses: number;
}
/** What is searched. */
export interface Scope {
    readonly voters: readonly string[];
    readonly spares: readonly string[];
    /** The machine that coordinates when the search begins. */
    readonly coordinator: string;
    readonly budget: Budget;
    /** Machines that may claim. */
    readonly claimants: readonly string[];
    /** Machines that may crash and start again. */
    readonly crashing: readonly string[];
    /** Machines that go with their disks right after the first election. */
    readonly lost: readonly string[];
    /** Disks that a coordinator may take for lost, and replace. */
    readonly replaceable: readonly string[];
    /** Whether other things may happen between a write and its sync. */
    readonly slowDisks: boolean;
    /** Whether refusals are sent: they end claims and terms, and tell of newer epochs. */
    readonly refusals: boolean;
}
/** One thing that happens to one machine; a delivery goes by the number of its message. */
export interface Action {
    readonly machine: number;
    readonly what: Exclude<Input, {
        readonly kind: 'deliver';
    }> | {
        readonly kind: 'deliver';
        readonly message: number;
    } | {
        readonly kind: 'crash';
    } | {
        readonly kind: 'lose';
    };
}
/** Where all machines stand and what has been sent. */
export interface State {
    /** Numbers of the machines' states; -1 stands for one that is gone. */
    readonly machines: readonly number[];
    /** Numbers of all messages that were ever sent, in rising order. */
    readonly sent: readonly number[];
    readonly budget: Budget;
}
/** What follows from an action. */
export interface Step {
    readonly state: State;
    readonly violation: string | undefined;
}
/**
 * The graph of states of one scope, over one build of the code.
 * @example
 * const space = new StateSpace(code, scope);
 * for (const action of space.actions(space.start)) space.step(space.start, action);
 */
export declare class StateSpace {
    #private;
    readonly start: State;
    constructor(code: AgreementCode, scope: Scope);
    /** Everything that may happen next. */
    actions(state: State): Action[];
    /** What follows from an action; the same state if nothing does. */
    step(state: State, action: Action): Step;
    /** An action in words. */
    describe({ machine, what }: Action): string;
    /** Equal for equal states. */
    key(state: State): string;
}
/**
 * Walks at random: each choice picks one of the actions that change anything,
 * most often a delivery or a sync. Returns the violation it met and its way.
 * @example
 * walk(space, [3, 1, 4, 1, 5]);
 */
export declare function walk(space: StateSpace, choices: readonly number[]): Walked;
/** How a walk went. */
export interface Walked {
    readonly trace: readonly string[];
    readonly violation: string | undefined;
}
/** What an exhaustive search found. */
export interface Found {
    readonly states: number;
    readonly steps: number;
    /** Whether every state of the scope was seen. */
    readonly whole: boolean;
    readonly violation: string | undefined;
    /** The shortest way to the violation. */
    readonly trace: readonly string[];
}
/**
 * Goes through all states of a scope, nearest first, and stops at the first
 * violation or after so many states.
 * @example
 * const found = searchAll(new StateSpace(code, scope), 100_000);
 */
export declare function searchAll(space: StateSpace, statesMost: number): Found;
