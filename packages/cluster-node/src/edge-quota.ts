/** Quotas on an edge: draws to the cores that allocate, and their grants. Platform family. */
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

/** What quotas on an edge need of its replica. */
export interface EdgeQuotaDependencies {
  readonly deployment: string;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly bounds: QuotaBounds;
  readonly self: Member;
  /** The limit of a tenant in the configuration in force here; undefined for one that is not known. */
  limitOf(tenant: string): Pick<TenantLimit, 'burst'> | undefined;
  send(address: string, frame: Frame): void;
}

/**
 * Permits for the requests of one edge.
 * @example
 * quotas.onStateUpdate(update); // learns which cores there are
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

  /** Learns the newest view of the cores from an update that tells it. */
  onStateUpdate({ cores, viewEpoch, viewNumber }: StateUpdate): void {
    if (cores.length === 0 || viewNumber === 0) return;
    this.#client.learnView({ epoch: viewEpoch, number: viewNumber, members: cores });
  }

  /** Takes a frame that is addressed to this edge; false: it is not about quotas. */
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
