/** The mix of orders that operators send during a simulated day. */
import type { System } from '../system.js';
import { makeInvalid, sampleDocument, sampleInvalidPatch, samplePatch } from './configuration.js';
import type { OrderEnd } from './operator-client.js';
import type { OperatorRequest } from './operator-desk.js';
import { BOUNDS } from './size.js';

/** Maximum number of pending orders. */
const MAX_PENDING_ORDERS = 8;
const OPERATOR_COUNT = 2;
const LARGE_ROUTE_COUNT = 150;
/** Maximum delay after which an accepted order is sent again. */
const MAX_REPEAT_DELAY_MS = 10_000;

type OrderKind = 'put' | 'large' | 'patch' | 'race' | 'invalid' | 'zone' | 'read';

/** Weights of the kinds of orders, in percent. */
const ORDER_WEIGHTS: readonly (readonly [kind: OrderKind, weight: number])[] = [
  ['put', 30],
  ['patch', 33],
  ['race', 14],
  ['invalid', 7],
  ['zone', 5],
  ['read', 9],
  ['large', 2],
];

/** The revision that one operator believes to be in force. */
interface Belief {
  revision: number;
}

/**
 * Sends orders as two operators do, each on the base of the revision that it last learned.
 * @example
 * const load = new OperatorLoad(system);
 * load.putFirst();
 * load.storm(200, 30_000);
 */
export class OperatorLoad {
  acknowledged = 0;
  #system: System;
  #beliefs: Belief[] = Array.from({ length: OPERATOR_COUNT }, () => ({ revision: 0 }));
  #markCount = 0;
  #zonesBusy = new Set<string>();

  constructor(system: System) {
    this.#system = system;
  }

  /** Number of orders without a definite answer. */
  get pendingCount(): number {
    return this.#system.operators.pendingOrders.length;
  }

  /** Sends the first configuration, before traffic. */
  putFirst(): void {
    this.#change(this.#belief(), 'put');
  }

  /** Sends one order of a random kind, unless too many are pending. */
  sendRandom(): void {
    if (this.pendingCount >= MAX_PENDING_ORDERS) return;
    const belief = this.#belief();
    let weight = this.#randomBelow(100);
    const kind = ORDER_WEIGHTS.find(([, share]) => (weight -= share) < 0)?.[0] ?? 'put';
    switch (kind) {
      case 'put':
      case 'patch':
      case 'large':
        return this.#change(belief, kind);
      case 'race':
        return this.race();
      case 'invalid':
        return this.#invalid(belief);
      case 'zone':
        return this.zone();
      case 'read':
        return this.#read(belief);
    }
  }

  /**
   * Sends random orders at an average interval of `everyMs` for `forMs`, up to the maximum of pending orders.
   */
  storm(everyMs: number, forMs: number): void {
    const { time, random: seededRandom } = this.#system;
    const endMs = time.nowMs() + forMs;
    const next = (): void => {
      if (time.nowMs() > endMs) return;
      this.sendRandom();
      time.after(everyMs * (0.5 + seededRandom.next()), next);
    };
    next();
  }

  /** Sends a single valid change, on the revision that one operator believes to be in force. */
  put(): void {
    this.#change(this.#belief(), 'put');
  }

  /** Both operators send a change on the same base revision; the new revisions may be equal. */
  race(): void {
    const base = Math.max(...this.#beliefs.map((belief) => belief.revision));
    const ends: OrderEnd[] = [];
    const sameNumber = this.#system.random.next() < 0.5 ? this.#nextRevision(base) : undefined;
    for (const belief of this.#beliefs) {
      belief.revision = base;
      this.#change(belief, this.#randomBelow(2) === 0 ? 'put' : 'patch', sameNumber, (end) => ends.push(end));
    }
  }

  /** Evacuates the first zone, or returns it to service. */
  zone(): void {
    const { size, expectations } = this.#system;
    const zone = size.zones[0] ?? '';
    if (this.#zonesBusy.has(zone)) return;
    this.#zonesBusy.add(zone);
    this.#system.zone(zone, expectations.zones.get(zone)?.evacuated !== true, () =>
      this.#zonesBusy.delete(zone),
    );
  }

  #randomBelow(bound: number): number {
    return Math.floor(this.#system.random.next() * bound);
  }

  #belief(): Belief {
    return this.#beliefs[this.#randomBelow(OPERATOR_COUNT)] as Belief;
  }

  #nextRevision(base: number): number {
    return base + 1 + this.#randomBelow(4);
  }

  #change(
    belief: Belief,
    kind: 'put' | 'patch' | 'large',
    revision = this.#nextRevision(belief.revision),
    done: (end: OrderEnd) => void = () => undefined,
  ): void {
    const request = this.#requestFor(belief.revision, kind, revision);
    this.#system.order(request, true, (end) => {
      this.#updateBelief(belief, revision, end);
      if (end.kind === 'agreed' && this.#randomBelow(10) === 0) this.#repeatLater(request);
      done(end);
    });
  }

  #requestFor(base: number, kind: 'put' | 'patch' | 'large', revision: number): OperatorRequest {
    this.#markCount += 1;
    const mark = `change-${this.#markCount}`;
    if (kind === 'patch' && base > 0)
      return { kind: 'patch', base, patch: samplePatch(revision, mark, this.#randomBelow(4)) };
    const routes = kind === 'large' ? LARGE_ROUTE_COUNT : this.#randomBelow(3);
    return { kind: 'put', base, document: sampleDocument(revision, this.#system.size.models, mark, routes) };
  }

  #updateBelief(belief: Belief, revision: number, end: OrderEnd): void {
    if (end.kind === 'agreed') {
      this.acknowledged += 1;
      belief.revision = Math.max(belief.revision, revision);
    } else this.#read(belief);
  }

  /** Sends an accepted order again, which must be acknowledged again. */
  #repeatLater(request: OperatorRequest): void {
    const { time, random: seededRandom } = this.#system;
    time.after(seededRandom.next() * MAX_REPEAT_DELAY_MS, () => this.#system.order(request, true));
  }

  #invalid({ revision: base }: Belief): void {
    this.#markCount += 1;
    this.#system.order(this.#invalidRequest(base, `invalid-${this.#markCount}`), false);
  }

  /** Builds a change with a revision that is not above its base, an unknown service or a shared API key. */
  #invalidRequest(base: number, mark: string): OperatorRequest {
    const { models } = this.#system.size;
    switch (this.#randomBelow(3)) {
      case 0:
        return { kind: 'put', base, document: sampleDocument(base, models, mark) };
      case 1:
        return { kind: 'patch', base, patch: sampleInvalidPatch(this.#nextRevision(base), mark) };
      default: {
        const document = makeInvalid(sampleDocument(this.#nextRevision(base), models, mark));
        return { kind: 'put', base, document };
      }
    }
  }

  #read(belief: Belief): void {
    this.#system.order(
      { kind: 'read' },
      true,
      (end) => {
        const revision = Number(end.document?.['revision'] ?? 0);
        belief.revision = Math.max(belief.revision, revision);
      },
      2 * BOUNDS.ackMs,
    );
  }
}
