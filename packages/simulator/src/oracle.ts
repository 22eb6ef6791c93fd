import { hashText } from '@rainrun/common';
import type { SimulatedChunk } from './simulated-chunk.js';
import { toVersion, type GroupState, type StateMachine } from '@rainrun/process-group';
import { EMPTY_SPEC_STATE, encodeSpecState, type SpecState } from '@rainrun/configuration';
import { EntrySchema, StateSchema } from '@rainrun/messages';
import { create, toBinary } from '@bufbuild/protobuf';

/** Something that must never happen and did. */
export interface Breach {
  readonly rule: string;
  readonly detail: string;
  readonly atMs: number;
}

/** A cast delivered before one that it follows: right only if that one's sender left with the view. */
interface EarlyDelivery {
  readonly view: number;
  readonly other: string;
  readonly detail: string;
  readonly atMs: number;
}

interface AgreedVersion {
  readonly number: number;
  readonly atMs: number;
}

/** What a process has delivered in one view. */
interface ViewDeliveries {
  readonly casts: string[];
}

const IN_FORCE_MS = 2000;
const LEAVING_MS = 3000;
const EVACUATED_MS = 5000;
const RETRY_WINDOW_MS = 10_000;
/** Extra sends allowed in a window beside a fifth of the first ones, in the whole fleet. */
const RETRY_ALLOWANCE = 10;

/** A visitor's request as the oracle follows it. */
interface RequestRecord {
  readonly idempotent: boolean;
  sends: number;
  runs: number;
  rejection: string | undefined;
  /** The pieces that its visitor has seen, all of one run. */
  run: string;
  chunks: number;
  of: number;
  complete: boolean;
}

const ENCODE_ONLY: StateMachine<SpecState> = {
  empty: () => EMPTY_SPEC_STATE,
  encode: encodeSpecState,
  decode: () => {
    throw new Error('the oracle decodes nothing');
  },
  apply: (state) => ({ state, outcome: { kind: 'agreed', detail: '' } }),
  withoutExtension: (state) => state,
};

function digestOf(held: GroupState<SpecState>): string {
  const state = toVersion(ENCODE_ONLY, held, create(EntrySchema)).state ?? create(StateSchema);
  return hashText(Buffer.from(toBinary(StateSchema, state)).toString('latin1')).toString(16);
}

/**
 * Watches every node from outside and checks the invariants at every step.
 * It knows nothing of how the nodes do it.
 * @example
 * oracle.version('core-a', 'incarnation-1', held, true, nowMs);
 * oracle.breaches; // empty while all is well
 */
export class Oracle {
  breaches: Breach[] = [];
  agreedCount = 0;
  served = 0;
  refused = 0;
  refusals: Record<string, number> = {};
  unknown = 0;
  /** Streams that ended visibly cut. */
  cuts = 0;
  versions = 0;
  casts = 0;
  #digests = new Map<number, { digest: string; by: string }>();
  #newest = new Map<string, number>();
  #agreed: AgreedVersion[] = [];
  #cutSets = new Map<number, { casts: string; by: string }>();
  #open = new Map<string, Map<number, ViewDeliveries>>();
  #counts = new Map<string, Map<string, number>>();
  #early = new Map<string, EarlyDelivery[]>();
  #answers = new Map<string, string>();
  #requests = new Map<string, RequestRecord>();
  #leavingMs = new Map<string, number>();
  #evacuatedMs = new Map<string, { number: number; atMs: number }>();
  #firsts: number[] = [];
  #extras: number[] = [];
  #pulls: number[] = [];
  #marks = new Map<string, { mark: number | undefined; number: number }>();
  #editing = new Map<string, number>();
  #refusedMarks = new Set<number>();
  #orders = new Map<string, { by: string; epoch: number }>();

  breach(rule: string, detail: string, atMs: number): void {
    if (this.breaches.length < 20) this.breaches.push({ rule, detail, atMs });
  }

