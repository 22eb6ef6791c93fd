/**
 * The edges that subscribe to a core: the versions that each edge holds, the models that it demands, and when
 * updates are due to it. Platform family; only the coordinator sends updates that no edge asked for.
 *
 * A change of the worker table is urgent only for the edges that send requests for the affected model; the
 * other edges receive it with their next update. Sixty table changes per second thus cost sixty messages per
 * second to each of the few affected edges, not to all edges.
 */
import type { Subscribe, Member } from '@rainrun/messages';
import type { TableChanges } from '@rainrun/placement';

/** A subscription expires if it is not renewed for this long. */
const SUBSCRIBER_EXPIRY_MS = 2500;
/** Urgent changes of the worker table are batched for this long per subscriber. */
const URGENT_DELAY_PER_SUBSCRIBER_MS = 0.1;
/** Changes of the worker table that are not urgent are batched for this long per subscriber. */
const BACKGROUND_DELAY_PER_SUBSCRIBER_MS = 3;
/** Longest batching of changes that are not urgent; an edge asks for changes about this often anyway. */
const BACKGROUND_DELAY_MAX_MS = 200;
/**
 * Shortest time between two states sent to an edge, which parses each one; during frequent changes it skips
 * some.
 */
const STATE_INTERVAL_MS = 200;
/** Shortest time between two answers to an edge for which this core has nothing new. */
const ANSWER_INTERVAL_MS = 200;
/**
 * An update that was sent less than this ago may still be in flight, so a subscribe message that crosses it
 * does not cause it to be sent again.
 */
const IN_FLIGHT_MS = 60;
/** Added to IN_FLIGHT_MS per row of the update: a row of 160 bytes takes 0.2 ms on a link of 7 Mbit/s. */
const IN_FLIGHT_PER_ROW_MS = 0.3;
/** The members of the view are sent when the view has changed, and otherwise at this interval. */
const VIEW_INTERVAL_MS = 1000;

/** What a core knows about one subscribed edge. Times are of the core's clock. */
export interface Subscriber {
  readonly member: Member;
  lastContactMs: number;
  readonly acceptsDeflate: boolean;
  /** Edition of the newest state that the edge reported or was sent. */
  edition: number;
  /** Id of the worker table that the edge reported or was sent rows of. */
  tableId: string;
  /** Number of the newest row of that table that the edge reported or was sent. */
  tableRow: number;
  /** Models that the edge sends requests for, each as `service/model`. */
  demandedModels: ReadonlySet<string>;
  lastUpdateMs: number;
  stateSentMs: number;
  rowsSentMs: number;
  /** Until when the rows sent last may still be in flight. */
  rowsInFlightMs: number;
  viewSentMs: number;
  sentViewNumber: number;
}

/** The newest versions that this core can send. */
export interface AvailableState {
  readonly edition: number;
  /** Id of the worker table; empty on a core that keeps none. */
  readonly tableId: string;
  readonly tableRow: number;
  readonly isCoordinator: boolean;
}

/**
 * The subscribers of a core, and when updates are due to them.
 * @example
 * const subscribers = new Subscribers();
 * const subscriber = subscribers.onSubscribe(subscribe, member, nowMs);
 * for (const one of subscribers.dueSubscribers(available, changes, nowMs)) sendUpdate(one);
 */
export class Subscribers {
  #byIncarnation = new Map<string, Subscriber>();
  /** Whether an urgent change that is not yet sent affects all subscribers. */
  #isUrgentForAll = false;
  /** Models with urgent changes that are not yet sent. */
  #urgentModels = new Set<string>();
  #urgentSinceMs: number | undefined;

  get size(): number {
    return this.#byIncarnation.size;
  }

  /** Records a subscription or its renewal, with the versions that the edge reports to hold. */
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

  /** Records that rows were sent to a subscriber; they count as received until it reports otherwise. */
  recordRowsSent(subscriber: Subscriber, available: AvailableState, rows: number, nowMs: number): void {
    subscriber.tableId = available.tableId;
    subscriber.tableRow = available.tableRow;
    subscriber.rowsSentMs = nowMs;
    if (rows > 0) subscriber.rowsInFlightMs = nowMs + IN_FLIGHT_MS + rows * IN_FLIGHT_PER_ROW_MS;
  }

  /** Records that the state was sent to a subscriber. */
  recordStateSent(subscriber: Subscriber, available: AvailableState, nowMs: number): void {
    subscriber.edition = available.edition;
    subscriber.stateSentMs = nowMs;
  }

  /** Records that the members of the view were sent to a subscriber. */
  recordViewSent(subscriber: Subscriber, view: number, nowMs: number): void {
    subscriber.sentViewNumber = view;
    subscriber.viewSentMs = nowMs;
  }

  /** Whether an answer is due to an edge that has just subscribed or renewed. */
  isAnswerDue(subscriber: Subscriber, available: AvailableState, nowMs: number): boolean {
    return (
      nowMs - subscriber.lastUpdateMs >= ANSWER_INTERVAL_MS ||
      this.isStateDue(subscriber, available, nowMs) ||
      isTableBehind(subscriber, available)
    );
  }

  /** Whether the next update to this edge includes the members of the view. */
  isViewDue(subscriber: Subscriber, view: number, nowMs: number): boolean {
    return subscriber.sentViewNumber !== view || nowMs - subscriber.viewSentMs >= VIEW_INTERVAL_MS;
  }

  /** Whether the next update to this edge includes the committed state. */
  isStateDue(subscriber: Subscriber, available: AvailableState, nowMs: number): boolean {
    return subscriber.edition < available.edition && nowMs - subscriber.stateSentMs >= STATE_INTERVAL_MS;
  }

  /**
   * The subscribers to which an update is due without their asking; none unless this core is the coordinator.
   */
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
