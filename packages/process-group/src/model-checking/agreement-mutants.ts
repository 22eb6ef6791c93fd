/**
 * Mutants of the compiled agreement code, each without one mechanism, to show
 * that the model check detects every one of them.
 */
import { cp, mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import type { AgreementCode } from './agreement-model.js';
import type { SCOPES } from './agreement-scopes.js';

/** A mutant, made by replacing one piece of text in one file so that a mechanism is missing. */
export interface Mutant {
  /** The mechanism that is removed. */
  readonly name: string;
  /** The scope in which the model check detects the mutant. */
  readonly scope: keyof typeof SCOPES;
  /** The compiled module, by its path from the package's `dist`. */
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

/** All mutants, each without one mechanism. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: 'a promise is synced before it is answered',
    scope: 'tornVoter',
    file: 'agreement/acceptor.js',
    from: "this.#store('promise', toBinary(PromiseRecordSchema, record), () => {",
    to: "reply(this.#promise(epoch, true));\n        this.#store('promise', toBinary(PromiseRecordSchema, record), () => {",
  },
  {
    name: 'a version is synced before it is acknowledged',
    scope: 'tornVoter',
    file: 'agreement/acceptor.js',
    from: "this.#store('version', toBinary(VersionSchema, version), () => {",
    to: "reply(this.#acceptedReply(version, false));\n        this.#store('version', toBinary(VersionSchema, version), () => {",
  },
  {
    name: 'versions of older epochs are rejected',
    scope: 'rivals',
    file: 'agreement/acceptor.js',
    from: 'const stale = epoch < this.#promisedEpoch ||\n            (epoch === this.#promisedEpoch && this.#promisedTo',
    to: 'const stale = false ||\n            (epoch === this.#promisedEpoch && this.#promisedTo',
  },
  {
    name: 'prepares of older epochs are rejected',
    scope: 'rivals',
    file: 'agreement/acceptor.js',
    from: 'const stale = epoch < this.#promisedEpoch || (epoch === this.#promisedEpoch && candidate',
    to: 'const stale = false || (epoch === this.#promisedEpoch && candidate',
  },
  {
    name: 'an epoch is promised to one candidate',
    scope: 'replacementTorn',
    file: 'agreement/acceptor.js',
    from: '(epoch === this.#promisedEpoch && candidate !== this.#promisedTo)',
    to: 'false',
  },
  {
    name: 'a promise carries the accepted version',
    scope: 'rivalsAtWork',
    file: 'agreement/acceptor.js',
    from: 'if (granted && this.#accepted !== undefined)',
    to: 'if (granted && this.#accepted?.number === 1)',
  },
  {
    name: 'a restarted voter keeps its promise',
    scope: 'tornCandidate',
    file: 'agreement/acceptor.js',
    from: 'promisedEpoch: Math.max(promise.epoch, accepted?.epoch ?? 0)',
    to: 'promisedEpoch: accepted?.epoch ?? 0',
  },
  {
    name: 'a restarted voter keeps the epoch of the version that it accepted',
    scope: 'restart',
    file: 'agreement/acceptor.js',
    from: 'promisedEpoch: Math.max(promise.epoch, accepted?.epoch ?? 0)',
    to: 'promisedEpoch: promise.epoch',
  },
  {
    name: 'a candidacy uses a new epoch',
    scope: 'restart',
    file: 'agreement/candidacy.js',
    from: 'const epoch = this.#context.epoch() + 1;',
    to: 'const epoch = this.#context.epoch();',
  },
  {
    name: "a candidate's own promise is synced before it coordinates",
    scope: 'tornCandidate',
    file: 'agreement/candidacy.js',
    from: 'if (best?.state === undefined || !promises.has(disk))',
    to: 'if (best?.state === undefined)',
  },
  {
    name: 'an election needs a majority',
    scope: 'rivalsAtWork',
    file: 'agreement/candidacy.js',
    from: 'if (!isQuorum(best.state, promises) || !isQuorum(this.#context.voters(), promises))',
    to: 'if (promises.size === 0)',
  },
  {
    name: 'an election needs a majority of the newest voters',
    scope: 'replacement',
    file: 'agreement/candidacy.js',
    from: 'if (!isQuorum(best.state, promises) || !isQuorum(this.#context.voters(), promises))',
    to: 'if (!isQuorum(this.#context.voters(), promises))',
  },
  {
    name: 'a new coordinator adopts the newest accepted version',
    scope: 'rivalsAtWork',
    file: 'agreement/candidacy.js',
    from: '(best === undefined || isLater(accepted, best))',
    to: '(best === undefined)',
  },
  {
    name: 'the epoch decides which version is newest',
    scope: 'rivalsAtWork',
    file: 'agreement/quorum.js',
    from: 'one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number',
    to: 'one.number !== other.number ? one.number > other.number : one.epoch > other.epoch',
  },
  {
    name: 'a version needs a majority',
    scope: 'rivals',
    file: 'agreement/version-proposer.js',
    from: 'if (isQuorum(proposal.state, proposal.acks))',
    to: 'if (proposal.acks.size > 0)',
  },
  {
    name: 'a change of voters needs a majority of the old ones',
    scope: 'repair',
    file: 'agreement/version-proposer.js',
    from: 'if (isQuorum(proposal.state, proposal.acks))',
    to: 'if (isQuorum({ ...proposal.state, previousVoters: [] }, proposal.acks))',
  },
  {
    name: 'a change of voters needs a majority of the new ones',
    scope: 'replacement',
    file: 'agreement/version-proposer.js',
    from: 'if (isQuorum(proposal.state, proposal.acks))',
    to: 'if (isQuorum({ voters: proposal.state.previousVoters.length > 0 ? proposal.state.previousVoters : proposal.state.voters, previousVoters: [] }, proposal.acks))',
  },
  {
    name: 'a version records the voters that it replaced',
    scope: 'repair',
    file: 'agreement/group-state.js',
    from: 'previousVoters: entry.voters.length > 0 ? state.voters : [],',
    to: 'previousVoters: [],',
  },
  {
    name: 'one voter is replaced at a time',
    scope: 'twoSpares',
    file: 'agreement/voter-replacement.js',
    from: 'return voters.map((voter) => (voter === lost ? { ...voter, disk: spare.disk, name: spare.name } : voter));',
    to: 'return voters.map((voter, place) => (place > 0 && spares[place - 1] !== undefined ? { ...voter, disk: spares[place - 1].disk } : voter));',
  },
  {
    name: 'an acknowledgement counts for its own version only',
    scope: 'rivalsAtWork',
    file: 'agreement/version-proposer.js',
    from: 'if (accepted.epoch !== this.#epoch || accepted.number !== proposal.state.number)',
    to: 'if (false)',
  },
];

/**
 * Loads the compiled code with one mechanism removed.
 * @example
 * const code = await loadMutant(MUTANTS[0]);
 */
export async function loadMutant(mutant: Mutant): Promise<Result<AgreementCode, Fault>> {
  const dist = dirname(dirname(fileURLToPath(import.meta.url)));
  const folder = await mkdtemp(join(dist, 'mutant-'));
  try {
    for (const name of await readdir(dist, { recursive: true }))
      if (name.endsWith('.js') && !name.endsWith('.test.js') && !name.startsWith('mutant-'))
        await cp(join(dist, name), join(folder, name));
    const path = join(folder, mutant.file);
    const text = await readFile(path, 'utf8');
    if (text.split(mutant.from).length !== 2)
      return Result.err(fault('not-found', `${mutant.file} does not contain exactly one "${mutant.from}"`));
    await writeFile(
      path,
      text.replace(mutant.from, () => mutant.to),
    );
    return Result.ok((await import(pathToFileURL(join(folder, 'index.js')).href)) as AgreementCode);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
