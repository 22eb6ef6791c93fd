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

/** The agreed state as held in memory, at one version. Never changed in place. */
export interface GroupState<S> {
  readonly epoch: number;
  readonly number: number;
  readonly deployment: string;
  readonly view: View;
  /** The view that this version ended, until the next version says that this is settled. */
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

/** Answers kept at level 1, and brief ones kept at any. */
const PLAIN_KEPT = 512;
const BRIEF_KEPT = 64;

/** So long by the group's clock an answer to an operator is remembered, and its id applied no second time. */
export const REMEMBERED_MS = 600_000;

/** No more answers to operators are remembered; further operations wait or are refused at the door. */
export const REMEMBERED_MOST = 2048;

/** No detail of an answer is longer. */
const DETAIL_CHARS = 600;

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
 * isQuorum(held, new Set(['disk-1', 'disk-2']));
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
 * disksOf(held); // Set { 'disk-1', 'disk-2', 'disk-3' }
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
export function later(
  one: { epoch: number; number: number },
  other: { epoch: number; number: number },
): boolean {
  return one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number;
}

/**
 * How many answers to operators are remembered now.
 * @example
 * rememberedCount(held) >= REMEMBERED_MOST; // true: no room for another operation
 */
export function rememberedCount(held: { readonly answers: readonly Answer[] }): number {
  return held.answers.filter((answer) => !answer.transient).length;
}

/** What is remembered of earlier operations: level 1 counts, later levels go by the group's clock. */
function remember(answers: readonly Answer[], level: number, clockMs: number): readonly Answer[] {
  if (level === 1) return answers.slice(-PLAIN_KEPT);
  const brief = answers.filter((answer) => answer.transient).slice(-BRIEF_KEPT);
  const kept = answers.filter((answer) =>
    answer.transient ? brief.includes(answer) : clockMs - answer.clockMs <= REMEMBERED_MS,
  );
  return kept.length === answers.length ? answers : kept;
}

/**
 * The state that follows from an entry. The same on every node.
 * @example
 * const next = advance(play, held, 2, create(EntrySchema, { operations: [operation] }));
 */
export function advance<S>(
  play: StateMachine<S>,
  held: GroupState<S>,
  epoch: number,
  entry: Entry,
): GroupState<S> {
  const level = Math.max(1, entry.level);
  const clockMs = level === 1 ? 0 : held.clockMs + entry.elapsedMs;
  let state = level === 1 ? play.withoutExtension(held.application) : held.application;
  let answers = level === 1 ? held.answers : remember(held.answers, level, clockMs);
  const number = held.number + 1;
  for (const operation of entry.operations) {
    if (answers.some((answer) => answer.id === operation.id)) continue;
    const applied = play.apply(state, operation, level);
    state = applied.state;
    const { kind, detail } = applied.outcome;
    const answer = create(AnswerSchema, { id: operation.id, kind, detail, number });
    if (level > 1) {
      answer.clockMs = clockMs;
      answer.transient = operation.transient;
      answer.detail = detail.slice(0, DETAIL_CHARS);
    }
    answers = remember([...answers, answer], level, clockMs);
  }
  return {
    epoch,
    number,
    deployment: held.deployment,
    view: entry.view ?? held.view,
    previousView: entry.view === undefined ? undefined : held.view,
    voters: entry.voters.length > 0 ? entry.voters : held.voters,
    previousVoters: entry.voters.length > 0 ? held.voters : [],
    application: state,
    answers,
    level,
    clockMs,
  };
}

/**
 * The level that all of some seats speak.
 * @example
 * levelOf([{ maxLevel: 2 }, { maxLevel: 0 }]); // 1
 */
export function levelOf(seats: readonly { readonly maxLevel: number }[]): number {
  return Math.min(...seats.map((seat) => Math.max(1, seat.maxLevel)));
}

/**
 * Why a seat cannot join others, or undefined if there is a level that all speak.
 * @example
 * levelMismatch({ maxLevel: 1, minLevel: 1 }, [{ maxLevel: 3, minLevel: 2 }]);
 * // 'it speaks levels 1 to 1 of the protocol, the group 2 to 3'
 */
export function levelMismatch(seat: LevelRange, others: readonly LevelRange[]): string | undefined {
  if (others.length === 0) return undefined;
  const least = Math.max(...others.map((other) => Math.max(1, other.minLevel)));
  const most = levelOf(others);
  if (Math.max(1, seat.maxLevel) >= least && Math.max(1, seat.minLevel) <= most) return undefined;
  return `it speaks levels ${Math.max(1, seat.minLevel)} to ${Math.max(1, seat.maxLevel)} of the protocol, the group ${least} to ${most}`;
}

interface LevelRange {
  readonly maxLevel: number;
  readonly minLevel: number;
}

/**
 * Held state as it goes to disks and joiners, with the entry that made it.
 * @example
 * const version = toVersion(play, held, entry);
 */
export function toVersion<S>(play: StateMachine<S>, held: GroupState<S>, entry: Entry): Version {
  const { application: bytes, applicationExtension: extra } = play.encode(held.application);
  const state = create(StateSchema, {
    applicationExtension: extra,
    clockMs: held.clockMs,
    deployment: held.deployment,
    view: held.view,
    voters: [...held.voters],
    previousVoters: [...held.previousVoters],
    application: bytes,
    answers: [...held.answers],
  });
  if (held.previousView !== undefined) state.previousView = held.previousView;
  return create(VersionSchema, { epoch: held.epoch, number: held.number, entry, state });
}

/**
 * The held state that a version with state stands for.
 * @example
 * const held = fromVersion(play, version);
 */
export function fromVersion<S>(play: StateMachine<S>, version: Version): Result<GroupState<S>, Fault> {
  const state: State = version.state ?? create(StateSchema);
  return play.decode(state).map((own) => ({
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
 * A version without its state, as it goes to members that hold the one before.
 * @example
 * bare(version).state; // undefined
 */
export function bare(version: Version): Version {
  return create(VersionSchema, {
    epoch: version.epoch,
    number: version.number,
    entry: version.entry ?? create(EntrySchema),
  });
}

/**
 * A copy of a seat under another incarnation, as a dropped node rejoins.
 * @example
 * withNewIncarnation(seat, 'incarnation-2').incarnation; // 'incarnation-2'
 */
export function withNewIncarnation(seat: Member, incarnation: string): Member {
  const copy = clone(MemberSchema, seat);
  copy.incarnation = incarnation;
  return copy;
}
