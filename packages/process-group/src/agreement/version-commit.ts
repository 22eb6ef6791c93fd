/** Commits chosen versions: sends each to the members of the view until a majority has applied it. */
import { create } from '@bufbuild/protobuf';
import { ChosenSchema, type Version, type View } from '@rainrun/messages';
import { rankOf } from '../membership/members.js';
import type { AppliedVersions } from './applied-versions.js';
import type { CoordinatorContext } from './coordinator-context.js';
import type { DepartedMembers } from './departed-members.js';
import { withoutState, type GroupState } from './group-state.js';

/** A chosen version, and the views in each of which a majority must apply it. */
interface PendingCommit {
  readonly number: number;
  readonly views: readonly View[];
}

type CommitContext = Pick<CoordinatorContext<unknown>, 'appliedVersion' | 'self' | 'sendOrdered'>;

/**
 * Tracks when a chosen version is committed, that is, applied by a majority of the view, and of
 * the previous view too if the version changed the view. A member whose lease is renewed by such
 * a majority has therefore missed no committed version.
 * @example
 * commit.begin(state);
 * commit.disseminate(version, state.view, previousView);
 * commit.tryCommit(); // false while no majority has applied it
 */
export class VersionCommit {
  #context: CommitContext;
  #applied: AppliedVersions;
  #departed: DepartedMembers;
  #onCommitted: (number: number) => void;
  #pending: PendingCommit | undefined;
  #committedVersion = 0;
  #ready = false;

  constructor(
    context: CommitContext,
    applied: AppliedVersions,
    departed: DepartedMembers,
    onCommitted: (number: number) => void,
  ) {
    this.#context = context;
    this.#applied = applied;
    this.#departed = departed;
    this.#onCommitted = onCommitted;
  }

  get committedVersion(): number {
    return this.#committedVersion;
  }

  /** Whether a chosen version has not yet been applied by its majorities. */
  get isPending(): boolean {
    return this.#pending !== undefined;
  }

  /** Whether this epoch has committed a version of its own. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Names of members that have neither applied the pending version nor departed; empty if there is none. */
  missingMembers(): readonly string[] {
    const pending = this.#pending;
    if (pending === undefined) return [];
    return pending.views
      .flatMap((view) => view.members)
      .filter(
        (member) => this.#applied.of(member.incarnation) < pending.number && !this.#departed.has(member),
      )
      .map((member) => member.name);
  }

  /** Begins the commit of a version that was chosen. */
  begin(state: Pick<GroupState<unknown>, 'number' | 'previousView' | 'view'>): void {
    const before = state.previousView === undefined ? [] : [state.previousView];
    this.#pending = { number: state.number, views: [...before, state.view] };
  }

  /** Sends a chosen version to the other members: its entry to those that can apply it, else a snapshot. */
  disseminate(version: Version, view: View, previousView: View): void {
    const self = this.#context.self().incarnation;
    const entryOnly = create(ChosenSchema, { versions: [withoutState(version)] });
    const snapshot = create(ChosenSchema, { versions: [version] });
    for (const member of view.members) {
      if (member.incarnation === self) continue;
      const applied = this.#applied.of(member.incarnation);
      const canApply =
        applied > 0 && applied >= version.number - 1 && rankOf(previousView, member.incarnation) >= 0;
      this.#context.sendOrdered(member, { case: 'chosen', value: canApply ? entryOnly : snapshot });
    }
  }

  /** Commits the pending version, if any, if its majorities have applied it; false while it stays pending. */
  tryCommit(): boolean {
    const pending = this.#pending;
    if (pending === undefined) return true;
    this.#applied.set(this.#context.self().incarnation, this.#context.appliedVersion());
    const isApplied = pending.views.every((view) =>
      this.#departed.hasMajority(view, (member) => this.#applied.of(member.incarnation) >= pending.number),
    );
    if (!isApplied) return false;
    this.#pending = undefined;
    this.#committedVersion = pending.number;
    this.#ready = true;
    this.#onCommitted(pending.number);
    return true;
  }
}
