import type { View } from '@rainrun/courier';
import { majority } from './play.js';

interface Word {
  readonly sentMs: number;
  readonly number: number;
}

/**
 * What the other members granted. A word counts from the moment its beat was
 * sent, and only once this node holds all that the granter held: so a grant
 * brings what was missed.
 * @example
 * const grants = new Grants(1000);
 * grants.given('life-2', sentMs, 7);
 * grants.endMs(view, 'life-1', 7, nowMs) > nowMs; // true while a majority gave its word
 */
export class Grants {
  #grantMs: number;
  #words = new Map<string, Word>();
  #duties = new Map<string, number>();

  constructor(grantMs: number) {
    this.#grantMs = grantMs;
  }

  given(life: string, sentMs: number, number: number): void {
    const known = this.#words.get(life);
    if (known === undefined || sentMs >= known.sentMs) this.#words.set(life, { sentMs, number });
  }

  givenDuty(life: string, sentMs: number): void {
    this.#duties.set(life, Math.max(sentMs, this.#duties.get(life) ?? -Infinity));
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
    return this.#majorityEndMs(view, (life) => {
      if (life === self) return nowMs;
      const word = this.#words.get(life);
      return word === undefined || word.number > number ? -Infinity : word.sentMs;
    });
  }

  /** When the right to a duty ends. */
  dutyEndMs(view: View, self: string, nowMs: number): number {
    return this.#majorityEndMs(view, (life) => (life === self ? nowMs : (this.#duties.get(life) ?? -Infinity)));
  }

  #majorityEndMs(view: View, sentMs: (life: string) => number): number {
    const sent = view.members.map((member) => sentMs(member.life)).sort((one, other) => other - one);
    return (sent[majority(sent.length) - 1] ?? -Infinity) + this.#grantMs;
  }
}
