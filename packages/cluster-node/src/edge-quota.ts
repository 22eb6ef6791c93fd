/** Quotas on an edge: sends draws to the cores that allocate, and takes their grants. Platform family. */
import { newFrame, type Frame, type Member, type StateUpdate } from '@rainrun/messages';
import type { Clock, RandomSource } from '@rainrun/common';
import {
  QuotaClient,
  ShardedPermits,
  shardCount,
  type PermitSource,
  type TenantLimit,
  type QuotaBounds,
} from '@rainrun/quotas';

/** Collaborators and settings that the edge's replica supplies. */
export interface EdgeQuotaDependencies {
  readonly deployment: string;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly bounds: QuotaBounds;
  readonly self: Member;
  /** The limit of a tenant in the configuration in force here; undefined for an unknown tenant. */
  limitOf(tenant: string): Pick<TenantLimit, 'burst'> | undefined;
  send(address: string, frame: Frame): void;
}

/**
 * Obtains permits for the requests that one edge routes.
 * @example
 * quotas.onStateUpdate(update); // learns the cores of the view
 * quotas.permits.acquire('tenant-1', (answer) => proceed(answer));
 */
export class EdgeQuota {
  #dependencies: EdgeQuotaDependencies;
  #client: QuotaClient;
  #permits: ShardedPermits;

  constructor(dependencies: EdgeQuotaDependencies) {
    const { clock, chance, bounds, self } = dependencies;
    this.#dependencies = dependencies;
    this.#client = new QuotaClient({
      clock,
      chance,
      bounds,
      self: () => self,
      send: (to, draw) => this.#send(to, { case: 'quotaDraw', value: draw }),
    });
    this.#permits = new ShardedPermits({
      clock,
      chance,
      source: this.#client,
      shardCountOf: (tenant) => shardCount(dependencies.limitOf(tenant) ?? { burst: 0 }),
    });
  }

  get permits(): PermitSource {
    return this.#permits;
  }

  /** Learns the view of the cores from an update that includes it. */
  onStateUpdate({ cores, viewEpoch, viewNumber }: StateUpdate): void {
    if (cores.length === 0 || viewNumber === 0) return;
    this.#client.learnView({ epoch: viewEpoch, number: viewNumber, members: cores });
  }

  /** Takes a frame addressed to this edge; returns false if the frame is not about quotas. */
  receive(body: Frame['body']): boolean {
    if (body.case !== 'quotaGrant') return false;
    this.#client.receive(body.value, this.#dependencies.clock.nowMs());
    return true;
  }

  tick(nowMs: number): void {
    this.#client.tick(nowMs);
    this.#permits.tick(nowMs);
  }

  #send(to: Member, body: Frame['body']): void {
    const { deployment, self, send } = this.#dependencies;
    const route = { deployment, from: self.incarnation, to: to.incarnation };
    send(to.address, newFrame(route, body));
  }
}