  /** A version came into force; `whole` when it came by state transfer. */
  version(incarnation: string, held: GroupState<SpecState>, whole: boolean, atMs: number): void {
    this.versions += 1;
    const { number } = held;
    const digest = digestOf(held);
    const known = this.#digests.get(number);
    if (known === undefined) this.#digests.set(number, { digest, by: incarnation });
    else if (known.digest !== digest) {
      this.breach(
        'one history',
        `version ${number} is ${known.digest} at ${known.by} and ${digest} at ${incarnation}`,
        atMs,
      );
    }
    const before = this.#newest.get(incarnation) ?? 0;
    if (number <= before)
      this.breach('versions never go back', `${incarnation} went from ${before} to ${number}`, atMs);
    this.#newest.set(incarnation, number);
    this.#checkAgreedMarks(held, atMs);
    for (const [zone, emptied] of this.#evacuatedMs) {
      if (number > emptied.number && !held.application.evacuatedZones.includes(zone))
        this.#evacuatedMs.delete(zone);
    }
    if (!whole) this.#closeViews(incarnation, held.view.number, atMs);
    this.#checkCausalOrder(incarnation, held);
  }

  /** An operator asks for an edit of an entry: until it is answered, nobody can say what stands there. */
  edits(name: string): void {
    this.#editing.set(name, (this.#editing.get(name) ?? 0) + 1);
  }

