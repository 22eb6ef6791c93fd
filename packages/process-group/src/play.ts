import { clone, create } from '@bufbuild/protobuf';
import {
  AnswerSchema,
  EntrySchema,
  MemberSchema,
  StateSchema,
  VersionSchema,
  ViewSchema,
  type Answer,
  type Voter,
  type Entry,
  type Operation,
  type Member,
  type State,
  type Version,
  type View,
} from '@rainrun/messages';
import type { Fault, FaultKind } from '@rainrun/common';
import type { Result } from 'true-myth';

/** How one operation ended. */
export interface Outcome {
  readonly kind: 'agreed' | FaultKind;
  readonly detail: string;
}

/**
 * The application's own state as the group sees it: pure functions only, so
 * that every node that applies the same entries holds the same state.
 */
export interface StateMachine<S> {
  empty(): S;
  /** The state in two parts: one that every level can read, and what came with later levels. */
  encode(state: S): EncodedState;
  decode(encoded: EncodedState): Result<S, Fault>;
  /** Applies by the rules of a level of the protocol. */
  apply(state: S, operation: Operation, level: number): { state: S; outcome: Outcome };
  /** The state without what level 1 cannot carry. */
  withoutExtension(state: S): S;
}

/** The application's state as bytes. */
export interface EncodedState {
  readonly application: Uint8Array;
  readonly applicationExtension: Uint8Array;
}

/** The replicated state in memory, at one version. Never changed in place. */
export interface GroupState<S> {
  readonly epoch: number;
  readonly number: number;
  readonly deployment: string;
  readonly view: View;
  /** The view that this version ended, until the next version concludes the change. */
  readonly previousView: View | undefined;
  readonly voters: readonly Voter[];
  /** The voters before this version, if it changed them: until it is known to be chosen, elections and votes need a majority of both sets. */
  readonly previousVoters: readonly Voter[];
  readonly application: S;
  readonly answers: readonly Answer[];
  /** The level of the protocol by which the newest entry was applied. */
  readonly level: number;
  /** The group's clock: it runs while a coordinator sequences, and never faster than time. */
  readonly clockMs: number;
}

/** Answers retained at level 1, and transient ones retained at any. */
const LEVEL1_ANSWERS_MAX = 512;
const TRANSIENT_ANSWERS_MAX = 64;

/** How long, by the group's clock, an answer to an operator is retained and its id applied no second time. */
export const ANSWER_RETENTION_MS = 600_000;

/** The most answers to operators that are retained; further operations wait or are rejected on admission. */
export const RETAINED_ANSWERS_MAX = 2048;

/** No detail of an answer is longer. */
const DETAIL_MAX_CHARS = 600;

/**
 * More than half of a set.
 * @example
 * majority(3); // 2
 */
export function majority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/** The voters of a version, and those before it where it changed them. */
export interface VoterSets {
  readonly voters: readonly Voter[];
  readonly previousVoters: readonly Voter[];
}

/**
 * Whether these disks are a majority of the voters, and of those before where a
 * version changed them.
 * @example
 * isQuorum(state, new Set(['disk-1', 'disk-2']));
 */
export function isQuorum(sets: VoterSets, disks: { has(disk: string): boolean }): boolean {
  const { voters, previousVoters } = sets;
  return hasMajority(voters, disks) && (previousVoters.length === 0 || hasMajority(previousVoters, disks));
}

function hasMajority(voters: readonly Voter[], disks: { has(disk: string): boolean }): boolean {
  return voters.filter((voter) => disks.has(voter.disk)).length >= majority(voters.length);
}

/**
 * The disks of all voters of a version, and of those before it.
 * @example
 * disksOf(state); // Set { 'disk-1', 'disk-2', 'disk-3' }
 */
export function disksOf(sets: VoterSets): Set<string> {
  return new Set([...sets.voters, ...sets.previousVoters].map((voter) => voter.disk));
}

/**
 * The rank of an incarnation in a view, or -1.
 * @example
 * rankOf(view, 'incarnation-1'); // 0
 */
export function rankOf(view: View, incarnation: string): number {
  return view.members.findIndex((member) => member.incarnation === incarnation);
}

/**
 * Whether version `one` comes after `other`: the epoch decides before the number.
 * @example
 * later({ epoch: 2, number: 1 }, { epoch: 1, number: 9 }); // true
 */
export function isLater(
  one: { epoch: number; number: number },
  other: { epoch: number; number: number },
): boolean {
  return one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number;
}

/**
 * How many answers to operators are retained now.
 * @example
 * retainedAnswerCount(state) >= RETAINED_ANSWERS_MAX; // true: no room for another operation
 */
export function retainedAnswerCount(state: { readonly answers: readonly Answer[] }): number {
  return state.answers.filter((answer) => !answer.transient).length;
}

/** The answers that stay: level 1 goes by their count, later levels by the group's clock. */
function retainedAnswers(answers: readonly Answer[], level: number, clockMs: number): readonly Answer[] {
  if (level === 1) return answers.slice(-LEVEL1_ANSWERS_MAX);
  const transient = answers.filter((answer) => answer.transient).slice(-TRANSIENT_ANSWERS_MAX);
  const kept = answers.filter((answer) =>
    answer.transient ? transient.includes(answer) : clockMs - answer.clockMs <= ANSWER_RETENTION_MS,
  );
  return kept.length === answers.length ? answers : kept;
}

