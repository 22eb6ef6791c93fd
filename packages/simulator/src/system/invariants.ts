/** Invariants that are checked while a simulated system runs and at its end. */
import type { EdgeReplica } from '@rainrun/cluster-node';
import { withoutApiKeys, type Deployment } from '@rainrun/configuration';
import type { VirtualTime } from '../world.js';
import { canonicalText, changeIdOf, patchDocument, type Document } from './configuration.js';
import type { Demand } from './demand.js';
import type { Expectations } from './expectations.js';
import type { ChangeOrder, Read } from './history.js';
import { checkLinearizable } from './linearizability.js';
import type { Machine, Process } from './machine.js';
import type { Network } from './network.js';
import type { OperatorClient } from './operator-client.js';
import { LEASE_MS } from './processes.js';
import { BOUNDS, type SystemSize } from './size.js';
import type { WorkerCalls } from './worker-calls.js';
import type { WorkerPool } from './workers.js';
import { checkZones } from './zone-history.js';

const PROBE_INTERVAL_MS = 50;

/** The parts of the system that the checks read. */
export interface InvariantContext {
  readonly time: VirtualTime;
  readonly size: SystemSize;
  readonly network: Network;
  readonly workers: WorkerPool;
  readonly workerCalls: WorkerCalls;
  readonly demand: Demand;
  readonly operators: OperatorClient;
  readonly expectations: Expectations;
  readonly cores: readonly Machine[];
  readonly edges: readonly Machine[];
  breach(rule: string, detail: string): void;
}

/**
 * Checks all machines every 50 ms, and once more at the end, when no fault is active.
 * @example
 * invariants.open();
 */
export class Invariants {
  #context: InvariantContext;
  /** Time at which a core was last disturbed. */
  #disturbedMs = 0;
  /** First observation of the state that each change wrote, on a core and on an edge. */
  #firstSeen = new Map<string, { readonly read: Read; readonly text: string }>();
  #seenStates = new WeakSet<Deployment>();

  constructor(context: InvariantContext) {
    this.#context = context;
  }

  start(): void {
    this.#context.time.after(PROBE_INTERVAL_MS, () => this.start());
    this.#probe();
  }

  /** Restarts the time bounds for a machine, and for all machines if it is a core. */
  recordDisturbance(machine: Machine): void {
    const nowMs = this.#context.time.nowMs();
    if (machine.running !== undefined) machine.running.undisturbedSinceMs = nowMs;
    if (machine.disk !== undefined) this.#disturbedMs = nowMs;
  }

  /** Whether no core was disturbed for `contactMs` and more than half of the cores reach a majority. */
  settled(): boolean {
    return (
      this.#context.time.nowMs() - this.#disturbedMs > BOUNDS.contactMs &&
      this.#coresWithMajority().length > this.#context.size.cores / 2
    );
  }

