import { hashText } from '@rainrun/common';
import type { SimulatedChunk } from './simulated-chunk.js';
import { toVersion, type GroupState, type StateMachine } from '@rainrun/process-group';
import { EMPTY_SPEC_STATE, encodeSpecState, type SpecState } from '@rainrun/configuration';
import { EntrySchema, StateSchema } from '@rainrun/messages';
import { create, toBinary } from '@bufbuild/protobuf';

/** An invariant that was violated: the rule, what was seen, and when. */
export interface Breach {
  readonly rule: string;
  readonly detail: string;
  readonly atMs: number;
}

/**
 * A cast delivered before one that causally precedes it: allowed only if the latter's sender left the
 * view.
 */
interface EarlyDelivery {
  readonly view: number;
  readonly missingSender: string;
  readonly detail: string;
  readonly atMs: number;
}

interface AgreedVersion {
  readonly number: number;
  readonly atMs: number;
}

/** The casts that an incarnation has delivered in one view. */
interface ViewDeliveries {
  readonly casts: string[];
}

const APPLY_BOUND_MS = 2000;
const DRAIN_BOUND_MS = 3000;
const EVACUATION_BOUND_MS = 5000;
const RETRY_WINDOW_MS = 10_000;
/** Retries that the whole fleet may send in a window, in addition to a fifth of the first attempts. */
const RETRY_ALLOWANCE = 10;

/** State that the oracle tracks for one client request. */
interface RequestRecord {
  readonly idempotent: boolean;
  sends: number;
  runs: number;
  rejection: string | undefined;
  /** Run that produced the chunks received by the client; all must come from the same run. */
  runId: string;
  chunksReceived: number;
  chunkCount: number;
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
 * Checks the invariants of the whole deployment at every step. It observes the nodes from outside and shares
 * no state or logic with them.
 * @example
 * oracle.version('core-a', 'incarnation-1', held, true, nowMs);
 * oracle.breaches; // empty as long as every invariant holds
 */
export class Oracle {
  breaches: Breach[] = [];
  answeredCount = 0;
  served = 0;
  refused = 0;
  refusals: Record<string, number> = {};
  unknownOutcomes = 0;
  /** Streams that were aborted before their end, visibly to the client. */
  truncatedStreams = 0;
  versions = 0;
  casts = 0;
  #digests = new Map<number, { digest: string; by: string }>();
  #newestVersions = new Map<string, number>();
  #agreedVersions: AgreedVersion[] = [];
  #castsByView = new Map<number, { casts: string; by: string }>();
  #openViews = new Map<string, Map<number, ViewDeliveries>>();
  #castCounts = new Map<string, Map<string, number>>();
  #earlyDeliveries = new Map<string, EarlyDelivery[]>();
  #answers = new Map<string, string>();
  #requests = new Map<string, RequestRecord>();
  #drainingSinceMs = new Map<string, number>();
  #evacuatedZones = new Map<string, { number: number; atMs: number }>();
  #firstSendsMs: number[] = [];
  #retriesMs: number[] = [];
  #pullsMs: number[] = [];
  #agreedMarks = new Map<string, { mark: number | undefined; number: number }>();
  #pendingEdits = new Map<string, number>();
  #refusedMarks = new Set<number>();
  #orders = new Map<string, { by: string; epoch: number }>();

  reportBreach(rule: string, detail: string, atMs: number): void {
    if (this.breaches.length < 20) this.breaches.push({ rule, detail, atMs });
  }

  /** Records that an incarnation delivered a version; `whole` is true if it arrived by state transfer. */
  versionDelivered(incarnation: string, held: GroupState<SpecState>, whole: boolean, atMs: number): void {
    this.versions += 1;
    const { number } = held;
    const digest = digestOf(held);
    const known = this.#digests.get(number);
    if (known === undefined) this.#digests.set(number, { digest, by: incarnation });
    else if (known.digest !== digest) {
      this.reportBreach(
        'one history',
        `version ${number} is ${known.digest} at ${known.by} and ${digest} at ${incarnation}`,
        atMs,
      );
    }
    const previous = this.#newestVersions.get(incarnation) ?? 0;
    if (number <= previous)
      this.reportBreach('versions never go back', `${incarnation} went from ${previous} to ${number}`, atMs);
    this.#newestVersions.set(incarnation, number);
    this.#checkAgreedMarks(held, atMs);
    for (const [zone, emptied] of this.#evacuatedZones) {
      if (number > emptied.number && !held.application.evacuatedZones.includes(zone))
        this.#evacuatedZones.delete(zone);
    }
    if (!whole) this.#closeViews(incarnation, held.view.number, atMs);
    this.#checkCausalOrder(incarnation, held);
  }

