/** Tenants that send requests at every edge, and the check that none exceeds its quota over all edges together. */
import { SeededRandom } from '@rainrun/common';
import type { QuotaBounds } from '@rainrun/quotas';
import type { VirtualTime } from '../world.js';
import type { Machine, Process } from './machine.js';

/** A simulated tenant: its limit, and how much it asks for in parts of that. */
interface LoadedTenant {
  readonly name: string;
  readonly ratePerS: number;
  readonly burst: number;
  readonly demand: number;
}

/** One that asks for far too much, one near its limit, and some that ask for a part of theirs. */
const TENANTS: readonly LoadedTenant[] = [
  { name: 'hot', ratePerS: 60, burst: 6, demand: 3 },
  { name: 'near', ratePerS: 30, burst: 30, demand: 0.85 },
  { name: 'usual', ratePerS: 16, burst: 16, demand: 0.6 },
  { name: 'small', ratePerS: 3, burst: 3, demand: 0.6 },
  { name: 'smallest', ratePerS: 1, burst: 2, demand: 0.4 },
];

/** How far requests may go above the limits, with less slack than deployments have, so that an excess shows. */
export const QUOTA_BOUNDS: QuotaBounds = { windowMs: 5000, overshoot: 0.1, slack: 2 };

const STEP_MS = 20;
/** A request with a permit may wait for its worker so long before it is sent. */
const MAX_QUEUE_MS = 600;
/** No more than this part of the requests below the limit may be refused while nothing disturbs the core. */
const MAX_REFUSED_RATIO = 0.02;
/** Fewer requests than this say nothing. */
const MIN_OWED_REQUESTS = 100;
/** Refusals count once the core has been undisturbed for so long after it settled: a bucket fills in that time. */
const CALM_MS = 3000;

/** The tenants of a sample configuration. */
export function sampleTenants(): Record<string, unknown>[] {
  return TENANTS.map(({ name, ratePerS, burst }) => ({ name, apiKeys: [`key-of-${name}`], ratePerS, burst }));
}

/** What the load needs of its system. */
export interface QuotaLoadContext {
  readonly time: VirtualTime;
  readonly edges: readonly Machine[];
  settled(): boolean;
  breach(rule: string, detail: string): void;
}

/** What one tenant has sent and was refused. */
interface Tally {
  readonly sentMs: number[];
  /** An exact token bucket for the whole system: what it has no token for may be refused. */
  level: number;
  levelMs: number;
  calmOwed: number;
  calmRefused: number;
}

/**
 * Requests of tenants at all edges, in random steps of its own.
 * @example
 * const load = new QuotaLoad(7, context);
 * load.open();
 * load.checkEnd();
 */
export class QuotaLoad {
  #context: QuotaLoadContext;
  #random: SeededRandom;
  #tallies = new Map<string, Tally>();
  #calmSinceMs = Infinity;
  #sent = 0;

  constructor(seed: number, context: QuotaLoadContext) {
    this.#context = context;
    this.#random = new SeededRandom(seed);
    for (const { name } of TENANTS) this.#tallies.set(name, newTally());
  }

  /** Requests sent to workers by all edges. */
  get sent(): number {
    return this.#sent;
  }

  /** Begins to send, until the end of the simulation. */
  start(): void {
    this.#context.time.after(STEP_MS, () => this.start());
    const nowMs = this.#context.time.nowMs();
    if (!this.#context.settled()) this.#calmSinceMs = nowMs;
    for (const tenant of TENANTS) this.#step(tenant);
  }

  /** Nobody below its limit was refused much while nothing disturbed the core. */
  checkEnd(): void {
    for (const { name, demand } of TENANTS) {
      const { calmOwed, calmRefused } = this.#tallyOf(name);
      if (demand >= 1 || calmOwed < MIN_OWED_REQUESTS || calmRefused <= MAX_REFUSED_RATIO * calmOwed)
        continue;
      this.#context.breach('refused below quota', `${name}: ${calmRefused} of ${calmOwed}`);
    }
  }

  #step({ name, ratePerS, demand }: LoadedTenant): void {
    const chance = (ratePerS * demand * STEP_MS) / 1000;
    const requests = Math.floor(chance) + (this.#random.next() < chance % 1 ? 1 : 0);
    for (let count = 0; count < requests; count += 1) {
      const edge = this.#context.edges[Math.floor(this.#random.next() * this.#context.edges.length)];
      if (edge?.running !== undefined && !edge.running.frozen) this.#request(edge, edge.running, name);
    }
  }

  #request(edge: Machine, running: Process, tenant: string): void {
    const tally = this.#tallyOf(tenant);
    const nowMs = this.#context.time.nowMs();
    const isOwed = takeExactToken(tally, tenant, nowMs) && nowMs - this.#calmSinceMs > CALM_MS;
    if (isOwed) tally.calmOwed += 1;
    const waitMs = this.#random.next() * MAX_QUEUE_MS;
    running.follower?.permits.acquire(tenant, (answer) => {
      if (answer.kind === 'over-quota') {
        if (isOwed) tally.calmRefused += 1;
        return;
      }
      const { endMs } = answer.permit;
      const leftMs = endMs - (this.#context.time.nowMs() + running.skewMs);
      this.#context.time.after(Math.min(waitMs, Math.max(0, leftMs - 1)), () =>
        edge.runInProcess(running, () => this.#send(running, tenant, endMs)),
      );
    });
  }

  /** The first byte leaves, if the permit has not ended meanwhile, by the clock of the edge. */
  #send(running: Process, tenant: string, endMs: number): void {
    const nowMs = this.#context.time.nowMs();
    if (nowMs + running.skewMs >= endMs) return;
    this.#sent += 1;
    const { sentMs } = this.#tallyOf(tenant);
    sentMs.push(nowMs);
    while ((sentMs[0] ?? nowMs) <= nowMs - QUOTA_BOUNDS.windowMs) sentMs.shift();
    const most = maxInWindow(tenant);
    if (sentMs.length > most) this.#context.breach('quota', `${tenant}: more than ${most} in a window`);
  }

  #tallyOf(tenant: string): Tally {
    return this.#tallies.get(tenant) ?? newTally();
  }
}

function newTally(): Tally {
  return { sentMs: [], level: 0, levelMs: 0, calmOwed: 0, calmRefused: 0 };
}

/** Takes a token of a tenant's exact bucket, if there is one. */
function takeExactToken(tally: Tally, tenant: string, nowMs: number): boolean {
  const { ratePerS = 0, burst = 0 } = TENANTS.find(({ name }) => name === tenant) ?? {};
  tally.level = Math.min(burst, tally.level + (ratePerS * (nowMs - tally.levelMs)) / 1000);
  tally.levelMs = nowMs;
  if (tally.level < 1) return false;
  tally.level -= 1;
  return true;
}

/** The bound of the rule, written apart from the program's own code. */
function maxInWindow(tenant: string): number {
  const { ratePerS = 0, burst = 0 } = TENANTS.find(({ name }) => name === tenant) ?? {};
  return (
    ((ratePerS * QUOTA_BOUNDS.windowMs) / 1000 + burst) * (1 + QUOTA_BOUNDS.overshoot) + QUOTA_BOUNDS.slack
  );
}
