/** Incarnations that have left for good, and majorities of a view that count them. */
import type { Member, View } from '@rainrun/messages';
import { rankOf } from '../membership/members.js';
import type { CoordinatorContext } from './coordinator-context.js';
import { majority } from './quorum.js';

type DepartedContext = Pick<CoordinatorContext<unknown>, 'hasLeft' | 'isLive' | 'joiners'>;

/**
 * Decides which incarnations have departed for good: those that said goodbye, were replaced
 * by a newer incarnation of the same name, or were excluded by an operator. A departed
 * incarnation cannot act on an older view, so it counts towards the majority of that view.
 * @example
 * departed.exclude('core-3');
 * departed.hasMajority(view, (member) => acknowledged.has(member.incarnation));
 */
export class DepartedMembers {
  #context: DepartedContext;
  #currentView: () => View;
  #departed = new Set<string>();
  #excludedNames = new Set<string>();

  constructor(context: DepartedContext, currentView: () => View) {
    this.#context = context;
    this.#currentView = currentView;
  }

  /** Records an operator's statement that the node of this name will not come back. */
  exclude(name: string): void {
    this.#excludedNames.add(name);
  }

  /** Whether an operator has excluded the node of this name. */
  isExcluded(name: string): boolean {
    return this.#excludedNames.has(name);
  }

  /** Whether a member has departed; once true, this stays true for the epoch. */
  has(member: Member): boolean {
    if (this.#departed.has(member.incarnation)) return true;
    const isDeparted =
      this.#context.hasLeft(member.incarnation) ||
      this.#excludedNames.has(member.name) ||
      this.#isReplacedInView(member) ||
      this.#isReplacedByJoiner(member);
    if (isDeparted) this.#departed.add(member.incarnation);
    return isDeparted;
  }

  /** Whether the members that `counts` selects or that departed are a majority; true for an empty view. */
  hasMajority(view: View, counts: (member: Member) => boolean): boolean {
    if (view.members.length === 0) return true;
    return (
      view.members.filter((member) => counts(member) || this.has(member)).length >=
      majority(view.members.length)
    );
  }

  #isReplacedInView(member: Member): boolean {
    const view = this.#currentView();
    const inView = rankOf(view, member.incarnation) >= 0;
    return !inView && view.members.some((other) => other.name === member.name);
  }

  #isReplacedByJoiner(member: Member): boolean {
    return this.#context
      .joiners()
      .some(
        (joiner) =>
          joiner.name === member.name &&
          joiner.incarnation !== member.incarnation &&
          (joiner.address === member.address || !this.#context.isLive(member.incarnation)),
      );
  }
}
