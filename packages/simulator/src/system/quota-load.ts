/** Tenants that send requests at every edge, and the check that none exceeds its quota across all edges. */
import { SeededRandom } from '@rainrun/common';
import type { QuotaBounds } from '@rainrun/quotas';
import type { VirtualTime } from '../world.js';
import type { Machine, Process } from './machine.js';

/** A simulated tenant: its limit, and its demand as a fraction of that limit. */
interface LoadedTenant {
  readonly name: string;
  readonly ratePerS: number;
  readonly burst: number;
  readonly demand: number;
}

/** One tenant far above its limit, one near it, and some well below it. */
const TENANTS: readonly LoadedTenant[] = [
  { name: 'hot', ratePerS: 60, burst: 6, demand: 3 },
  { name: 'near', ratePerS: 30, burst: 30, demand: 0.85 },
  { name: 'usual', ratePerS: 16, burst: 16, demand: 0.6 },
  { name: 'small', ratePerS: 3, burst: 3, demand: 0.6 },
  { name: 'smallest', ratePerS: 1, burst: 2, demand: 0.4 },
];

/**
 * Permitted overshoot of the limits, with less slack than in deployments, so that the check detects an
 * excess.
 */
export const QUOTA_BOUNDS: QuotaBounds = { windowMs: 5000, overshoot: 0.1, slack: 2 };

const STEP_MS = 20;
/** Maximum time that a request with a permit waits for its worker before it is sent. */
const MAX_QUEUE_MS = 600;
/** Maximum ratio of refusals among the requests within the limit while no core is disturbed. */
const MAX_REFUSED_RATIO = 0.02;
/** Minimum number of requests for which the ratio of refusals is checked. */
const MIN_OWED_REQUESTS = 100;
/** Refusals count once the cores have been settled for this long, in which a token bucket fills. */
const CALM_MS = 3000;

/** Returns the tenants of a sample configuration. */
export function sampleTenants(): Record<string, unknown>[] {
  return TENANTS.map(({ name, ratePerS, burst }) => ({ name, apiKeys: [`key-of-${name}`], ratePerS, burst }));
}

/** The parts of the system that the load uses. */
export interface QuotaLoadContext {
  readonly time: VirtualTime;
  readonly edges: readonly Machine[];
  settled(): boolean;
  breach(rule: string, detail: string): void;
}

/** Requests that one tenant sent, and those that were refused. */
interface Tally {
  readonly sentMs: number[];
  /** Level of an exact token bucket for the whole system; requests beyond its tokens may be refused. */
  level: number;
  levelMs: number;
  calmOwed: number;
  calmRefused: number;
}

/**
 * Sends requests of tenants at random edges, with random numbers of its own.
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

  /** Number of requests that all edges together sent to workers. */
  get sent(): number {
    return this.#sent;
  }

  /** Starts to send, until the end of the simulation. */
  start(): void {
    this.#context.time.after(STEP_MS, () => this.start());
    const nowMs = this.#context.time.nowMs();
    if (!this.#context.settled()) this.#calmSinceMs = nowMs;
    for (const tenant of TENANTS) this.#step(tenant);
  }

  /** Checks that tenants below their limit were refused little while no core was disturbed. */
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

  /** Sends the first byte unless the permit has expired by the clock of the edge. */
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

/** Takes a token from a tenant's exact bucket; false if there is none. */
function takeExactToken(tally: Tally, tenant: string, nowMs: number): boolean {
  const { ratePerS = 0, burst = 0 } = TENANTS.find(({ name }) => name === tenant) ?? {};
  tally.level = Math.min(burst, tally.level + (ratePerS * (nowMs - tally.levelMs)) / 1000);
  tally.levelMs = nowMs;
  if (tally.level < 1) return false;
  tally.level -= 1;
  return true;
}

/** Maximum number of requests in a window, computed independently of the program's own code. */
function maxInWindow(tenant: string): number {
  const { ratePerS = 0, burst = 0 } = TENANTS.find(({ name }) => name === tenant) ?? {};
  return (
    ((ratePerS * QUOTA_BOUNDS.windowMs) / 1000 + burst) * (1 + QUOTA_BOUNDS.overshoot) + QUOTA_BOUNDS.slack
  );
}
