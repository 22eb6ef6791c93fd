/** The replicated state of the group: how an entry advances it, and its encoding in messages and records. */
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

/** The replicated state in memory at one version; it is never changed in place. */
export interface GroupState<S> {
  readonly epoch: number;
  readonly number: number;
  readonly deployment: string;
  readonly view: View;
  /** The view that this version replaced; undefined once the next version has concluded the change. */
  readonly previousView: View | undefined;
  readonly voters: readonly Voter[];
  /**
   * The voters before this version, if it changed them. Until the version is known to be chosen, elections
   * and votes need a majority of both sets.
   */
  readonly previousVoters: readonly Voter[];
  readonly application: S;
  readonly answers: readonly Answer[];
  /** The protocol level by whose rules the newest entry was applied. */
  readonly level: number;
  /** The group's clock: it advances while a coordinator sequences, and never faster than real time. */
  readonly clockMs: number;
}

/** Number of answers retained at protocol level 1. */
const LEVEL1_ANSWERS_MAX = 512;

/** Number of transient answers retained at level 2 and later. */
const TRANSIENT_ANSWERS_MAX = 64;

/** How long, by the group's clock, an answer to an operator is retained and its id is not applied again. */
export const ANSWER_RETENTION_MS = 600_000;

/** Number of answers to operators retained at most; further operations wait or are rejected on admission. */
export const RETAINED_ANSWERS_MAX = 2048;

/** Length to which the detail of an answer is cut. */
const DETAIL_MAX_CHARS = 600;

/**
 * The number of answers to operators that a state retains.
 * @example
 * retainedAnswerCount(state) >= RETAINED_ANSWERS_MAX; // true: no further answer can be retained
 */
export function retainedAnswerCount(state: { readonly answers: readonly Answer[] }): number {
  return state.answers.filter((answer) => !answer.transient).length;
}

/** The answers still to be retained: level 1 limits their number, later levels their age (group's clock). */
function retainedAnswers(answers: readonly Answer[], level: number, clockMs: number): readonly Answer[] {
  if (level === 1) return answers.slice(-LEVEL1_ANSWERS_MAX);
  const transient = answers.filter((answer) => answer.transient).slice(-TRANSIENT_ANSWERS_MAX);
  const retained = answers.filter((answer) =>
    answer.transient ? transient.includes(answer) : clockMs - answer.clockMs <= ANSWER_RETENTION_MS,
  );
  return retained.length === answers.length ? answers : retained;
}

/**
 * Applies an entry to a state. The result is the same on every node.
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
 * Encodes a state, with the entry that produced it, for disks and for nodes that join.
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
 * Decodes the state that a version carries.
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
 * A version without its state, as sent to members that have applied the previous version.
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
