/**
 * The edges that follow a core: what each holds, what it asks for, and who is to be told what, and when.
 *
 * A change of the workers' table is urgent for the edges that send requests for the model which it concerns, and
 * for nobody else; the others are told with what comes next to them. A table that changes sixty times a second
 * costs sixty messages a second times the few edges concerned, instead of times all edges.
 */
import type { Subscribe, Member } from '@rainrun/messages';
import type { TableChanges } from '@rainrun/placement';

/** A subscriber that was not heard for so long is forgotten. */
const SILENT_MS = 2500;
/** Urgent changes are gathered the longer, the more subscribers there are. */
const URGENT_MS_EACH = 0.1;
/** Other changes of the table are gathered this long for each subscriber ... */
const BACKGROUND_MS_EACH = 3;
/** ... but not longer than an edge takes to ask anyway. */
const BACKGROUND_MOST_MS = 200;
/** A configuration is parsed by each edge: in a storm of changes it is told the newest this often. */
const STATE_MS = 200;
/** An edge that asks and has nothing to learn is answered no more often than this. */
const ANSWER_MS = 200;
/** An update sent so lately may still be on its way: a question that crosses it does not repeat it ... */
const IN_FLIGHT_MS = 60;
/** ... the longer, the more rows it brought: a row of 160 bytes takes 0.2 ms on a link of 7 Mbit/s. */
const IN_FLIGHT_MS_EACH_ROW = 0.3;
/** The view's members are told when they changed, and otherwise this often. */
const VIEW_MS = 1000;

/** What a core knows of one edge that follows it. */
export interface Subscriber {
  readonly seat: Member;
  heardMs: number;
  readonly readsDeflated: boolean;
  /** The newest state, table and row that it holds, or was sent. */
  edition: number;
  table: string;
  row: number;
  /** Models that it sends requests for, each as `service/model`. */
  wants: ReadonlySet<string>;
  toldMs: number;
  stateToldMs: number;
  rowsToldMs: number;
  /** Until when rows that it was sent may be on their way. */
  rowsInFlightMs: number;
  viewToldMs: number;
  viewTold: number;
}

/** What this core could tell now. */
export interface Offer {
  readonly edition: number;
  /** The workers' table; empty on a core that keeps none. */
  readonly table: string;
  readonly row: number;
  readonly leading: boolean;
}

/**
 * Followers of a core and the times at which they are told.
 * @example
 * const subscribers = new Subscribers();
 * const subscriber = subscribers.heard(follow, seat, nowMs);
 * for (const one of subscribers.due(offer, changes, nowMs)) tell(one);
 */
export class Subscribers {
  #byIncarnation = new Map<string, Subscriber>();
  /** Changes that were not yet told to those whom they concern. */
  #urgentAll = false;
  #urgentModels = new Set<string>();
  #urgentSinceMs: number | undefined;

  get size(): number {
    return this.#byIncarnation.size;
  }

  /** Takes what an edge says of itself. */
  heard(follow: Subscribe, seat: Member, nowMs: number): Subscriber {
    const known = this.#byIncarnation.get(seat.incarnation);
    const subscriber: Subscriber = known ?? {
      seat,
      readsDeflated: follow.acceptsDeflate,
      heardMs: nowMs,
      edition: 0,
      table: '',
      row: 0,
      wants: new Set(),
      toldMs: -Infinity,
      stateToldMs: -Infinity,
      rowsToldMs: -Infinity,
      rowsInFlightMs: -Infinity,
      viewToldMs: -Infinity,
      viewTold: 0,
    };
    this.#byIncarnation.set(seat.incarnation, subscriber);
    subscriber.heardMs = nowMs;
    if (follow.edition >= subscriber.edition || nowMs - subscriber.stateToldMs > IN_FLIGHT_MS)
      subscriber.edition = follow.edition;
    const sameTable = follow.tableId === subscriber.table;
    if ((sameTable && follow.tableRow >= subscriber.row) || nowMs > subscriber.rowsInFlightMs) {
      subscriber.table = follow.tableId;
      subscriber.row = follow.tableRow;
    }
    const models = follow.demands.map(({ service, model }) => `${service}/${model}`);
    subscriber.wants = new Set(follow.incremental ? [...subscriber.wants, ...models] : models);
    return subscriber;
  }

