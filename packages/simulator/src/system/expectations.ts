/** The changes and evacuations that were acknowledged to operators and that nodes are expected to hold. */
import { withoutApiKeys, type Deployment } from '@rainrun/configuration';
import { canonicalText, type Document } from './configuration.js';

/** The newest acknowledged change. */
export interface Acknowledged {
  readonly revision: number;
  /** Canonical text of the document; undefined after a patch, which the check of the whole history covers. */
  readonly document: string | undefined;
  readonly atMs: number;
}

interface ZoneExpectation {
  readonly evacuated: boolean;
  readonly atMs: number;
}

/**
 * Compares the states of nodes with the acknowledged changes and evacuations.
 * @example
 * expectations.lacks(follower.state, nowMs - BOUNDS.applyMs); // undefined
 */
export class Expectations {
  acked: Acknowledged = { revision: 0, document: undefined, atMs: 0 };
  readonly zones = new Map<string, ZoneExpectation>();
  /** Acknowledged revisions, oldest first, to find the one that was current at an earlier time. */
  #acknowledged: { readonly revision: number; readonly atMs: number }[] = [];
  /** Canonical text of the newest acknowledged document without API keys, as edges hold it. */
  #documentWithoutKeys: string | undefined;
  #textCache = new WeakMap<Deployment, string>();

  acknowledge(revision: number, document: Document | undefined, atMs: number): void {
    if (revision <= this.acked.revision) return;
    const text = document === undefined ? undefined : canonicalText(document);
    this.#documentWithoutKeys = document === undefined ? undefined : canonicalText(withoutApiKeys(document));
    this.acked = { revision, document: text, atMs };
    this.#acknowledged.push({ revision, atMs });
  }

  /**
   * Describes what was acknowledged by `beforeMs` and is missing in a state; undefined if nothing is. The
   * state of an edge is compared with the document without API keys.
   */
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
