/** What the model check goes through: small scopes to their end, larger ones as far as states allow. */
import type { Budget, Scope } from './agreement-search.js';
/** Three voters, `a` coordinates, `d` may replace `c`. */
export declare const SCOPES: {
    /** Two rivals for the newest epoch while the coordinator is at work. */
    readonly rivals: {
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly claimants: readonly string[];
        readonly crashing: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
    /** The same with an operation that either may get chosen. */
    readonly rivalsAtWork: {
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly claimants: readonly string[];
        readonly crashing: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
    /** A claim and an operation, and a crash of any machine anywhere in them. */
    readonly restart: {
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly claimants: readonly string[];
        readonly crashing: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
    /** The same where a voter crashes between its writes and their syncs. */
    readonly tornVoter: {
        readonly claimants: readonly ["b"];
        readonly crashing: readonly ["c"];
        readonly slowDisks: true;
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly refusals: boolean;
    };
    /** A voter that crashes between its writes and their syncs, among rival claims. */
    readonly tornVoterOfRivals: {
        readonly crashing: readonly ["c"];
        readonly slowDisks: true;
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly claimants: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly refusals: boolean;
    };
    /** A claimant that crashes between its writes and their syncs and claims again. */
    readonly tornClaimant: {
        readonly claimants: readonly ["b"];
        readonly crashing: readonly ["b"];
        readonly slowDisks: true;
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly refusals: boolean;
    };
    /** A lost voter is replaced while another claims. */
    readonly repair: {
        readonly lost: readonly ["c"];
        readonly claimants: readonly ["b"];
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly crashing: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
    /** The same while the voter that is replaced lives on. */
    readonly replacement: {
        readonly claimants: readonly ["b"];
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly crashing: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
    /** The coordinator that replaces a voter crashes, another is elected, and the first claims again. */
    readonly replacementTorn: {
        readonly crashing: readonly ["a"];
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly spares: readonly string[];
        readonly coordinator: string;
        readonly claimants: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
    /** Two machines may replace one. */
    readonly twoSpares: {
        readonly spares: readonly ["d", "e"];
        readonly claimants: readonly [];
        readonly budget: Budget;
        readonly voters: readonly string[];
        readonly coordinator: string;
        readonly crashing: readonly string[];
        readonly lost: readonly string[];
        readonly replaceable: readonly string[];
        readonly slowDisks: boolean;
        readonly refusals: boolean;
    };
};
/** Of everything some, with a second spare: for walks at random. */
export declare const WALKED: Scope;