  /** Running cores that reach more than half of the cores in both directions. */
  #coresWithMajority(): Machine[] {
    const { cores, network, size } = this.#context;
    const up = cores.filter((core) => core.running?.frozen === false);
    return up.filter((core) => {
      const met = up.filter((other) => other === core || !network.isCutEitherWay(core.name, other.name));
      return met.length > size.cores / 2;
    });
  }

  #probe(): void {
    const majorityCores = this.#coresWithMajority();
    const settled = this.settled();
    for (const core of this.#context.cores) this.#probeCore(core, majorityCores, settled);
    for (const edge of this.#context.edges) this.#probeEdge(edge, majorityCores, settled);
    this.#probeShares();
    this.#probeHolders();
    if (settled) this.#probeOrders();
  }

  #probeCore(core: Machine, majorityCores: readonly Machine[], settled: boolean): void {
    this.#checkEditionMonotonic(core);
    const { running } = core;
    if (running?.replica === undefined || running.frozen) return;
    const nowMs = this.#context.time.nowMs();
    if (!majorityCores.includes(core)) running.undisturbedSinceMs = nowMs;
    const { state, group } = running.replica;
    if (group.singletonEpoch() !== undefined)
      this.#checkMissing('leads with old state', core, state, nowMs - LEASE_MS);
    if (settled && nowMs - running.undisturbedSinceMs > BOUNDS.contactMs)
      this.#checkMissing('core behind', core, state, nowMs - BOUNDS.applyMs);
  }

  #checkMissing(rule: string, machine: Machine, state: Deployment, beforeMs: number): void {
    const lack = this.#context.expectations.findMissing(state, beforeMs, isEdge(machine));
    if (lack !== undefined) this.#context.breach(rule, `${machine.name}: ${lack}`);
  }

  #probeEdge(edge: Machine, majorityCores: readonly Machine[], settled: boolean): void {
    this.#checkEditionMonotonic(edge);
    const { running } = edge;
    if (running?.follower === undefined || running.frozen) return;
    const nowMs = this.#context.time.nowMs();
    const { network } = this.#context;
    const reached =
      majorityCores.length > 0 &&
      majorityCores.every((core) => !network.isCutEitherWay(core.name, edge.name));
    if (!reached) running.undisturbedSinceMs = nowMs;
    if (!settled || nowMs - running.undisturbedSinceMs <= BOUNDS.contactMs) return;
    this.#checkMissing('applied in time', edge, running.follower.state, nowMs - BOUNDS.applyMs);
    this.#probeDrains(edge, running.follower);
  }

  #probeDrains(edge: Machine, follower: EdgeReplica): void {
    const { time, workers } = this.#context;
    for (const worker of follower.workers.values()) {
      const { listFailedMs } = this.#context.workerCalls;
      const sinceMs = Math.max(
        workers.leavingSince(worker.id),
        this.#disturbedMs + BOUNDS.contactMs,
        listFailedMs,
      );
      if (!worker.draining && time.nowMs() - sinceMs > BOUNDS.drainMs)
        this.#context.breach('drain', `${edge.name} may still send to ${worker.id}`);
    }
  }

  /**
   * Checks that no edge divides a shared budget, such as the one for retries, by fewer edges than are
   * running.
   */
  #probeShares(): void {
    const nowMs = this.#context.time.nowMs();
    const steady = this.#context.edges.filter(
      ({ running }) =>
        running !== undefined && !running.frozen && nowMs - running.undisturbedSinceMs > BOUNDS.contactMs,
    );
    for (const { name, running } of steady) {
      const edges = running?.follower?.edgeCount ?? 0;
      if (edges < steady.length)
        this.#context.breach('share', `${name} divides by ${edges} where ${steady.length} edges are at work`);
    }
  }

  #probeHolders(): void {
    const holders = this.#context.cores.filter(
      (core) => core.running?.frozen === false && core.running.replica?.group.singletonEpoch() !== undefined,
    );
    if (holders.length > 1)
      this.#context.breach(
        'one holder',
        `${holders.map((core) => core.name).join(' and ')} both have the duty`,
      );
  }

  /** Checks that orders are answered in time, unless answers are being lost. */
  #probeOrders(): void {
    const { operators, time } = this.#context;
    if (operators.answerLossRatio > 0) return;
    for (const order of operators.pendingOrders) {
      const sinceMs = Math.max(
        order.createdMs,
        this.#disturbedMs + BOUNDS.contactMs,
        operators.answerLossChangedMs,
      );
      if (time.nowMs() - sinceMs > BOUNDS.ackMs)
        this.#context.breach('late answer', `${order.request.kind} of ${order.createdMs.toFixed(0)}`);
    }
  }

  #checkEditionMonotonic(machine: Machine): void {
    const { running } = machine;
    const state = stateOf(running);
    if (running === undefined || state === undefined) return;
    if (state.edition < running.edition)
      this.#context.breach(
        'never back',
        `${machine.name} went from edition ${running.edition} to ${state.edition}`,
      );
    running.edition = state.edition;
    this.#observe(machine, state);
  }

  /**
   * Records the first observation of each state. A state on any node was decided and so belongs to the
   * history. Its time of effect is open: a core may hold it before its operator or any reader gets an answer.
   */
  #observe(machine: Machine, state: Deployment): void {
    if (this.#seenStates.has(state) || state.document === undefined) return;
    this.#seenStates.add(state);
    const text = canonicalText(state.document);
    const key = firstSeenKey(machine, changeIdOf(state.revision, state.document) ?? '');
    const known = this.#firstSeen.get(key);
    if (known !== undefined && known.text !== text)
      this.#context.breach('one document', `${machine.name} holds another document under ${key}`);
    if (known !== undefined) return;
    const read = this.#readOf(machine, state, -Infinity, Infinity);
    this.#firstSeen.set(key, { read, text });
  }

  #readOf(machine: Machine, state: Deployment, invokedMs: number, respondedMs: number): Read {
    return {
      reader: machine.name,
      invokedMs,
      respondedMs,
      revision: state.revision,
      changeId: changeIdOf(state.revision, state.document),
    };
  }

  /**
   * Checks what must hold once no fault is active: every node has the acknowledged state, the cores have a
   * coordinator and all voters, and every model in demand is served.
   */
  checkEnd(): void {
    const { cores, edges, size } = this.#context;
    for (const machine of [...cores, ...edges]) this.#checkMachine(machine);
    const leads = cores.some((core) => core.running?.replica?.group.singletonEpoch() !== undefined);
    if (!leads) this.#context.breach('recovers', 'no core has the duty');
    const wanted = Math.min(2 * size.lossesBorne + 1, cores.filter((core) => !core.removed).length);
    const voters = countVoters(cores);
    if (voters < wanted) this.#context.breach('recovers', `${voters} voters, wanted ${wanted}`);
    for (const order of this.#context.operators.pendingOrders)
      this.#context.breach('late answer', `${order.request.kind} is not answered`);
    this.#checkDemand();
    this.#checkHistory();
  }

  #checkMachine(machine: Machine): void {
    const { running } = machine;
    const { breach } = this.#context;
    if (running === undefined) {
      if (!machine.removed) breach('end', `${machine.name} does not run`);
      return;
    }
    const state = stateOf(running);
    if (state !== undefined) this.#checkMissing('acknowledged stays', machine, state, Infinity);
    const { replica, follower } = running;
    if (replica?.group.holdsLease() === false)
      breach('recovers', `${machine.name} is not in a group with a majority`);
    if (follower !== undefined) this.#checkKeys(machine.name, follower);
    if (follower?.ready === false) breach('recovers', `${machine.name} is not ready`);
    if (follower?.hasMajorityContact === false)
      breach('recovers', `${machine.name} hears no core with a majority`);
  }

  /** Checks that an edge maps each API key of the acknowledged configuration to its tenant. */
  #checkKeys(edge: string, follower: EdgeReplica): void {
    const { revision, document } = this.#context.expectations.acked;
    if (document === undefined || follower.state.revision !== revision) return;
    const { tenants } = JSON.parse(document) as { readonly tenants: readonly SampleTenant[] };
    for (const { name, apiKeys } of tenants)
      for (const apiKey of apiKeys)
        if (follower.tenants?.tenantByKey(apiKey)?.name !== name)
          this.#context.breach('keys', `${edge} does not know a key of ${name}`);
  }

  #checkDemand(): void {
    const { demand, edges } = this.#context;
    for (const need of demand.needs) {
      const what = need.adapter === '' ? need.model : `${need.model}/${need.adapter}`;
      for (const edge of edges)
        if (!demand.isServed(edge, need))
          this.#context.breach('placed', `${edge.name} knows no worker with ${what}`);
    }
  }

  /**
   * Checks that the operators' history, with all observed and all current states as reads, is linearizable.
   */
  #checkHistory(): void {
    const { operators, cores, edges, time } = this.#context;
    const nowMs = time.nowMs();
    const last = [...cores, ...edges].flatMap((machine) => {
      const state = stateOf(machine.running);
      return state === undefined ? [] : [this.#readOf(machine, state, nowMs, nowMs)];
    });
    const seen = [...this.#firstSeen.values()].map(({ read }) => read);
    const reads = [...operators.reads, ...seen, ...last];
    const { violations, chain } = checkLinearizable({ changes: operators.changes, reads });
    for (const violation of violations) this.#context.breach('linearizable', violation);
    if (violations.length === 0) this.#checkDocuments(chain);
    this.#checkZones(nowMs);
  }

  /** Checks that every observed document equals the one that the chain of changes produces. */
  #checkDocuments(chain: readonly ChangeOrder[]): void {
    const { operators } = this.#context;
    let document: Document = {};
    for (const change of chain) {
      const request = operators.requestOf(change);
      if (request?.kind === 'put') ({ document } = request);
      if (request?.kind === 'patch') document = patchDocument(document, request.patch);
      this.#checkDocument(change.id, 'core', document);
      this.#checkDocument(change.id, 'edge', withoutApiKeys(document));
    }
  }

  #checkDocument(changeId: string, kind: NodeKind, document: Document): void {
    const seen = this.#firstSeen.get(`${kind} ${changeId}`);
    if (seen === undefined || seen.text === canonicalText(document)) return;
    this.#context.breach(
      'one document',
      `${seen.read.reader} holds another document than change ${changeId} makes`,
    );
  }

  #checkZones(atMs: number): void {
    const { operators, cores, edges, size } = this.#context;
    const reads = [...cores, ...edges].flatMap((machine) => {
      const state = stateOf(machine.running);
      if (state === undefined) return [];
      return size.zones.map((zone) => ({
        reader: machine.name,
        zone,
        atMs,
        evacuated: state.evacuated.includes(zone),
      }));
    });
    for (const violation of checkZones(operators.zoneOrders, reads))
      this.#context.breach('evacuations', violation);
  }
}

interface SampleTenant {
  readonly name: string;
  readonly apiKeys: readonly string[];
}

type NodeKind = 'core' | 'edge';

function isEdge({ disk }: Machine): boolean {
  return disk === undefined;
}

/** Key of an observed state by kind of node, as edges hold documents without API keys. */
function firstSeenKey(machine: Machine, changeId: string): string {
  const kind: NodeKind = isEdge(machine) ? 'edge' : 'core';
  return `${kind} ${changeId}`;
}

function stateOf(running: Process | undefined): Deployment | undefined {
  return running?.replica?.state ?? running?.follower?.state;
}

/** Returns the largest number of voters that any core has in its state. */
export function countVoters(cores: readonly Machine[]): number {
  return Math.max(0, ...cores.map((core) => core.running?.replica?.group.state?.voters.length ?? 0));
}
