/** Delivers chosen versions in order and fetches missed ones. */
import { create } from '@bufbuild/protobuf';
import {
  ChosenSchema,
  EntrySchema,
  FetchVersionsSchema,
  type Member,
  type Version,
  type View,
} from '@rainrun/messages';
import type { Casts } from '../multicast/casts.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Directory } from '../membership/directory.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Transport } from '../transport/transport.js';
import { advance, withoutState, fromVersion, toVersion, type GroupState } from './group-state.js';
import { rankOf } from '../membership/members.js';

/** Number of newest versions whose entries are kept for members that lag; others get a snapshot. */
const LOG_MAX_ENTRIES = 256;

/** Payload bytes after which a message of fetched entries ends; the receiver fetches the rest afterwards. */
const FETCH_MAX_BYTES = 1024 * 1024;

/** A node that cannot close a gap within this time rejoins under a new incarnation. */
const GAP_MAX_MS = 2500;

/** What the delivery of versions needs from the other parts of the group. */
interface VersionCollaborators<S> {
  readonly casts: Casts<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly directory: Directory<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
  readonly heartbeats: { send(nowMs: number): void };
  readonly viewChange: { enter(view: View): void; open(): void; rejoin(): void };
}

/**
 * Applies versions one after the other. Missing versions are fetched from a member that has them; a node
 * outside a view starts from a snapshot.
 * @example
 * versions.receive('incarnation-2', version);
 */
export class Versions<S> {
  #collaborators: VersionCollaborators<S>;
  #entries = new Map<number, Version>();
  #lastEntry = create(EntrySchema);
  #lastFetchMs = -Infinity;
  #gapSinceMs: number | undefined;

  constructor(collaborators: VersionCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Rejoins if versions have been missing for longer than `GAP_MAX_MS`. */
  tick(nowMs: number): void {
    if (this.#gapSinceMs !== undefined && nowMs - this.#gapSinceMs > GAP_MAX_MS)
      this.#collaborators.viewChange.rejoin();
  }

  /** Asks a member for the versions after the newest one applied here. */
  fetch(from: string): void {
    const { dependencies, local, transport } = this.#collaborators;
    const nowMs = local.nowMs();
    if (nowMs - this.#lastFetchMs < dependencies.times.resendMs) return;
    this.#lastFetchMs = nowMs;
    const value = create(FetchVersionsSchema, { from: (local.state?.number ?? 0) + 1 });
    transport.sendTo(from, { case: 'fetchVersions', value });
  }

  /**
   * Sends a member the versions from `first` on: as entries, as many as one message takes, or as a snapshot
   * if an entry is no longer kept.
   */
  onFetch(from: string, first: number): void {
    const { directory, local, transport } = this.#collaborators;
    const member = directory.member(from);
    const state = local.state;
    if (member === undefined || state === undefined || !local.inView) return;
    const versions: Version[] = [];
    let bytes = 0;
    for (let number = first; number <= state.number && bytes < FETCH_MAX_BYTES; number += 1) {
      const version = this.#entries.get(number);
      if (version === undefined) return this.sendSnapshot(member);
      versions.push(version);
      bytes += payloadBytes(version);
    }
    transport.sendOrdered(member, { case: 'chosen', value: create(ChosenSchema, { versions }) });
  }

  /** Sends a member a snapshot of the state. */
  sendSnapshot(member: Member): void {
    const { dependencies, local, transport } = this.#collaborators;
    if (local.state === undefined) return;
    const version = toVersion(dependencies.stateMachine, local.state, this.#lastEntry);
    transport.sendOrdered(member, { case: 'chosen', value: create(ChosenSchema, { versions: [version] }) });
  }

  /** Handles a version from another member or from this node's own coordinator. */
  receive(from: string, version: Version): void {
    const { local } = this.#collaborators;
    const state = local.state;
    local.learnEpoch(version.epoch);
    if (!local.inView) {
      if (version.state !== undefined && version.number > (state?.number ?? 0))
        this.#installSnapshot(version);
      return;
    }
    if (state === undefined || version.number <= state.number) return;
    if (version.number > state.number + 1) {
      this.#gapSinceMs ??= local.nowMs();
      return this.fetch(from);
    }
    this.clearGap();
    this.#deliver(state, version);
  }

  /** Called when no version is missing any longer, or when a change of view makes the gap irrelevant. */
  clearGap(): void {
    this.#gapSinceMs = undefined;
  }

  #installSnapshot(version: Version): void {
    const { dependencies, heartbeats, local, viewChange } = this.#collaborators;
    const decoded = fromVersion(dependencies.stateMachine, version);
    if (decoded.isErr || rankOf(decoded.value.view, local.incarnation) < 0) return;
    local.setState(decoded.value);
    this.#appendToLog(version);
    viewChange.enter(decoded.value.view);
    dependencies.listener.onVersion(decoded.value, undefined);
    viewChange.open();
    heartbeats.send(local.nowMs());
  }

  #deliver(state: GroupState<S>, version: Version): void {
    const { casts, dependencies, local, viewChange } = this.#collaborators;
    const entry = version.entry ?? create(EntrySchema);
    const { view } = entry;
    if (view !== undefined) casts.finish(entry.flushedCasts);
    const next = advance(dependencies.stateMachine, state, version.epoch, entry);
    local.setState(next);
    this.#appendToLog(version);
    if (view !== undefined && rankOf(view, local.incarnation) < 0) return viewChange.rejoin();
    if (view !== undefined) viewChange.enter(view);
    dependencies.listener.onVersion(next, entry);
    if (view !== undefined) viewChange.open();
  }

  #appendToLog(version: Version): void {
    this.#entries.set(version.number, withoutState(version));
    this.#entries.delete(version.number - LOG_MAX_ENTRIES);
    this.#lastEntry = version.entry ?? create(EntrySchema);
  }
}

function payloadBytes(version: Version): number {
  const operations = version.entry?.operations ?? [];
  return operations.reduce((bytes, { payload }) => bytes + payload.length, 0);
}
