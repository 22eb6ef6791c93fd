/** Causal multicast across views: casts and payloads buffered for a view, and the causal order within one. */
import type { Cast, Heartbeat, View } from '@rainrun/messages';
import { CausalOrder } from './causal-order.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Transport } from '../transport/transport.js';
import { rankOf } from '../membership/members.js';

/** Number of payloads kept while this node cannot cast; the oldest is dropped first. */
const BACKLOG_MAX = 64;

/** Number of casts kept that arrived before their view; the oldest is dropped first. */
const EARLY_CASTS_MAX = 4096;

/** What multicast needs. */
interface CastCollaborators<S> {
  readonly dependencies: GroupDependencies<S>;
  readonly local: LocalMember<S>;
  readonly transport: Transport<S>;
}

/**
 * Sends and delivers causal casts. Payloads wait while the view is being
 * changed; casts of a view that this node has not entered yet wait for it.
 * @example
 * casts.cast(payload);
 */
export class Casts<S> {
  #collaborators: CastCollaborators<S>;
  #causal: CausalOrder | undefined;
  #backlog: Uint8Array[] = [];
  #earlyCasts: Cast[] = [];

  constructor(collaborators: CastCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** True while no casts are sent: outside a view, and while the view is being changed. */
  get stopped(): boolean {
    return this.#causal?.stopped ?? true;
  }

  /** Number of casts kept because they are not known to be delivered everywhere. */
  get unstableCount(): number {
    return this.#causal?.unstableCount ?? 0;
  }

  get contextBytes(): number {
    return this.#causal?.contextBytes ?? 0;
  }

  /** Multicasts a payload in causal order to the view; buffers it while the view is changing. */
  cast(payload: Uint8Array): void {
    const { local, transport } = this.#collaborators;
    if (!local.inView || this.#causal === undefined || this.#causal.stopped) {
      this.#backlog.push(payload);
      if (this.#backlog.length > BACKLOG_MAX) this.#backlog.shift();
      return;
    }
    const cast = this.#causal.send(payload);
    for (const member of local.others()) transport.sendOrdered(member, { case: 'cast', value: cast });
  }

  receive(cast: Cast): void {
    const viewNumber = this.#collaborators.local.view?.number ?? 0;
    if (cast.view > viewNumber) {
      this.#earlyCasts.push(cast);
      if (this.#earlyCasts.length > EARLY_CASTS_MAX) this.#earlyCasts.shift();
      return;
    }
    this.#causal?.receive(cast);
  }

  /** How many casts of each member were delivered here, by rank. */
  delivered(): number[] {
    return [...(this.#causal?.delivered ?? [])];
  }

  /** How many casts of each member were delivered everywhere, by rank. */
  stable(): number[] {
    return [...(this.#causal?.stable ?? [])];
  }

  /** Records the delivery counts in a heartbeat from a member of this view. */
  onHeartbeat(from: string, heartbeat: Heartbeat): void {
    this.#causal?.learnDelivered(from, heartbeat.delivered);
    this.#causal?.learnStable(heartbeat.stable);
  }

  /** Ends delivery in this view and returns the casts that other members may lack. */
  stop(): Cast[] {
    return this.#causal?.stop() ?? [];
  }

  /** Delivers the casts that were agreed to end this view. */
  finish(flushedCasts: readonly Cast[]): void {
    this.#causal?.finish(flushedCasts);
  }

  /** Starts the causal order of a new view. */
  enter(view: View): void {
    this.#causal = new CausalOrder(view, this.#collaborators.local.incarnation, (cast) =>
      this.#deliver(view, cast),
    );
  }

  /** Receives the casts and sends the payloads that were buffered for the view. */
  releaseBuffered(): void {
    const early = this.#earlyCasts;
    this.#earlyCasts = [];
    for (const cast of early) this.receive(cast);
    const backlog = this.#backlog;
    this.#backlog = [];
    for (const payload of backlog) this.cast(payload);
  }

  clear(): void {
    this.#causal = undefined;
  }

  #deliver(view: View, cast: Cast): void {
    const sender = view.members[rankOf(view, cast.sender)];
    if (sender !== undefined) this.#collaborators.dependencies.listener.onCast(sender, cast.payload);
  }
}