/**
 * The state that follows from an entry. The same on every node.
 * @example
 * const next = advance(stateMachine, state, 2, create(EntrySchema, { operations: [operation] }));
 */
export function advance<S>(
  stateMachine: StateMachine<S>,
  state: GroupState<S>,
  epoch: number,
  entry: Entry,
): GroupState<S> {
  const level = Math.max(1, entry.level);
  const clockMs = level === 1 ? 0 : state.clockMs + entry.elapsedMs;
  let application = level === 1 ? stateMachine.withoutExtension(state.application) : state.application;
  let answers = level === 1 ? state.answers : retainedAnswers(state.answers, level, clockMs);
  const number = state.number + 1;
  for (const operation of entry.operations) {
    if (answers.some((answer) => answer.id === operation.id)) continue;
    const applied = stateMachine.apply(application, operation, level);
    application = applied.state;
    const { kind, detail } = applied.outcome;
    const answer = create(AnswerSchema, { id: operation.id, kind, detail, number });
    if (level > 1) {
      answer.clockMs = clockMs;
      answer.transient = operation.transient;
      answer.detail = detail.slice(0, DETAIL_MAX_CHARS);
    }
    answers = retainedAnswers([...answers, answer], level, clockMs);
  }
  return {
    epoch,
    number,
    deployment: state.deployment,
    view: entry.view ?? state.view,
    previousView: entry.view === undefined ? undefined : state.view,
    voters: entry.voters.length > 0 ? entry.voters : state.voters,
    previousVoters: entry.voters.length > 0 ? state.voters : [],
    application: application,
    answers,
    level,
    clockMs,
  };
}

/**
 * The highest level of the protocol that all of some members speak.
 * @example
 * levelOf([{ maxLevel: 2 }, { maxLevel: 0 }]); // 1
 */
export function levelOf(members: readonly { readonly maxLevel: number }[]): number {
  return Math.min(...members.map((member) => Math.max(1, member.maxLevel)));
}

/**
 * Why a member cannot join others, or undefined if there is a level that all speak.
 * @example
 * levelMismatch({ maxLevel: 1, minLevel: 1 }, [{ maxLevel: 3, minLevel: 2 }]);
 * // 'it speaks levels 1 to 1 of the protocol, the group 2 to 3'
 */
export function levelMismatch(member: LevelRange, others: readonly LevelRange[]): string | undefined {
  if (others.length === 0) return undefined;
  const min = Math.max(...others.map((other) => Math.max(1, other.minLevel)));
  const max = levelOf(others);
  if (Math.max(1, member.maxLevel) >= min && Math.max(1, member.minLevel) <= max) return undefined;
  return `it speaks levels ${Math.max(1, member.minLevel)} to ${Math.max(1, member.maxLevel)} of the protocol, the group ${min} to ${max}`;
}

interface LevelRange {
  readonly maxLevel: number;
  readonly minLevel: number;
}

/**
 * A state as it goes to disks and joiners, with the entry that made it.
 * @example
 * const version = toVersion(stateMachine, state, entry);
 */
export function toVersion<S>(stateMachine: StateMachine<S>, state: GroupState<S>, entry: Entry): Version {
  const { application: bytes, applicationExtension: extra } = stateMachine.encode(state.application);
  const encoded = create(StateSchema, {
    applicationExtension: extra,
    clockMs: state.clockMs,
    deployment: state.deployment,
    view: state.view,
    voters: [...state.voters],
    previousVoters: [...state.previousVoters],
    application: bytes,
    answers: [...state.answers],
  });
  if (state.previousView !== undefined) encoded.previousView = state.previousView;
  return create(VersionSchema, { epoch: state.epoch, number: state.number, entry, state: encoded });
}

/**
 * The state that a version carries.
 * @example
 * const state = fromVersion(stateMachine, version);
 */
export function fromVersion<S>(
  stateMachine: StateMachine<S>,
  version: Version,
): Result<GroupState<S>, Fault> {
  const state: State = version.state ?? create(StateSchema);
  return stateMachine.decode(state).map((own) => ({
    epoch: version.epoch,
    number: version.number,
    deployment: state.deployment,
    view: state.view ?? create(ViewSchema),
    previousView: state.previousView,
    voters: state.voters,
    previousVoters: state.previousVoters,
    application: own,
    answers: state.answers,
    level: Math.max(1, version.entry?.level ?? 0),
    clockMs: state.clockMs,
  }));
}

/**
 * A version without its state, as it goes to members that have applied the one before.
 * @example
 * withoutState(version).state; // undefined
 */
export function withoutState(version: Version): Version {
  return create(VersionSchema, {
    epoch: version.epoch,
    number: version.number,
    entry: version.entry ?? create(EntrySchema),
  });
}

/**
 * A copy of a member under another incarnation, as a removed node rejoins.
 * @example
 * withNewIncarnation(member, 'incarnation-2').incarnation; // 'incarnation-2'
 */
export function withNewIncarnation(member: Member, incarnation: string): Member {
  const copy = clone(MemberSchema, member);
  copy.incarnation = incarnation;
  return copy;
}
