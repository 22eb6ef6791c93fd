import { clone, create } from '@bufbuild/protobuf';
import {
  AnswerSchema,
  EntrySchema,
  SeatSchema,
  StateSchema,
  VersionSchema,
  ViewSchema,
  type Answer,
  type Elector,
  type Entry,
  type Operation,
  type Seat,
  type State,
  type Version,
  type View,
} from '@rainrun/courier';
import type { Fault, FaultKind } from '@rainrun/nacelle';
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
export interface Play<S> {
  empty(): S;
  encode(state: S): Uint8Array;
  decode(bytes: Uint8Array): Result<S, Fault>;
  apply(state: S, operation: Operation): { state: S; outcome: Outcome };
}

/** The agreed state as held in memory, at one version. Never changed in place. */
export interface Held<S> {
  readonly epoch: number;
  readonly number: number;
  readonly deployment: string;
  readonly view: View;
  /** The view that this version ended, until the next version says that this is settled. */
  readonly before: View | undefined;
  readonly electors: readonly Elector[];
  readonly play: S;
  readonly answers: readonly Answer[];
}

const ANSWERS_KEPT = 512;

/**
 * More than half of a set.
 * @example
 * majority(3); // 2
 */
export function majority(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * The rank of a life in a view, or -1.
 * @example
 * rankOf(view, 'life-1'); // 0
 */
export function rankOf(view: View, life: string): number {
  return view.members.findIndex((member) => member.life === life);
}

/**
 * Whether version `one` comes after `other`: the epoch decides before the number.
 * @example
 * later({ epoch: 2, number: 1 }, { epoch: 1, number: 9 }); // true
 */
export function later(one: { epoch: number; number: number }, other: { epoch: number; number: number }): boolean {
  return one.epoch !== other.epoch ? one.epoch > other.epoch : one.number > other.number;
}

/**
 * The state that follows from an entry. The same on every node.
 * @example
 * const next = advance(play, held, 2, create(EntrySchema, { operations: [operation] }));
 */
export function advance<S>(play: Play<S>, held: Held<S>, epoch: number, entry: Entry): Held<S> {
  let state = held.play;
  let answers = held.answers;
  const number = held.number + 1;
  for (const operation of entry.operations) {
    if (answers.some((answer) => answer.id === operation.id)) continue;
    const applied = play.apply(state, operation);
    state = applied.state;
    const { kind, detail } = applied.outcome;
    answers = [...answers, create(AnswerSchema, { id: operation.id, kind, detail, number })].slice(-ANSWERS_KEPT);
  }
  return {
    epoch,
    number,
    deployment: held.deployment,
    view: entry.view ?? held.view,
    before: entry.view === undefined ? undefined : held.view,
    electors: entry.electors.length > 0 ? entry.electors : held.electors,
    play: state,
    answers,
  };
}

/**
 * Held state as it goes to disks and joiners, with the entry that made it.
 * @example
 * const version = toVersion(play, held, entry);
 */
export function toVersion<S>(play: Play<S>, held: Held<S>, entry: Entry): Version {
  const state = create(StateSchema, {
    deployment: held.deployment,
    view: held.view,
    electors: [...held.electors],
    play: play.encode(held.play),
    answers: [...held.answers],
  });
  if (held.before !== undefined) state.before = held.before;
  return create(VersionSchema, { epoch: held.epoch, number: held.number, entry, state });
}

/**
 * The held state that a version with state stands for.
 * @example
 * const held = fromVersion(play, version);
 */
export function fromVersion<S>(play: Play<S>, version: Version): Result<Held<S>, Fault> {
  const state: State = version.state ?? create(StateSchema);
  return play.decode(state.play).map((own) => ({
    epoch: version.epoch,
    number: version.number,
    deployment: state.deployment,
    view: state.view ?? create(ViewSchema),
    before: state.before,
    electors: state.electors,
    play: own,
    answers: state.answers,
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
 * A copy of a seat under another life, as a dropped node rejoins.
 * @example
 * reborn(seat, 'life-2').life; // 'life-2'
 */
export function reborn(seat: Seat, life: string): Seat {
  const copy = clone(SeatSchema, seat);
  copy.life = life;
  return copy;
}
