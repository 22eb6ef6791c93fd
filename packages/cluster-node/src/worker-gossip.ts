/** Gossip of the worker list and of the states of workers among the nodes of the spec family. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  GossipTable,
  WorkerListSchema,
  WorkerStateSchema,
  type Frame,
  type GossipItem,
  type WorkerList,
} from '@rainrun/messages';
import type { Clock, RandomSource } from '@rainrun/common';
import type { SpecWorkerState } from '@rainrun/placement';
import { tryOrElse } from 'true-myth/result';
import type { WorkerDirectory } from './worker-directory.js';

const GOSSIP_INTERVAL_MS = 200;
const LIST_KEY = 'list';
const WORKER_KEY_PREFIX = 'worker/';

/** Collaborators that the node supplies to its gossip. */
export interface WorkerGossipDependencies {
  readonly clock: Clock;
  readonly chance: RandomSource;
  /** The directory that records the items received. */
  readonly directory: WorkerDirectory;
  /** Incarnations of the other members of the view. */
  peers(): readonly string[];
  /** Sends a frame to the member of this incarnation. */
  send(incarnation: string, body: Frame['body']): void;
}

/**
 * Publishes what this node learned about workers, and records what other nodes published.
 * @example
 * gossip.publishList(list);
 * gossip.tick(nowMs); // every 50 ms
 */
export class WorkerGossip {
  #dependencies: WorkerGossipDependencies;
  #table: GossipTable;
  #lastTickMs = -Infinity;
  #statesPublished = 0;

  constructor(dependencies: WorkerGossipDependencies) {
    this.#dependencies = dependencies;
    this.#table = new GossipTable(dependencies.chance, (item) => this.#onItem(item));
  }

  /** Sends gossip to the peers, at most once per GOSSIP_INTERVAL_MS. */
  tick(nowMs: number): void {
    if (nowMs - this.#lastTickMs < GOSSIP_INTERVAL_MS) return;
    this.#lastTickMs = nowMs;
    for (const { to, body } of this.#table.tick(this.#dependencies.peers()))
      this.#dependencies.send(to, body);
  }

  /** Publishes the platform's worker list; a list older than the known generation is ignored. */
  publishList(list: WorkerList): void {
    this.#table.publish(LIST_KEY, list.generation, 0, toBinary(WorkerListSchema, list));
  }

  /**
   * Publishes the state of a worker that this node orders in `epoch`, unless the same state is already
   * published.
   */
  publishState(worker: string, known: SpecWorkerState, epoch: number): void {
    this.#statesPublished += 1;
    const state = create(WorkerStateSchema, {
      worker,
      reachable: known.reachable,
      holdings: known.holdings.map(({ model, adapters }) => ({
        $typeName: 'rainrun.v1.LoadedModel' as const,
        model,
        adapters: [...adapters],
        loadNumber: known.loads.get(model) ?? 0,
      })),
    });
    const key = WORKER_KEY_PREFIX + worker;
    const item = this.#table.get(key);
    const bytes = toBinary(WorkerStateSchema, state);
    if (item !== undefined && item.major === epoch && Buffer.compare(item.value, bytes) === 0) return;
    this.#table.publish(key, epoch, this.#statesPublished, bytes);
  }

  /** Takes a gossip message; returns false for any other frame. */
  onFrame(from: string, body: Frame['body']): boolean {
    switch (body.case) {
      case 'gossipUpdate':
        this.#table.onUpdate(body.value);
        return true;
      case 'gossipDigest':
        this.#sendRepair(from, this.#table.onDigest(body.value));
        return true;
      case 'gossipRepair':
        this.#sendRepair(from, this.#table.onRepair(body.value));
        return true;
      default:
        return false;
    }
  }

  #sendRepair(to: string, repair: ReturnType<GossipTable['onDigest']>): void {
    if (repair !== undefined) this.#dependencies.send(to, { case: 'gossipRepair', value: repair });
  }

  /** Records an item; one that cannot be decoded, for example of a later version, is ignored. */
  #onItem({ key, value }: GossipItem): void {
    const { directory, clock } = this.#dependencies;
    const nowMs = clock.nowMs();
    if (key === LIST_KEY) {
      const list = tryOrElse(
        () => undefined,
        () => fromBinary(WorkerListSchema, value),
      );
      if (list.isOk) directory.setList(list.value);
    } else if (key.startsWith(WORKER_KEY_PREFIX)) {
      const state = tryOrElse(
        () => undefined,
        () => fromBinary(WorkerStateSchema, value),
      );
      if (state.isOk) directory.recordState(state.value, nowMs);
    }
  }
}
