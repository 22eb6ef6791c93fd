function budget(part) {
    return { claims: 0, crashes: 0, operations: 0, replacements: 0, losses: 0, ...part };
}
const THREE_VOTERS = {
    voters: ['a', 'b', 'c'],
    spares: ['d'],
    coordinator: 'a',
    claimants: ['a', 'b'],
    crashing: ['a', 'b', 'c', 'd'],
    lost: [],
    replaceable: ['c'],
    slowDisks: false,
    refusals: false,
    budget: budget({}),
};
/** Three voters, `a` coordinates, `d` may replace `c`. */
export const SCOPES = {
    /** Two rivals for the newest epoch while the coordinator is at work. */
    rivals: { ...THREE_VOTERS, budget: budget({ claims: 2 }) },
    /** The same with an operation that either may get chosen. */
    rivalsAtWork: { ...THREE_VOTERS, budget: budget({ claims: 2, operations: 1 }) },
    /** A claim and an operation, and a crash of any machine anywhere in them. */
    restart: { ...THREE_VOTERS, budget: budget({ claims: 1, crashes: 1, operations: 1 }) },
    /** The same where a voter crashes between its writes and their syncs. */
    tornVoter: {
        ...THREE_VOTERS,
        claimants: ['b'],
        crashing: ['c'],
        slowDisks: true,
        budget: budget({ claims: 1, crashes: 1, operations: 1 }),
    },
    /** A voter that crashes between its writes and their syncs, among rival claims. */
    tornVoterOfRivals: {
        ...THREE_VOTERS,
        crashing: ['c'],
        slowDisks: true,
        budget: budget({ claims: 2, crashes: 1 }),
    },
    /** A claimant that crashes between its writes and their syncs and claims again. */
    tornClaimant: {
        ...THREE_VOTERS,
        claimants: ['b'],
        crashing: ['b'],
        slowDisks: true,
        budget: budget({ claims: 2, crashes: 1 }),
    },
    /** A lost voter is replaced while another claims. */
    repair: { ...THREE_VOTERS, lost: ['c'], claimants: ['b'], budget: budget({ claims: 1, replacements: 1 }) },
    /** The same while the voter that is replaced lives on. */
    replacement: { ...THREE_VOTERS, claimants: ['b'], budget: budget({ claims: 1, replacements: 1 }) },
    /** The coordinator that replaces a voter crashes, another is elected, and the first claims again. */
    replacementTorn: {
        ...THREE_VOTERS,
        crashing: ['a'],
        budget: budget({ claims: 2, crashes: 1, replacements: 1 }),
    },
    /** Two machines may replace one. */
    twoSpares: { ...THREE_VOTERS, spares: ['d', 'e'], claimants: [], budget: budget({ replacements: 1 }) },
};
/** Of everything some, with a second spare: for walks at random. */
export const WALKED = {
    ...THREE_VOTERS,
    spares: ['d', 'e'],
    claimants: ['a', 'b', 'c', 'd', 'e'],
    crashing: ['a', 'b', 'c', 'd', 'e'],
    replaceable: ['a', 'b', 'c', 'd'],
    slowDisks: true,
    refusals: true,
    budget: { claims: 5, crashes: 3, operations: 3, replacements: 2, losses: 1 },
};
//# sourceMappingURL=agreement-scopes.js.map