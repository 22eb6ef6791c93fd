/** The coordinator's side of a view change: which members stay and join, the flush, the next view's entry. */
import { create } from '@bufbuild/protobuf';
import {
  EntrySchema,
  FlushRequestSchema,
  ViewSchema,
  type Cast,
  type Entry,
  type FlushReply,
  type Member,
  type View,
} from '@rainrun/messages';
import type { CoordinatorContext } from '../agreement/coordinator-context.js';
import type { DepartedMembers } from '../agreement/departed-members.js';
import type { GroupState } from '../agreement/group-state.js';
import { flushedCastsOf } from '../multicast/causal-order.js';
import { rankOf } from './members.js';
import { levelMismatch } from './protocol-levels.js';

/** A view change whose flush replies are being collected. */
interface PendingViewChange {
  readonly id: number;
  readonly staying: readonly Member[];
  readonly joiners: readonly Member[];
  readonly startedMs: number;
  /** Unstable casts of each member that has flushed. */
  readonly castsByMember: Map<string, readonly Cast[]>;
  sentMs: number;
}

type ViewChangeContext = Pick<
  CoordinatorContext<unknown>,
  'appliedVersion' | 'flushSelf' | 'isLive' | 'isReported' | 'joiners' | 'self' | 'send' | 'times'
>;

type ViewState = Pick<GroupState<unknown>, 'number' | 'view'>;

/**
 * Changes the view as in Birman's virtual synchrony: the members that stay stop
 * casting and flush, then the next view is proposed together with the union of
 * their unstable casts, so that all of them deliver the same casts in the old view.
 * @example
 * if (viewChange.isCollecting) viewChange.collectFlushes(state, nowMs);
 * else viewChange.start(state, nowMs); // false: no change is due
 */
export class ViewChangeCoordinator {
  #context: ViewChangeContext;
  #epoch: number;
  #departed: DepartedMembers;
  #propose: (entry: Entry, nowMs: number) => void;
  #pendingChange: PendingViewChange | undefined;
  #changeCount = 0;
  /** Time since which a change has been needed; it starts `graceMs` later. */
  #changeNeededSinceMs: number | undefined;
  /** True while members may have stopped casting for a view that was not installed. */
  #mustInstallView = true;
  /** Members that did not flush in time, and until when new views exclude them. */
  #excludedUntilMs = new Map<string, number>();

  constructor(
    context: ViewChangeContext,
    epoch: number,
    departed: DepartedMembers,
    propose: (entry: Entry, nowMs: number) => void,
  ) {
    this.#context = context;
    this.#epoch = epoch;
    this.#departed = departed;
    this.#propose = propose;
  }

  /** Whether a view change is collecting flush replies. */
  get isCollecting(): boolean {
    return this.#pendingChange !== undefined;
  }

  /** Names of the members that have not flushed yet for the pending change. */
  missingFlushes(): readonly string[] {
    const change = this.#pendingChange;
    if (change === undefined) return [];
    return change.staying
      .filter((member) => !change.castsByMember.has(member.incarnation))
      .map((member) => member.name);
  }

