/**
 * A linearizability check of the configuration as a compare-and-set register. Each change names its base
 * revision and revisions rise, so the changes that took effect form one chain. The check searches for a chain
 * that explains every answer, with one time of effect for each of its changes. Only changes without a
 * definite answer leave a choice, so the search is nearly linear in the length of the history.
 */
import {
  firstAcknowledgedMs,
  firstInvokedMs,
  type Attempt,
  type ChangeOrder,
  type History,
  type Read,
} from './history.js';

/** Maximum number of candidate chains to try; a history that needs more is reported as undecided. */
const MAX_CHAINS_TRIED = 2000;

/** Result of the check. */
export interface Linearization {
  /** Reasons why no order of the operations explains the answers; empty if one does. */
  readonly violations: readonly string[];
  /** The changes that took effect, in order, if an order was found. */
  readonly chain: readonly ChangeOrder[];
  /** Number of complete chains that were examined, as a measure of the work. */
  readonly chainsTried: number;
}

/** A refused attempt at a valid change. */
interface Refusal {
  readonly change: ChangeOrder;
  readonly attempt: Attempt;
}

/** A link of the chain: a change that took effect, or the empty register at the start. */
interface Link {
  readonly change: ChangeOrder | undefined;
  readonly revision: number;
}

const START: Link = { change: undefined, revision: 0 };

/**
 * Checks a history; the result holds either the violations or the chain of changes.
 * @example
 * checkLinearizable({ changes: [], reads: [] }).violations; // []
 */
export function checkLinearizable(history: History): Linearization {
  const violations = findDirectViolations(history);
  if (violations.length > 0) return { violations, chain: [], chainsTried: 0 };
  return new ChainSearch(history).run();
}

/** Finds violations that need no search. */
function findDirectViolations({ changes, reads }: History): string[] {
  const violations: string[] = [];
  const acknowledgedByBase = new Map<number, ChangeOrder>();
  for (const change of changes) {
    violations.push(...findRefusedRepeats(change));
    if (firstAcknowledgedMs(change.attempts) === Infinity) continue;
    if (!change.valid || change.revision <= change.base)
      violations.push(`${describeChange(change)} is invalid and was acknowledged`);
    const other = acknowledgedByBase.get(change.base);
    if (other !== undefined)
      violations.push(
        `${describeChange(other)} and ${describeChange(change)} were both acknowledged on one base`,
      );
    acknowledgedByBase.set(change.base, change);
  }
  const byId = new Map(changes.map((change) => [change.id, change]));
  for (const read of reads) violations.push(...findImpossibleRead(read, byId));
  return violations;
}

function findRefusedRepeats(change: ChangeOrder): string[] {
  const acknowledgedMs = firstAcknowledgedMs(change.attempts);
  const refused = change.attempts.find((attempt) => attempt.outcome === 'refused');
  if (refused === undefined || acknowledgedMs === Infinity) return [];
  return [
    refused.invokedMs > acknowledgedMs
      ? `${describeChange(change)} was acknowledged at ${acknowledgedMs.toFixed(0)}, sent again at ${refused.invokedMs.toFixed(0)} and refused`
      : `${describeChange(change)} was refused at ${refused.respondedMs.toFixed(0)} and acknowledged at ${acknowledgedMs.toFixed(0)}`,
  ];
}

function findImpossibleRead(read: Read, byId: ReadonlyMap<string, ChangeOrder>): string[] {
  if (read.changeId === undefined)
    return read.revision === 0 ? [] : [`${describeRead(read)}, which no change wrote`];
  const change = byId.get(read.changeId);
  if (change === undefined) return [`${describeRead(read)}, which was never sent`];
  if (change.revision !== read.revision) return [`${describeRead(read)}, but ${describeChange(change)}`];
  if (!change.valid) return [`${describeRead(read)}, which is invalid`];
  if (isRefused(change)) return [`${describeRead(read)}, which was refused`];
  return [];
}

function isRefused(change: ChangeOrder): boolean {
  return change.attempts.some((attempt) => attempt.outcome === 'refused');
}

function describeChange(change: ChangeOrder): string {
  return `change ${change.id} (${change.base} -> ${change.revision})`;
}

function describeRead(read: Read): string {
  return `${read.reader} read revision ${read.revision} of change ${read.changeId ?? 'none'} from ${read.invokedMs.toFixed(0)} to ${read.respondedMs.toFixed(0)}`;
}

