/** Scopes of the model check: small ones are searched completely, larger ones up to a limit of states. */

/** How often each kind of fault and of work may occur. */
export interface Budget {
  readonly prepares: number;
  readonly crashes: number;
  readonly operations: number;
  readonly replacements: number;
  /** Machines that may be lost permanently with their disks, each after the one before it was replaced. */
  readonly losses: number;
}

/** The machines, actions and budget of one search. */
export interface Scope {
  readonly voters: readonly string[];
  readonly spares: readonly string[];
  /** The machine that coordinates when the search begins. */
  readonly coordinator: string;
  readonly budget: Budget;
  /** Machines that may become candidates. */
  readonly candidates: readonly string[];
  /** Machines that may crash and restart. */
  readonly crashing: readonly string[];
  /** Machines that are lost with their disks right after the first election. */
  readonly lost: readonly string[];
  /** Disks that a coordinator may consider lost and replace. */
  readonly replaceable: readonly string[];
  /** Whether other actions may happen between a write and its sync. */
  readonly slowDisks: boolean;
  /** Whether rejections are sent: they end prepares and terms, and report newer epochs. */
  readonly rejections: boolean;
}

function budget(part: Partial<Budget>): Budget {
  return { prepares: 0, crashes: 0, operations: 0, replacements: 0, losses: 0, ...part };
}

const THREE_VOTERS: Scope = {
  voters: ['a', 'b', 'c'],
  spares: ['d'],
  coordinator: 'a',
  candidates: ['a', 'b'],
  crashing: ['a', 'b', 'c', 'd'],
  lost: [],
  replaceable: ['c'],
  slowDisks: false,
  rejections: false,
  budget: budget({}),
};

/** The scopes by name: `a`, `b` and `c` vote, `a` coordinates, `d` may replace `c`. */
export const SCOPES = {
  /** Two rival candidates for the newest epoch while a coordinator is active. */
  rivals: { ...THREE_VOTERS, budget: budget({ prepares: 2 }) },
  /** Two rival candidates, and an operation that either may get chosen. */
  rivalsAtWork: { ...THREE_VOTERS, budget: budget({ prepares: 2, operations: 1 }) },
  /** A prepare and an operation, and a crash of any machine anywhere in them. */
  restart: { ...THREE_VOTERS, budget: budget({ prepares: 1, crashes: 1, operations: 1 }) },
  /** A prepare and an operation, and a voter that crashes between its writes and their syncs. */
  tornVoter: {
    ...THREE_VOTERS,
    candidates: ['b'],
    crashing: ['c'],
    slowDisks: true,
    budget: budget({ prepares: 1, crashes: 1, operations: 1 }),
  },
  /** Rival prepares, and a voter that crashes between its writes and their syncs. */
  tornVoterOfRivals: {
    ...THREE_VOTERS,
    crashing: ['c'],
    slowDisks: true,
    budget: budget({ prepares: 2, crashes: 1 }),
  },
  /** A candidate that crashes between its writes and their syncs and prepares again. */
  tornCandidate: {
    ...THREE_VOTERS,
    candidates: ['b'],
    crashing: ['b'],
    slowDisks: true,
    budget: budget({ prepares: 2, crashes: 1 }),
  },
  /** A lost voter is replaced while another voter prepares. */
  repair: {
    ...THREE_VOTERS,
    lost: ['c'],
    candidates: ['b'],
    budget: budget({ prepares: 1, replacements: 1 }),
  },
  /** A voter that stays up is replaced while another voter prepares. */
  replacement: { ...THREE_VOTERS, candidates: ['b'], budget: budget({ prepares: 1, replacements: 1 }) },
  /** The coordinator that replaces a voter crashes, another is elected, and the first prepares again. */
  replacementTorn: {
    ...THREE_VOTERS,
    crashing: ['a'],
    budget: budget({ prepares: 2, crashes: 1, replacements: 1 }),
  },
  /** Two spare machines, either of which may replace a voter. */
  twoSpares: { ...THREE_VOTERS, spares: ['d', 'e'], candidates: [], budget: budget({ replacements: 1 }) },
} as const satisfies Record<string, Scope>;

/** Scope of the random walks: some of every kind of fault and work, with a second spare. */
export const RANDOM_WALK_SCOPE: Scope = {
  ...THREE_VOTERS,
  spares: ['d', 'e'],
  candidates: ['a', 'b', 'c', 'd', 'e'],
  crashing: ['a', 'b', 'c', 'd', 'e'],
  replaceable: ['a', 'b', 'c', 'd'],
  slowDisks: true,
  rejections: true,
  budget: { prepares: 5, crashes: 3, operations: 3, replacements: 2, losses: 1 },
};