  /** An operator was told how its edit ended: what was agreed must stay, what was refused never show. */
  edited(name: string, mark: number | undefined, outcome: string, number: number): void {
    this.#editing.set(name, (this.#editing.get(name) ?? 0) - 1);
    if (outcome !== 'agreed') {
      if (mark !== undefined) this.#refusedMarks.add(mark);
    } else if (number >= (this.#marks.get(name)?.number ?? 0)) this.#marks.set(name, { mark, number });
  }

  #checkAgreedMarks(held: GroupState<SpecState>, atMs: number): void {
    const adapters = held.application.spec?.spec.adapters ?? [];
    for (const { name, sizeMb } of adapters) {
      if (name.startsWith('race-') && this.#refusedMarks.has(sizeMb))
        this.breach('a refused change never shows', `${name} with mark ${sizeMb}`, atMs);
    }
    for (const [name, { mark, number }] of this.#marks) {
      if (held.number < number || (this.#editing.get(name) ?? 0) > 0) continue;
      const found = adapters.find((known) => known.name === name)?.sizeMb;
      if (found !== mark)
        this.breach(
          'an agreed change stays',
          `${name} has mark ${found} at ${held.number}, was agreed as ${mark} in ${number}`,
          atMs,
        );
    }
  }

  /** A visitor's request enters an edge. */
  requestSent(id: string, repeatable: boolean): void {
    this.#requests.set(id, {
      idempotent: repeatable,
      sends: 0,
      runs: 0,
      rejection: undefined,
      run: '',
      chunks: 0,
      of: 0,
      complete: false,
    });
  }

  /** A visitor is given a piece of an answer. */
  chunkReceived(id: string, piece: SimulatedChunk, atMs: number): void {
    const visit = this.#requests.get(id);
    if (visit === undefined) return;
    if (piece.id !== id) this.breach("nobody else's answer", `${id} was given a piece of ${piece.id}`, atMs);
    if (visit.complete)
      this.breach('nothing after the end', `${id} was given piece ${piece.place} after its end`, atMs);
    if (visit.chunks > 0 && visit.run !== piece.run)
      this.breach('one run in an answer', `${id} was given ${piece.run} after ${visit.run}`, atMs);
    if (piece.place !== visit.chunks)
      this.breach(
        'no piece skipped or repeated',
        `${id} was given piece ${piece.place} after ${visit.chunks} pieces`,
        atMs,
      );
    visit.run = piece.run;
    visit.of = piece.of;
    visit.chunks = piece.place + 1;
  }

  /** A visitor is told that its answer is whole. */
  responseCompleted(id: string, atMs: number): void {
    const visit = this.#requests.get(id);
    if (visit === undefined) return;
    this.served += 1;
    if (visit.complete || visit.rejection !== undefined)
      this.breach('one end', `${id} was told of a second end`, atMs);
    if (visit.chunks === 0 || visit.chunks < visit.of)
      this.breach(
        'a cut answer does not look whole',
        `${id} ended as whole after ${visit.chunks} of ${visit.of} pieces`,
        atMs,
      );
    visit.complete = true;
  }

  /** A request leaves an edge for a worker. */
  sent(id: string, atMs: number): void {
    const visit = this.#requests.get(id);
    if (visit === undefined) return;
    visit.sends += 1;
    (visit.sends === 1 ? this.#firsts : this.#extras).push(atMs);
    while ((this.#firsts[0] ?? Infinity) <= atMs - RETRY_WINDOW_MS) this.#firsts.shift();
    while ((this.#extras[0] ?? Infinity) <= atMs - RETRY_WINDOW_MS) this.#extras.shift();
    const most = 0.2 * this.#firsts.length + RETRY_ALLOWANCE;
    if (this.#extras.length > most)
      this.breach(
        'retries stay within the budget',
        `${this.#extras.length} extra sends for ${this.#firsts.length} first ones`,
        atMs,
      );
  }

  /** A worker runs a request. */
  ran(id: string, worker: string, zone: string, atMs: number): void {
    const visit = this.#requests.get(id);
    if (visit === undefined) return;
    visit.runs += 1;
    if (visit.runs > 1 && !visit.idempotent)
      this.breach('never run twice', `${id} ran ${visit.runs} times`, atMs);
    if (visit.rejection !== undefined && !visit.idempotent)
      this.breach('refused never runs', `${id} was refused as ${visit.rejection} and ran`, atMs);
    const leavingMs = atMs - (this.#leavingMs.get(worker) ?? Infinity);
    if (leavingMs > LEAVING_MS)
      this.breach(
        'no work to a leaving worker',
        `${worker}, ${leavingMs.toFixed(0)} ms after it was known`,
        atMs,
      );
    const emptiedMs = atMs - (this.#evacuatedMs.get(zone)?.atMs ?? Infinity);
    if (emptiedMs > EVACUATED_MS)
      this.breach(
        'no work to an emptied zone',
        `${worker} in ${zone}, ${emptiedMs.toFixed(0)} ms after it was agreed`,
        atMs,
      );
  }

  /** A visitor was told that its request has not run and never will. */
  requestRejected(id: string, kind: string, atMs: number): void {
    const visit = this.#requests.get(id);
    if (visit === undefined) return;
    if (visit.complete || visit.chunks > 0)
      this.breach('one end', `${id} was refused as ${kind} after ${visit.chunks} pieces`, atMs);
    this.refused += 1;
    this.refusals[kind] = (this.refusals[kind] ?? 0) + 1;
    visit.rejection = kind;
    if (visit.runs > 0 && !visit.idempotent)
      this.breach('refused never runs', `${id} ran and was refused as ${kind}`, atMs);
  }

  /** Some node has learned which workers are leaving. */
  learnedLeaving(workers: ReadonlySet<string>, atMs: number): void {
    for (const worker of this.#leavingMs.keys()) if (!workers.has(worker)) this.#leavingMs.delete(worker);
    for (const worker of workers) if (!this.#leavingMs.has(worker)) this.#leavingMs.set(worker, atMs);
  }

  /** An operator was told that a zone is emptied. */
  zoneEvacuated(zone: string, number: number, atMs: number): void {
    if (!this.#evacuatedMs.has(zone)) this.#evacuatedMs.set(zone, { number, atMs });
  }

  pulled(perMinute: number, atMs: number): void {
    this.#pulls = this.#pulls.filter((pullMs) => atMs - pullMs < 60_000);
    this.#pulls.push(atMs);
    if (this.#pulls.length > perMinute)
      this.breach('the store is not asked too often', `${this.#pulls.length} pulls in a minute`, atMs);
  }

  #checkCausalOrder(incarnation: string, held: GroupState<SpecState>): void {
    const members = new Set(held.view.members.map((member) => member.incarnation));
    for (const { view, other, detail, atMs } of this.#early.get(incarnation) ?? []) {
      if (held.view.number === view || members.has(other)) this.breach('causal order', detail, atMs);
    }
    this.#early.delete(incarnation);
  }

  #closeViews(incarnation: string, viewNumber: number, atMs: number): void {
    for (const [view, note] of this.#open.get(incarnation) ?? []) {
      if (view >= viewNumber) continue;
      this.#open.get(incarnation)?.delete(view);
      const casts = [...note.casts].sort().join(' ');
      const known = this.#cutSets.get(view);
      if (known === undefined) this.#cutSets.set(view, { casts, by: incarnation });
      else if (known.casts !== casts) {
        this.breach(
          'same casts in a view',
          `view ${view} ended differently at ${known.by} and ${incarnation}`,
          atMs,
        );
      }
    }
  }

  /** Opens a view at an incarnation, so that an empty set counts too. */
  enter(incarnation: string, view: number): void {
    const views = this.#open.get(incarnation) ?? new Map<number, ViewDeliveries>();
    this.#open.set(incarnation, views);
    if (!views.has(view)) {
      views.set(view, { casts: [] });
      this.#counts.set(incarnation, new Map());
    }
  }

  /** The context a sender should write into its payload: what it has delivered in this view. */
  contextOf(incarnation: string): Record<string, number> {
    return Object.fromEntries(this.#counts.get(incarnation) ?? []);
  }

  cast(
    incarnation: string,
    view: number,
    sender: string,
    sequence: number,
    context: Record<string, number>,
    atMs: number,
  ): void {
    this.casts += 1;
    const counts = this.#counts.get(incarnation) ?? new Map<string, number>();
    for (const [other, count] of Object.entries(context)) {
      if ((counts.get(other) ?? 0) < count) {
        const detail = `${incarnation} delivered ${sender}:${sequence} before ${other}:${count}`;
        this.#early.set(incarnation, [
          ...(this.#early.get(incarnation) ?? []),
          { view, other, detail, atMs },
        ]);
      }
    }
    if ((counts.get(sender) ?? 0) >= sequence)
      this.breach('once each', `${incarnation} delivered ${sender}:${sequence} again`, atMs);
    counts.set(sender, sequence);
    this.#counts.set(incarnation, counts);
    this.#open.get(incarnation)?.get(view)?.casts.push(`${sender}:${sequence}`);
  }

  /** An operator was told. */
  answered(id: string, kind: string, number: number, atMs: number): void {
    const known = this.#answers.get(id);
    if (known !== undefined && known !== `${kind}@${number}`) {
      this.breach('one answer', `${id} was ${known} and then ${kind}@${number}`, atMs);
    }
    this.#answers.set(id, `${kind}@${number}`);
    this.agreedCount += 1;
    this.#agreed.push({ number, atMs });
  }

  /** A node admits a visitor now. */
  admits(incarnation: string, number: number, atMs: number): void {
    for (const agreed of this.#agreed) {
      if (agreed.number > number && atMs > agreed.atMs + IN_FORCE_MS) {
        this.breach(
          'in force within 2 s',
          `${incarnation} admits at ${number}, ${agreed.number} was agreed at ${agreed.atMs.toFixed(0)}`,
          atMs,
        );
      }
    }
    this.#agreed = this.#agreed.slice(-8);
  }

  checkSingletonLease(holders: readonly string[], atMs: number): void {
    if (holders.length > 1) this.breach('one holder of the duty', holders.join(' and '), atMs);
  }

  orderBegins(worker: string, by: string, epoch: number, atMs: number): void {
    const flying = this.#orders.get(worker);
    if (flying !== undefined && flying.by !== by) {
      this.breach('one node orders a worker', `${by} orders ${worker} while ${flying.by} does`, atMs);
    }
    this.#orders.set(worker, { by, epoch });
  }

  orderEnds(worker: string): void {
    this.#orders.delete(worker);
  }
}