  remove(incarnation: string): void {
    this.#byIncarnation.delete(incarnation);
  }

  /** Forgets those that were not heard for long. */
  expire(nowMs: number): void {
    for (const [incarnation, { heardMs }] of this.#byIncarnation)
      if (nowMs - heardMs > SILENT_MS) this.#byIncarnation.delete(incarnation);
  }

  /** Notes rows that a subscriber was sent; they count as known until it says otherwise. */
  sentRows(subscriber: Subscriber, offer: Offer, rows: number, nowMs: number): void {
    subscriber.table = offer.table;
    subscriber.row = offer.row;
    subscriber.rowsToldMs = nowMs;
    if (rows > 0) subscriber.rowsInFlightMs = nowMs + IN_FLIGHT_MS + rows * IN_FLIGHT_MS_EACH_ROW;
  }

  /** Notes the state that a subscriber was sent. */
  sentState(subscriber: Subscriber, offer: Offer, nowMs: number): void {
    subscriber.edition = offer.edition;
    subscriber.stateToldMs = nowMs;
  }

  /** Notes that a subscriber was told who is in the view. */
  sentView(subscriber: Subscriber, view: number, nowMs: number): void {
    subscriber.viewTold = view;
    subscriber.viewToldMs = nowMs;
  }

  /** Whether an edge that has just asked is to be answered. */
  isAnswerDue(subscriber: Subscriber, offer: Offer, nowMs: number): boolean {
    return (
      nowMs - subscriber.toldMs >= ANSWER_MS ||
      this.isStateDue(subscriber, offer, nowMs) ||
      isTableBehind(subscriber, offer)
    );
  }

  /** Whether a message to this edge names the view's members. */
  isViewDue(subscriber: Subscriber, view: number, nowMs: number): boolean {
    return subscriber.viewTold !== view || nowMs - subscriber.viewToldMs >= VIEW_MS;
  }

  /** Whether a message to this edge brings the agreed state. */
  isStateDue(subscriber: Subscriber, offer: Offer, nowMs: number): boolean {
    return subscriber.edition < offer.edition && nowMs - subscriber.stateToldMs >= STATE_MS;
  }

  /** Those who are to be told now without having asked. Only the coordinator tells unasked. */
  due(offer: Offer, changes: TableChanges, nowMs: number): Subscriber[] {
    if (!offer.leading) return [];
    this.#gather(changes, nowMs);
    const urgent = this.#isUrgentDue(nowMs);
    const due: Subscriber[] = [];
    for (const subscriber of this.#byIncarnation.values()) {
      const stateDue = this.isStateDue(subscriber, offer, nowMs);
      const tableDue =
        isTableBehind(subscriber, offer) &&
        (this.#isBackgroundDue(subscriber, nowMs) || (urgent && this.#isConcerned(subscriber)));
      if (stateDue || tableDue) due.push(subscriber);
    }
    if (urgent) this.#settleUrgent();
    return due;
  }

  #gather(changes: TableChanges, nowMs: number): void {
    if (!changes.all && changes.models.size === 0) return;
    this.#urgentAll ||= changes.all;
    for (const model of changes.models) this.#urgentModels.add(model);
    this.#urgentSinceMs ??= nowMs;
  }

  #isUrgentDue(nowMs: number): boolean {
    if (this.#urgentSinceMs === undefined) return false;
    return nowMs - this.#urgentSinceMs >= Math.floor(this.size * URGENT_MS_EACH);
  }

  #settleUrgent(): void {
    this.#urgentAll = false;
    this.#urgentModels.clear();
    this.#urgentSinceMs = undefined;
  }

  #isConcerned({ wants }: Subscriber): boolean {
    if (this.#urgentAll) return true;
    for (const model of this.#urgentModels) if (wants.has(model)) return true;
    return false;
  }

  #isBackgroundDue({ rowsToldMs }: Subscriber, nowMs: number): boolean {
    return nowMs - rowsToldMs >= Math.min(BACKGROUND_MOST_MS, this.size * BACKGROUND_MS_EACH);
  }
}

function isTableBehind(subscriber: Subscriber, offer: Offer): boolean {
  if (offer.table === '') return false;
  return subscriber.table !== offer.table || subscriber.row < offer.row;
}
