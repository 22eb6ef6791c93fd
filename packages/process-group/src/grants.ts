import type { View } from '@rainrun/messages';
import { majority } from './play.js';

interface Word {
  readonly sentMs: number;
  readonly number: number;
}

/**
 * What the other members granted. A word counts from the moment its heartbeat was
 * sent, and only once this node holds all that the granter held: so a grant
 * brings what was missed.
 * @example
 * const grants = new Grants(1000);
 * grants.given('incarnation-2', sentMs, 7);
 * grants.endMs(view, 'incarnation-1', 7, nowMs) > nowMs; // true while a majority gave its word
 */
export class Grants {
  #grantMs: number;
  #words = new Map<string, Word>();
  #duties = new Map<string, number>();

  constructor(grantMs: number) {
    this.#grantMs = grantMs;
  }

  given(incarnation: string, sentMs: number, number: number): void {
    const known = this.#words.get(incarnation);
    if (known === undefined || sentMs >= known.sentMs) this.#words.set(incarnation, { sentMs, number });
  }

  /** The version that a member held when it last gave its word. */
  versionAt(incarnation: string): number | undefined {
    return this.#words.get(incarnation)?.number;
  }

  givenDuty(incarnation: string, sentMs: number): void {
    this.#duties.set(incarnation, Math.max(sentMs, this.#duties.get(incarnation) ?? -Infinity));
  }

  /** Forgets the words for an earlier duty. */
  clearDuties(): void {
    this.#duties.clear();
  }

  clear(): void {
    this.#words.clear();
    this.#duties.clear();
  }

  /** When the right to admit ends. */
  endMs(view: View, self: string, number: number, nowMs: number): number {
    return this.#majorityEndMs(view, (incarnation) => {
      if (incarnation === self) return nowMs;
      const word = this.#words.get(incarnation);
      return word === undefined || word.number > number ? -Infinity : word.sentMs;
    });
  }

  /** When the right to a duty ends. */
  dutyEndMs(view: View, self: string, nowMs: number): number {
    return this.#majorityEndMs(view, (incarnation) =>
      incarnation === self ? nowMs : (this.#duties.get(incarnation) ?? -Infinity),
    );
  }

  #majorityEndMs(view: View, sentMs: (incarnation: string) => number): number {
    const sent = view.members.map((member) => sentMs(member.incarnation)).sort((one, other) => other - one);
    return (sent[majority(sent.length) - 1] ?? -Infinity) + this.#grantMs;
  }
}