/** Depth-first search over the chains that the acknowledged changes and the reads permit. */
class ChainSearch {
  /** Changes that may have taken effect, by base. */
  #candidates = new Map<number, ChangeOrder[]>();
  /** Changes that certainly took effect. */
  #required = new Set<ChangeOrder>();
  #readsOf = new Map<ChangeOrder | undefined, Read[]>();
  #refusalsOnBase = new Map<number, Refusal[]>();
  #chain: Link[] = [START];
  #chainsTried = 0;
  /**
   * Links known not to lead to a complete chain, each with the earliest time of its effect and the number of
   * required changes up to it.
   */
  #deadEnds = new Map<ChangeOrder, Set<string>>();
  /** Length of the longest chain that failed, and the reason of its failure. */
  #furthestFailure = { length: -1, why: 'no chain of changes explains the answers' };

  constructor({ changes, reads }: History) {
    const byId = new Map(changes.map((change) => [change.id, change]));
    for (const change of changes) {
      if (isRefused(change)) this.#addRefusals(change);
      else if (change.valid && change.revision > change.base) push(this.#candidates, change.base, change);
      if (firstAcknowledgedMs(change.attempts) !== Infinity) this.#required.add(change);
    }
    for (const read of reads) {
      const change = read.changeId === undefined ? undefined : byId.get(read.changeId);
      push(this.#readsOf, change, read);
      if (change !== undefined) this.#required.add(change);
    }
  }

  run(): Linearization {
    const found = this.#extend(-Infinity, 0);
    const chainsTried = this.#chainsTried;
    if (found)
      return { violations: [], chain: this.#chain.flatMap((link) => link.change ?? []), chainsTried };
    const undecided = chainsTried >= MAX_CHAINS_TRIED;
    const why = undecided
      ? `undecided after ${chainsTried} chains: ${this.#furthestFailure.why}`
      : this.#furthestFailure.why;
    return { violations: [why], chain: [], chainsTried };
  }

  #addRefusals(change: ChangeOrder): void {
    if (!change.valid || change.revision <= change.base) return;
    for (const attempt of change.attempts)
      if (attempt.outcome === 'refused') push(this.#refusalsOnBase, change.base, { change, attempt });
  }

  /** Tries to extend the chain until it contains all required changes. */
  #extend(effectMs: number, requiredSoFar: number): boolean {
    const link = this.#chain.at(-1) ?? START;
    const key = `${effectMs} ${requiredSoFar}`;
    if (link.change !== undefined && this.#deadEnds.get(link.change)?.has(key) === true) return false;
    const triedBefore = this.#chainsTried;
    if (requiredSoFar === this.#required.size && this.#explainsAll()) return true;
    for (const next of this.#successors(link.revision)) {
      if (this.#chainsTried >= MAX_CHAINS_TRIED) return false;
      const earliestMs = this.#earliestEffectMs(link, effectMs, next);
      const why = this.#reasonAgainst(link, next, earliestMs);
      if (why !== undefined) {
        this.#recordFailure(why);
        continue;
      }
      this.#chain.push({ change: next, revision: next.revision });
      if (this.#extend(earliestMs, requiredSoFar + (this.#required.has(next) ? 1 : 0))) return true;
      this.#chain.pop();
    }
    const wholeChainFailed = this.#chainsTried > triedBefore;
    if (link.change !== undefined && !wholeChainFailed) this.#markDeadEnd(link.change, key);
    this.#recordMissingChange(requiredSoFar);
    return false;
  }

  /**
   * Changes that may follow a revision: only the required ones if there are any, else any without a definite
   * answer.
   */
  #successors(revision: number): readonly ChangeOrder[] {
    const candidates = this.#candidates.get(revision) ?? [];
    const required = candidates.filter((change) => this.#required.has(change));
    return required.length > 0 ? required : candidates;
  }

  /**
   * A change takes effect after it was sent, after its predecessor, and after the last read of its
   * predecessor began.
   */
  #earliestEffectMs(link: Link, effectMs: number, next: ChangeOrder): number {
    const readMs = (this.#readsOf.get(link.change) ?? []).map((read) => read.invokedMs);
    return Math.max(effectMs, firstInvokedMs(next.attempts), ...readMs);
  }

  /**
   * Reason why a change cannot follow a link if it takes effect at `earliestMs` or later; undefined if it
   * can.
   */
  #reasonAgainst(link: Link, next: ChangeOrder, earliestMs: number): string | undefined {
    const latest = this.#latestEffectMs(next);
    if (earliestMs > latest) {
      const stale = (this.#readsOf.get(link.change) ?? []).find((read) => read.invokedMs > latest);
      if (stale !== undefined) return `${describeRead(stale)}, after ${describeChange(next)} took effect`;
      return `${describeChange(next)} took effect before it could follow ${describeLink(link)}`;
    }
    const refusal = this.#refusalWhileInForce(link, earliestMs);
    return refusal === undefined ? undefined : describeRefusal(refusal);
  }

  /** Finds a refused attempt during the whole of which the base of its change was in force. */
  #refusalWhileInForce(link: Link, succeededMs: number): Refusal | undefined {
    return (this.#refusalsOnBase.get(link.revision) ?? []).find(
      ({ attempt }) =>
        succeededMs > attempt.respondedMs && this.#latestEffectMs(link.change) < attempt.invokedMs,
    );
  }

  #markDeadEnd(change: ChangeOrder, key: string): void {
    const keys = this.#deadEnds.get(change) ?? new Set<string>();
    keys.add(key);
    this.#deadEnds.set(change, keys);
  }

  #recordMissingChange(requiredSoFar: number): void {
    if (requiredSoFar === this.#required.size) return;
    const inChain = new Set(this.#chain.map((link) => link.change));
    const missing = [...this.#required].find((change) => !inChain.has(change));
    if (missing === undefined) return;
    this.#recordFailure(
      `${describeChange(missing)} took effect, but no chain of changes leads to it beyond ${describeLink(this.#chain.at(-1) ?? START)}`,
    );
  }

  #recordFailure(why: string): void {
    if (this.#chain.length <= this.#furthestFailure.length) return;
    this.#furthestFailure = { length: this.#chain.length, why };
  }

  /**
   * Whether the complete chain has times of effect that also explain each refusal. A refused change met
   * another revision than its base at some time during the attempt: its base came into force after the
   * attempt began, or was succeeded before the answer. The earliest possible times are raised until all
   * conditions hold.
   */
  #explainsAll(): boolean {
    this.#chainsTried += 1;
    const effectTimesMs = this.#chain.map(() => -Infinity);
    for (let raised = true; raised;) {
      this.#raiseToLowerBounds(effectTimesMs);
      raised = false;
      for (const [place, link] of this.#chain.entries()) {
        const succeededMs = effectTimesMs[place + 1] ?? Infinity;
        const refusal = this.#refusalWhileInForce(link, succeededMs);
        if (refusal !== undefined) {
          this.#recordFailure(describeRefusal(refusal));
          return false;
        }
        raised ||= this.#raisePastRefusals(effectTimesMs, place, link, succeededMs);
      }
    }
    return effectTimesMs.every(
      (effectTimeMs, place) => effectTimeMs <= this.#latestEffectMs(this.#chain[place]?.change),
    );
  }

  /**
   * Moves a link's time of effect past the start of each attempt that was refused before the link was
   * succeeded.
   */
  #raisePastRefusals(effectTimesMs: number[], place: number, link: Link, succeededMs: number): boolean {
    const effectTimeMs = effectTimesMs[place] ?? -Infinity;
    let raisedMs = effectTimeMs;
    for (const { attempt } of this.#refusalsOnBase.get(link.revision) ?? [])
      if (succeededMs > attempt.respondedMs) raisedMs = Math.max(raisedMs, attempt.invokedMs);
    effectTimesMs[place] = raisedMs;
    return raisedMs > effectTimeMs;
  }

  /** Raises each time of effect to the earliest that its predecessor and its own change permit. */
  #raiseToLowerBounds(effectTimesMs: number[]): void {
    for (let place = 1; place < this.#chain.length; place += 1) {
      const link = this.#chain[place - 1] ?? START;
      const next = this.#chain[place]?.change;
      if (next === undefined) continue;
      const earliestMs = this.#earliestEffectMs(link, effectTimesMs[place - 1] ?? -Infinity, next);
      effectTimesMs[place] = Math.max(effectTimesMs[place] ?? -Infinity, earliestMs);
    }
  }

  /** Latest time of effect of a change: its first acknowledgement or the end of its first read. */
  #latestEffectMs(change: ChangeOrder | undefined): number {
    if (change === undefined) return -Infinity;
    const reads = this.#readsOf.get(change) ?? [];
    return Math.min(firstAcknowledgedMs(change.attempts), ...reads.map((read) => read.respondedMs));
  }
}

function describeRefusal({ change, attempt }: Refusal): string {
  return `${describeChange(change)} was refused from ${attempt.invokedMs.toFixed(0)} to ${attempt.respondedMs.toFixed(0)} though its base was in force`;
}

function describeLink(link: Link): string {
  return link.change === undefined ? 'the empty start' : describeChange(link.change);
}

function push<K, V>(lists: Map<K, V[]>, key: K, value: V): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}