  onFlushReply(incarnation: string, reply: FlushReply): void {
    if (reply.epoch !== this.#epoch || reply.change !== this.#pendingChange?.id) return;
    this.#pendingChange.castsByMember.set(incarnation, reply.unstableCasts);
  }

  /** Starts a change if one is due; returns whether it did. */
  start(state: ViewState, nowMs: number): boolean {
    const { view } = state;
    const staying = this.#staying(view, nowMs);
    const joiners = this.#admittedJoiners(view, staying);
    if (staying.length === view.members.length && joiners.length === 0 && !this.#mustInstallView) {
      this.#changeNeededSinceMs = undefined;
      return false;
    }
    const self = this.#context.self().incarnation;
    if (rankOf(view, self) >= 0 && this.#context.appliedVersion() < state.number) return false;
    this.#changeNeededSinceMs ??= nowMs;
    if (nowMs - this.#changeNeededSinceMs < this.#context.times.graceMs) return false;
    if (!this.#departed.hasMajority(view, (member) => staying.includes(member))) return false;
    this.#changeNeededSinceMs = undefined;
    this.#mustInstallView = true;
    this.#changeCount += 1;
    this.#pendingChange = {
      id: this.#changeCount,
      staying,
      joiners,
      startedMs: nowMs,
      castsByMember: new Map(),
      sentMs: -Infinity,
    };
    this.collectFlushes(state, nowMs);
    return true;
  }

  /** Requests missing flushes; proposes the view once all have arrived, aborts the change after `flushMs`. */
  collectFlushes(state: ViewState, nowMs: number): void {
    const change = this.#pendingChange;
    if (change === undefined) return;
    const missing = change.staying.filter((member) => !change.castsByMember.has(member.incarnation));
    if (this.#mustAbort(change, missing, nowMs)) {
      this.#pendingChange = undefined;
      this.#changeNeededSinceMs = nowMs - this.#context.times.graceMs;
      return;
    }
    if (missing.length === 0) return this.#install(change, state, nowMs);
    if (nowMs - change.sentMs < this.#context.times.resendMs) return;
    change.sentMs = nowMs;
    this.#requestFlushes(change, missing, state.view);
    if (change.staying.every((member) => change.castsByMember.has(member.incarnation)))
      this.#install(change, state, nowMs);
  }

  #staying(view: View, nowMs: number): Member[] {
    const self = this.#context.self().incarnation;
    return view.members.filter(
      (member) =>
        member.incarnation === self ||
        (this.#context.isLive(member.incarnation) &&
          nowMs >= (this.#excludedUntilMs.get(member.incarnation) ?? -Infinity) &&
          !this.#context.isReported(member.incarnation) &&
          !this.#departed.has(member)),
    );
  }

  /** New joiners, sorted by name, that share a protocol level with all the others. */
  #admittedJoiners(view: View, staying: readonly Member[]): Member[] {
    const names = new Set(staying.map((member) => member.name));
    const admitted: Member[] = [];
    for (const joiner of [...this.#context.joiners()].sort((one, other) =>
      one.name < other.name ? -1 : 1,
    )) {
      const isKnown =
        names.has(joiner.name) ||
        rankOf(view, joiner.incarnation) >= 0 ||
        this.#departed.isExcluded(joiner.name);
      if (!isKnown && levelMismatch(joiner, [...staying, ...admitted]) === undefined) admitted.push(joiner);
    }
    return admitted;
  }

  /**
   * Whether a staying member has failed or the flush has timed out. On a timeout, the members that have not
   * flushed are excluded from new views for twice `flushMs`.
   */
  #mustAbort(change: PendingViewChange, missing: readonly Member[], nowMs: number): boolean {
    const self = this.#context.self().incarnation;
    const isMemberLost = change.staying.some(
      (member) => member.incarnation !== self && !this.#context.isLive(member.incarnation),
    );
    const { flushMs } = this.#context.times;
    const isTimedOut = nowMs - change.startedMs > flushMs;
    if (isTimedOut) {
      for (const member of missing) this.#excludedUntilMs.set(member.incarnation, nowMs + 2 * flushMs);
    }
    return isMemberLost || isTimedOut;
  }

  #requestFlushes(change: PendingViewChange, missing: readonly Member[], view: View): void {
    const self = this.#context.self().incarnation;
    const staying = change.staying.map((member) => member.incarnation);
    const value = create(FlushRequestSchema, {
      epoch: this.#epoch,
      change: change.id,
      view: view.number,
      staying,
    });
    for (const member of missing) {
      if (member.incarnation === self)
        change.castsByMember.set(self, this.#context.flushSelf(change.id, staying));
      else this.#context.send(member, { case: 'flushRequest', value });
    }
  }

  #install(change: PendingViewChange, { view: old }: ViewState, nowMs: number): void {
    this.#pendingChange = undefined;
    this.#mustInstallView = false;
    const view = create(ViewSchema, {
      epoch: this.#epoch,
      number: old.number + 1,
      members: [...change.staying, ...change.joiners],
    });
    const flushedCasts = flushedCastsOf(old, [...change.castsByMember.values()]);
    this.#propose(create(EntrySchema, { view, flushedCasts }), nowMs);
  }
}
