/**
 * The edges that subscribe to a core: what each holds, what it demands, and which updates are due to it, and when.
 * Platform family; only the coordinator sends updates unasked.
 *
 * A change of the workers' table is urgent for the edges that send requests for the model which it concerns, and
 * for nobody else; the others get it with their next update. A table that changes sixty times a second
 * costs sixty messages a second times the few edges concerned, instead of times all edges.
 */
import type { Subscribe, Member } from '@rainrun/messages';
import type { TableChanges } from '@rainrun/placement';

/** A subscription that is not renewed for so long expires. */
const SUBSCRIBER_EXPIRY_MS = 2500;
/** Urgent changes are batched the longer, the more subscribers there are. */
const URGENT_DELAY_PER_SUBSCRIBER_MS = 0.1;
/** Other changes of the table are batched this long for each subscriber ... */
const BACKGROUND_DELAY_PER_SUBSCRIBER_MS = 3;
/** ... but not longer than an edge takes to ask anyway. */
const BACKGROUND_DELAY_MAX_MS = 200;
/** A configuration is parsed by each edge: in a storm of changes it gets the newest this often. */
const STATE_INTERVAL_MS = 200;
/** An edge that asks and has nothing to learn is answered no more often than this. */
const ANSWER_INTERVAL_MS = 200;
/** An update sent so lately may still be on its way: a question that crosses it does not repeat it ... */
const IN_FLIGHT_MS = 60;
/** ... the longer, the more rows it brought: a row of 160 bytes takes 0.2 ms on a link of 7 Mbit/s. */
const IN_FLIGHT_PER_ROW_MS = 0.3;
/** The view's members are sent when they changed, and otherwise this often. */
const VIEW_INTERVAL_MS = 1000;

/** What a core knows of one edge that subscribes to it. Times are of the core's clock. */
export interface Subscriber {
  readonly member: Member;
  lastContactMs: number;
  readonly acceptsDeflate: boolean;
  /** The newest state, table and row that it holds, or was sent. */
  edition: number;
  tableId: string;
  tableRow: number;
  /** Models that it sends requests for, each as `service/model`. */
  demandedModels: ReadonlySet<string>;
  lastUpdateMs: number;
  stateSentMs: number;
  rowsSentMs: number;
  /** Until when rows that it was sent may be on their way. */
  rowsInFlightMs: number;
  viewSentMs: number;
  sentViewNumber: number;
}

/** What this core could send now. */
export interface AvailableState {
  readonly edition: number;
  /** The workers' table; empty on a core that keeps none. */
  readonly tableId: string;
  readonly tableRow: number;
  readonly isCoordinator: boolean;
}

/**
 * Subscribers of a core and the times at which updates are due to them.
 * @example
 * const subscribers = new Subscribers();
 * const subscriber = subscribers.onSubscribe(subscribe, member, nowMs);
 * for (const one of subscribers.dueSubscribers(available, changes, nowMs)) sendUpdate(one);
 */
export class Subscribers {
  #byIncarnation = new Map<string, Subscriber>();
  /** Changes not yet sent to the subscribers that they concern. */
  #isUrgentForAll = false;
  #urgentModels = new Set<string>();
  #urgentSinceMs: number | undefined;

  get size(): number {
    return this.#byIncarnation.size;
  }

  /** Records a subscription, or its renewal, with what the edge says that it holds. */
  onSubscribe(subscribe: Subscribe, member: Member, nowMs: number): Subscriber {
    const known = this.#byIncarnation.get(member.incarnation);
    const subscriber: Subscriber = known ?? {
      member: member,
      acceptsDeflate: subscribe.acceptsDeflate,
      lastContactMs: nowMs,
      edition: 0,
      tableId: '',
      tableRow: 0,
      demandedModels: new Set(),
      lastUpdateMs: -Infinity,
      stateSentMs: -Infinity,
      rowsSentMs: -Infinity,
      rowsInFlightMs: -Infinity,
      viewSentMs: -Infinity,
      sentViewNumber: 0,
    };
    this.#byIncarnation.set(member.incarnation, subscriber);
    subscriber.lastContactMs = nowMs;
    if (subscribe.edition >= subscriber.edition || nowMs - subscriber.stateSentMs > IN_FLIGHT_MS)
      subscriber.edition = subscribe.edition;
    const isSameTable = subscribe.tableId === subscriber.tableId;
    if ((isSameTable && subscribe.tableRow >= subscriber.tableRow) || nowMs > subscriber.rowsInFlightMs) {
      subscriber.tableId = subscribe.tableId;
      subscriber.tableRow = subscribe.tableRow;
    }
    const models = subscribe.demands.map(({ service, model }) => `${service}/${model}`);
    subscriber.demandedModels = new Set(
      subscribe.incremental ? [...subscriber.demandedModels, ...models] : models,
    );
    return subscriber;
  }

