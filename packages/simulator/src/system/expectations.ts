/** What operators were promised: the acknowledged configuration and evacuations. */
import { withoutApiKeys, type Deployment } from '@rainrun/configuration';
import { canonicalText, type Document } from './configuration.js';

/** The newest change that was acknowledged. */
export interface Acknowledged {
  readonly revision: number;
  /** Undefined where the change was a patch; the whole history is checked in the end. */
  readonly document: string | undefined;
  readonly atMs: number;
}

interface ZoneExpectation {
  readonly evacuated: boolean;
  readonly atMs: number;
}

/**
 * Compares the states of nodes with what was acknowledged.
 * @example
 * expectations.lacks(follower.state, nowMs - BOUNDS.applyMs); // undefined
 */
export class Expectations {
  acked: Acknowledged = { revision: 0, document: undefined, atMs: 0 };
  readonly zones = new Map<string, ZoneExpectation>();
  /** Acknowledged revisions, oldest first, for looks back in time. */
  #acknowledged: { readonly revision: number; readonly atMs: number }[] = [];
  /** The newest acknowledged document as edges hold it. */
  #documentWithoutKeys: string | undefined;
  #textCache = new WeakMap<Deployment, string>();

  acknowledge(revision: number, document: Document | undefined, atMs: number): void {
    if (revision <= this.acked.revision) return;
    const text = document === undefined ? undefined : canonicalText(document);
    this.#documentWithoutKeys = document === undefined ? undefined : canonicalText(withoutApiKeys(document));
    this.acked = { revision, document: text, atMs };
    this.#acknowledged.push({ revision, atMs });
  }

  /** What was acknowledged before a moment and is missing in a state; undefined if nothing is. Edges hold no keys. */
  findMissing(state: Deployment, beforeMs: number, isEdge = false): string | undefined {
    const due = this.#acknowledged.findLast((known) => known.atMs <= beforeMs)?.revision ?? 0;
    if (state.revision < due) return `revision ${state.revision}, acknowledged was ${due}`;
    const { revision } = this.acked;
    const document = isEdge ? this.#documentWithoutKeys : this.acked.document;
    if (state.revision === revision && document !== undefined && this.#textOf(state) !== document)
      return `another document under revision ${state.revision}`;
    for (const [zone, { evacuated, atMs }] of this.zones) {
      if (atMs <= beforeMs && state.evacuated.includes(zone) !== evacuated)
        return `${zone} ${evacuated ? 'not evacuated' : 'not taken back'}`;
    }
    return undefined;
  }

  #textOf(state: Deployment): string {
    let text = this.#textCache.get(state);
    if (text === undefined) {
      text = canonicalText(state.document);
      this.#textCache.set(state, text);
    }
    return text;
  }
}
