/** The replicated state of the group at one version: how an entry advances it, and its form in messages and records. */
import { create } from '@bufbuild/protobuf';
import {
  AnswerSchema,
  EntrySchema,
  StateSchema,
  VersionSchema,
  ViewSchema,
  type Answer,
  type Entry,
  type State,
  type Version,
  type View,
  type Voter,
} from '@rainrun/messages';
import type { Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import type { StateMachine } from './state-machine.js';

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
  const retained = answers.filter((answer) =>
    answer.transient ? transient.includes(answer) : clockMs - answer.clockMs <= ANSWER_RETENTION_MS,
  );
  return retained.length === answers.length ? answers : retained;
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
 * A state as it goes to disks and joiners, with the entry that made it.
 * @example
 * const version = toVersion(stateMachine, state, entry);
 */
export function toVersion<S>(stateMachine: StateMachine<S>, state: GroupState<S>, entry: Entry): Version {
  const { application: bytes, applicationExtension: extension } = stateMachine.encode(state.application);
  const encoded = create(StateSchema, {
    applicationExtension: extension,
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
  return stateMachine.decode(state).map((decoded) => ({
    epoch: version.epoch,
    number: version.number,
    deployment: state.deployment,
    view: state.view ?? create(ViewSchema),
    previousView: state.previousView,
    voters: state.voters,
    previousVoters: state.previousVoters,
    application: decoded,
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
