/** Delivery of agreed versions in their order, and catching up on missed ones. */
import { create } from '@bufbuild/protobuf';
import { ChosenSchema, EntrySchema, FetchVersionsSchema, type Member, type Version } from '@rainrun/messages';
import type { GroupParts } from './group-parts.js';
import { advance, bare, fromVersion, rankOf, toVersion, type GroupState } from './play.js';

/** Versions whose entries are kept for members that lag; others get the whole state. */
const ENTRIES_KEPT = 256;

/** Payloads of the entries that go in one message; what is left is fetched after it. */
const FETCHED_BYTES = 1024 * 1024;

/** A node that cannot close a gap for so long starts anew. */
const GAP_MOST_MS = 2500;

type VersionParts<S> = Pick<
  GroupParts<S>,
  'casts' | 'dependencies' | 'directory' | 'heartbeats' | 'local' | 'transport' | 'viewChange'
>;

/**
 * Applies versions one after the other. A gap is fetched from whoever holds
 * more; a node outside a view starts from a version with the whole state.
 * @example
 * versions.take('incarnation-2', version);
 */
export class Versions<S> {
  #parts: VersionParts<S>;
  #entries = new Map<number, Version>();
  #lastEntry = create(EntrySchema);
  #lastFetchMs = -Infinity;
  #gapSinceMs: number | undefined;

  constructor(parts: VersionParts<S>) {
    this.#parts = parts;
  }

  /** Starts anew if a gap has stayed open for too long. */
  tick(nowMs: number): void {
    if (this.#gapSinceMs !== undefined && nowMs - this.#gapSinceMs > GAP_MOST_MS)
      this.#parts.viewChange.rejoin();
  }

  /** Asks a member for the versions after the one held here. */
  fetch(from: string): void {
    const { dependencies, local, transport } = this.#parts;
    const nowMs = local.nowMs();
    if (nowMs - this.#lastFetchMs < dependencies.times.resendMs) return;
    this.#lastFetchMs = nowMs;
    const value = create(FetchVersionsSchema, { from: (local.state?.number ?? 0) + 1 });
    transport.postTo(from, { case: 'fetchVersions', value });
  }

  /** Sends a member versions from `first` on: as entries, as many as a message takes, or as the whole state if those are gone. */
  onFetch(from: string, first: number): void {
    const { directory, local, transport } = this.#parts;
    const seat = directory.seat(from);
    const held = local.state;
    if (seat === undefined || held === undefined || !local.inView) return;
    const versions: Version[] = [];
    let bytes = 0;
    for (let number = first; number <= held.number && bytes < FETCHED_BYTES; number += 1) {
      const version = this.#entries.get(number);
      if (version === undefined) return this.sendWhole(seat);
      versions.push(version);
      bytes += payloadBytes(version);
    }
    transport.parcel(seat, { case: 'chosen', value: create(ChosenSchema, { versions }) });
  }

  /** Sends a member the whole state. */
  sendWhole(seat: Member): void {
    const { dependencies, local, transport } = this.#parts;
    if (local.state === undefined) return;
    const version = toVersion(dependencies.stateMachine, local.state, this.#lastEntry);
    transport.parcel(seat, { case: 'chosen', value: create(ChosenSchema, { versions: [version] }) });
  }

  /** Takes a version from a member or from the coordinator in this node. */
  take(from: string, version: Version): void {
    const { local } = this.#parts;
    const held = local.state;
    local.learnEpoch(version.epoch);
    if (!local.inView) {
      if (version.state !== undefined && version.number > (held?.number ?? 0)) this.#installWhole(version);
      return;
    }
    if (held === undefined || version.number <= held.number) return;
    if (version.number > held.number + 1) {
      this.#gapSinceMs ??= local.nowMs();
      return this.fetch(from);
    }
    this.clearGap();
    this.#deliver(held, version);
  }

  clearGap(): void {
    this.#gapSinceMs = undefined;
  }

  #installWhole(version: Version): void {
    const { dependencies, heartbeats, local, viewChange } = this.#parts;
    const read = fromVersion(dependencies.stateMachine, version);
    if (read.isErr || rankOf(read.value.view, local.incarnation) < 0) return;
    local.setState(read.value);
    this.#log(version);
    viewChange.enter(read.value.view);
    dependencies.listener.onVersion(read.value, undefined);
    viewChange.open();
    heartbeats.send(local.nowMs());
  }

  #deliver(held: GroupState<S>, version: Version): void {
    const { casts, dependencies, local, viewChange } = this.#parts;
    const entry = version.entry ?? create(EntrySchema);
    const { view } = entry;
    if (view !== undefined) casts.finish(entry.flushedCasts);
    const next = advance(dependencies.stateMachine, held, version.epoch, entry);
    local.setState(next);
    this.#log(version);
    if (view !== undefined && rankOf(view, local.incarnation) < 0) return viewChange.rejoin();
    if (view !== undefined) viewChange.enter(view);
    dependencies.listener.onVersion(next, entry);
    if (view !== undefined) viewChange.open();
  }

  #log(version: Version): void {
    this.#entries.set(version.number, bare(version));
    this.#entries.delete(version.number - ENTRIES_KEPT);
    this.#lastEntry = version.entry ?? create(EntrySchema);
  }
}

function payloadBytes(version: Version): number {
  const operations = version.entry?.operations ?? [];
  return operations.reduce((bytes, { payload }) => bytes + payload.length, 0);
}