  remove(incarnation: string): void {
    this.#byIncarnation.delete(incarnation);
  }

  /** Removes expired subscriptions. */
  expire(nowMs: number): void {
    for (const [incarnation, { lastContactMs: contactMs }] of this.#byIncarnation)
      if (nowMs - contactMs > SUBSCRIBER_EXPIRY_MS) this.#byIncarnation.delete(incarnation);
  }

  /** Notes rows that a subscriber was sent; they count as known until it says otherwise. */
  recordRowsSent(subscriber: Subscriber, available: AvailableState, rows: number, nowMs: number): void {
    subscriber.tableId = available.tableId;
    subscriber.tableRow = available.tableRow;
    subscriber.rowsSentMs = nowMs;
    if (rows > 0) subscriber.rowsInFlightMs = nowMs + IN_FLIGHT_MS + rows * IN_FLIGHT_PER_ROW_MS;
  }

  /** Notes the state that a subscriber was sent. */
  recordStateSent(subscriber: Subscriber, available: AvailableState, nowMs: number): void {
    subscriber.edition = available.edition;
    subscriber.stateSentMs = nowMs;
  }

  /** Notes that a subscriber was sent the members of the view. */
  recordViewSent(subscriber: Subscriber, view: number, nowMs: number): void {
    subscriber.sentViewNumber = view;
    subscriber.viewSentMs = nowMs;
  }

  /** Whether an edge that has just asked is to be answered. */
  isAnswerDue(subscriber: Subscriber, available: AvailableState, nowMs: number): boolean {
    return (
      nowMs - subscriber.lastUpdateMs >= ANSWER_INTERVAL_MS ||
      this.isStateDue(subscriber, available, nowMs) ||
      isTableBehind(subscriber, available)
    );
  }

  /** Whether a message to this edge names the view's members. */
  isViewDue(subscriber: Subscriber, view: number, nowMs: number): boolean {
    return subscriber.sentViewNumber !== view || nowMs - subscriber.viewSentMs >= VIEW_INTERVAL_MS;
  }

  /** Whether a message to this edge brings the agreed state. */
  isStateDue(subscriber: Subscriber, available: AvailableState, nowMs: number): boolean {
    return subscriber.edition < available.edition && nowMs - subscriber.stateSentMs >= STATE_INTERVAL_MS;
  }

  /** The subscribers to which an unasked update is due now; none unless this core is the coordinator. */
  dueSubscribers(available: AvailableState, changes: TableChanges, nowMs: number): Subscriber[] {
    if (!available.isCoordinator) return [];
    this.#collectUrgent(changes, nowMs);
    const isUrgent = this.#isUrgentDue(nowMs);
    const due: Subscriber[] = [];
    for (const subscriber of this.#byIncarnation.values()) {
      const stateDue = this.isStateDue(subscriber, available, nowMs);
      const tableDue =
        isTableBehind(subscriber, available) &&
        (this.#isBackgroundDue(subscriber, nowMs) || (isUrgent && this.#isAffected(subscriber)));
      if (stateDue || tableDue) due.push(subscriber);
    }
    if (isUrgent) this.#clearUrgent();
    return due;
  }

  #collectUrgent(changes: TableChanges, nowMs: number): void {
    if (!changes.all && changes.models.size === 0) return;
    this.#isUrgentForAll ||= changes.all;
    for (const model of changes.models) this.#urgentModels.add(model);
    this.#urgentSinceMs ??= nowMs;
  }

  #isUrgentDue(nowMs: number): boolean {
    if (this.#urgentSinceMs === undefined) return false;
    return nowMs - this.#urgentSinceMs >= Math.floor(this.size * URGENT_DELAY_PER_SUBSCRIBER_MS);
  }

  #clearUrgent(): void {
    this.#isUrgentForAll = false;
    this.#urgentModels.clear();
    this.#urgentSinceMs = undefined;
  }

  #isAffected({ demandedModels }: Subscriber): boolean {
    if (this.#isUrgentForAll) return true;
    for (const model of this.#urgentModels) if (demandedModels.has(model)) return true;
    return false;
  }

  #isBackgroundDue({ rowsSentMs }: Subscriber, nowMs: number): boolean {
    return (
      nowMs - rowsSentMs >= Math.min(BACKGROUND_DELAY_MAX_MS, this.size * BACKGROUND_DELAY_PER_SUBSCRIBER_MS)
    );
  }
}

function isTableBehind(subscriber: Subscriber, available: AvailableState): boolean {
  if (available.tableId === '') return false;
  return subscriber.tableId !== available.tableId || subscriber.tableRow < available.tableRow;
}