  /** Records that an operator submitted an edit of an entry; its value is undetermined until the answer. */
  editSubmitted(name: string): void {
    this.#pendingEdits.set(name, (this.#pendingEdits.get(name) ?? 0) + 1);
  }

  /** Records the answer to an edit: an agreed value must persist, a refused one must never become visible. */
  editAnswered(name: string, mark: number | undefined, outcome: string, number: number): void {
    this.#pendingEdits.set(name, (this.#pendingEdits.get(name) ?? 0) - 1);
    if (outcome !== 'agreed') {
      if (mark !== undefined) this.#refusedMarks.add(mark);
    } else if (number >= (this.#agreedMarks.get(name)?.number ?? 0))
      this.#agreedMarks.set(name, { mark, number });
  }

  #checkAgreedMarks(held: GroupState<SpecState>, atMs: number): void {
    const adapters = held.application.spec?.spec.adapters ?? [];
    for (const { name, sizeMb } of adapters) {
      if (name.startsWith('race-') && this.#refusedMarks.has(sizeMb))
        this.reportBreach('a refused change never shows', `${name} with mark ${sizeMb}`, atMs);
    }
    for (const [name, { mark, number }] of this.#agreedMarks) {
      if (held.number < number || (this.#pendingEdits.get(name) ?? 0) > 0) continue;
      const found = adapters.find((known) => known.name === name)?.sizeMb;
      if (found !== mark)
        this.reportBreach(
          'an agreed change stays',
          `${name} has mark ${found} at ${held.number}, was agreed as ${mark} in ${number}`,
          atMs,
        );
    }
  }

  /** Records that a client request enters an edge. */
  requestSent(id: string, repeatable: boolean): void {
    this.#requests.set(id, {
      idempotent: repeatable,
      sends: 0,
      runs: 0,
      rejection: undefined,
      runId: '',
      chunksReceived: 0,
      chunkCount: 0,
      complete: false,
    });
  }

  /** Records that a client receives a chunk of a response, and checks its request, run and position. */
  chunkReceived(id: string, piece: SimulatedChunk, atMs: number): void {
    const request = this.#requests.get(id);
    if (request === undefined) return;
    if (piece.id !== id)
      this.reportBreach("nobody else's answer", `${id} was given a piece of ${piece.id}`, atMs);
    if (request.complete)
      this.reportBreach('nothing after the end', `${id} was given piece ${piece.place} after its end`, atMs);
    if (request.chunksReceived > 0 && request.runId !== piece.run)
      this.reportBreach('one run in an answer', `${id} was given ${piece.run} after ${request.runId}`, atMs);
    if (piece.place !== request.chunksReceived)
      this.reportBreach(
        'no piece skipped or repeated',
        `${id} was given piece ${piece.place} after ${request.chunksReceived} pieces`,
        atMs,
      );
    request.runId = piece.run;
    request.chunkCount = piece.of;
    request.chunksReceived = piece.place + 1;
  }

  /** Records that a client is told that its response is complete. */
  responseCompleted(id: string, atMs: number): void {
    const request = this.#requests.get(id);
    if (request === undefined) return;
    this.served += 1;
    if (request.complete || request.rejection !== undefined)
      this.reportBreach('one end', `${id} was told of a second end`, atMs);
    if (request.chunksReceived === 0 || request.chunksReceived < request.chunkCount)
      this.reportBreach(
        'a cut answer does not look whole',
        `${id} ended as whole after ${request.chunksReceived} of ${request.chunkCount} pieces`,
        atMs,
      );
    request.complete = true;
  }

  /** Records that an edge sends a request to a worker, and checks the retry budget. */
  attemptSent(id: string, atMs: number): void {
    const request = this.#requests.get(id);
    if (request === undefined) return;
    request.sends += 1;
    (request.sends === 1 ? this.#firstSendsMs : this.#retriesMs).push(atMs);
    while ((this.#firstSendsMs[0] ?? Infinity) <= atMs - RETRY_WINDOW_MS) this.#firstSendsMs.shift();
    while ((this.#retriesMs[0] ?? Infinity) <= atMs - RETRY_WINDOW_MS) this.#retriesMs.shift();
    const maxRetries = 0.2 * this.#firstSendsMs.length + RETRY_ALLOWANCE;
    if (this.#retriesMs.length > maxRetries)
      this.reportBreach(
        'retries stay within the budget',
        `${this.#retriesMs.length} extra sends for ${this.#firstSendsMs.length} first ones`,
        atMs,
      );
  }

  /** Records that a worker runs a request, and checks that it may. */
  requestRan(id: string, worker: string, zone: string, atMs: number): void {
    const request = this.#requests.get(id);
    if (request === undefined) return;
    request.runs += 1;
    if (request.runs > 1 && !request.idempotent)
      this.reportBreach('never run twice', `${id} ran ${request.runs} times`, atMs);
    if (request.rejection !== undefined && !request.idempotent)
      this.reportBreach('refused never runs', `${id} was refused as ${request.rejection} and ran`, atMs);
    const drainingMs = atMs - (this.#drainingSinceMs.get(worker) ?? Infinity);
    if (drainingMs > DRAIN_BOUND_MS)
      this.reportBreach(
        'no work to a leaving worker',
        `${worker}, ${drainingMs.toFixed(0)} ms after it was known`,
        atMs,
      );
    const evacuatedMs = atMs - (this.#evacuatedZones.get(zone)?.atMs ?? Infinity);
    if (evacuatedMs > EVACUATION_BOUND_MS)
      this.reportBreach(
        'no work to an emptied zone',
        `${worker} in ${zone}, ${evacuatedMs.toFixed(0)} ms after it was agreed`,
        atMs,
      );
  }

  /** Records that a client was told that its request has not run and never will. */
  requestRejected(id: string, kind: string, atMs: number): void {
    const request = this.#requests.get(id);
    if (request === undefined) return;
    if (request.complete || request.chunksReceived > 0)
      this.reportBreach(
        'one end',
        `${id} was refused as ${kind} after ${request.chunksReceived} pieces`,
        atMs,
      );
    this.refused += 1;
    this.refusals[kind] = (this.refusals[kind] ?? 0) + 1;
    request.rejection = kind;
    if (request.runs > 0 && !request.idempotent)
      this.reportBreach('refused never runs', `${id} ran and was refused as ${kind}`, atMs);
  }

  /** Records the workers that some node now knows to be draining. */
  workersDraining(workers: ReadonlySet<string>, atMs: number): void {
    for (const worker of this.#drainingSinceMs.keys())
      if (!workers.has(worker)) this.#drainingSinceMs.delete(worker);
    for (const worker of workers)
      if (!this.#drainingSinceMs.has(worker)) this.#drainingSinceMs.set(worker, atMs);
  }

  /** Records that an operator was told that a zone is evacuated. */
  zoneEvacuated(zone: string, number: number, atMs: number): void {
    if (!this.#evacuatedZones.has(zone)) this.#evacuatedZones.set(zone, { number, atMs });
  }

  storePulled(perMinute: number, atMs: number): void {
    this.#pullsMs = this.#pullsMs.filter((pullMs) => atMs - pullMs < 60_000);
    this.#pullsMs.push(atMs);
    if (this.#pullsMs.length > perMinute)
      this.reportBreach(
        'the store is not asked too often',
        `${this.#pullsMs.length} pulls in a minute`,
        atMs,
      );
  }

  #checkCausalOrder(incarnation: string, held: GroupState<SpecState>): void {
    const members = new Set(held.view.members.map((member) => member.incarnation));
    for (const { view, missingSender: other, detail, atMs } of this.#earlyDeliveries.get(incarnation) ?? []) {
      if (held.view.number === view || members.has(other)) this.reportBreach('causal order', detail, atMs);
    }
    this.#earlyDeliveries.delete(incarnation);
  }

  #closeViews(incarnation: string, viewNumber: number, atMs: number): void {
    for (const [view, deliveries] of this.#openViews.get(incarnation) ?? []) {
      if (view >= viewNumber) continue;
      this.#openViews.get(incarnation)?.delete(view);
      const casts = [...deliveries.casts].sort().join(' ');
      const known = this.#castsByView.get(view);
      if (known === undefined) this.#castsByView.set(view, { casts, by: incarnation });
      else if (known.casts !== casts) {
        this.reportBreach(
          'same casts in a view',
          `view ${view} ended differently at ${known.by} and ${incarnation}`,
          atMs,
        );
      }
    }
  }

  /** Records that an incarnation enters a view, so that a view without any delivered cast is compared too. */
  viewEntered(incarnation: string, view: number): void {
    const views = this.#openViews.get(incarnation) ?? new Map<number, ViewDeliveries>();
    this.#openViews.set(incarnation, views);
    if (!views.has(view)) {
      views.set(view, { casts: [] });
      this.#castCounts.set(incarnation, new Map());
    }
  }

  /** Returns the casts delivered per sender in the current view: the causal context of the next cast. */
  deliveredCounts(incarnation: string): Record<string, number> {
    return Object.fromEntries(this.#castCounts.get(incarnation) ?? []);
  }

  castDelivered(
    incarnation: string,
    view: number,
    sender: string,
    sequence: number,
    context: Record<string, number>,
    atMs: number,
  ): void {
    this.casts += 1;
    const counts = this.#castCounts.get(incarnation) ?? new Map<string, number>();
    for (const [other, count] of Object.entries(context)) {
      if ((counts.get(other) ?? 0) < count) {
        const detail = `${incarnation} delivered ${sender}:${sequence} before ${other}:${count}`;
        this.#earlyDeliveries.set(incarnation, [
          ...(this.#earlyDeliveries.get(incarnation) ?? []),
          { view, missingSender: other, detail, atMs },
        ]);
      }
    }
    if ((counts.get(sender) ?? 0) >= sequence)
      this.reportBreach('once each', `${incarnation} delivered ${sender}:${sequence} again`, atMs);
    counts.set(sender, sequence);
    this.#castCounts.set(incarnation, counts);
    this.#openViews.get(incarnation)?.get(view)?.casts.push(`${sender}:${sequence}`);
  }

  /** Records the answer that an operator received for an operation. */
  operationAnswered(id: string, kind: string, number: number, atMs: number): void {
    const known = this.#answers.get(id);
    if (known !== undefined && known !== `${kind}@${number}`) {
      this.reportBreach('one answer', `${id} was ${known} and then ${kind}@${number}`, atMs);
    }
    this.#answers.set(id, `${kind}@${number}`);
    this.answeredCount += 1;
    this.#agreedVersions.push({ number, atMs });
  }

  /** Checks that a node which may admit requests holds every version agreed longer ago than the bound. */
  checkAdmission(incarnation: string, number: number, atMs: number): void {
    for (const agreed of this.#agreedVersions) {
      if (agreed.number > number && atMs > agreed.atMs + APPLY_BOUND_MS) {
        this.reportBreach(
          'in force within 2 s',
          `${incarnation} admits at ${number}, ${agreed.number} was agreed at ${agreed.atMs.toFixed(0)}`,
          atMs,
        );
      }
    }
    this.#agreedVersions = this.#agreedVersions.slice(-8);
  }

  checkSingletonLease(holders: readonly string[], atMs: number): void {
    if (holders.length > 1) this.reportBreach('one holder of the duty', holders.join(' and '), atMs);
  }

  orderStarted(worker: string, by: string, epoch: number, atMs: number): void {
    const active = this.#orders.get(worker);
    if (active !== undefined && active.by !== by) {
      this.reportBreach('one node orders a worker', `${by} orders ${worker} while ${active.by} does`, atMs);
    }
    this.#orders.set(worker, { by, epoch });
  }

  orderFinished(worker: string): void {
    this.#orders.delete(worker);
  }
}
