import { setTimeout as pause } from 'node:timers/promises';
import type { LoadGenerator, LoadReport, Seen } from '@rainrun/load-generator';
import type { Fleet, FleetNode } from './fleet.js';
import type { LinkCut, Relay } from './relay.js';

/** One step of a trial: its name in the report, and the action, which returns a fault or undefined. */
interface TrialStep {
  readonly name: string;
  readonly run: () => Promise<string | undefined>;
}

/** Result of a trial: the faults found, and one report line per step. */
export interface TrialReport {
  readonly faults: string[];
  readonly lines: string[];
}

const RECOVERY_LIMIT_MS = 12_000;
const SETTLE_MS = 1500;
const CUT_MS = 5000;

/**
 * Causes failures one after the other on a running fleet under load, and checks after each one that the fleet
 * recovers.
 * @example
 * const report = await new Trial(fleet, loadGenerator).run();
 */
export class Trial {
  #fleet: Fleet;
  #relay: Relay | undefined;
  #loadGenerator: LoadGenerator;
  #lines: string[] = [];
  #faults: string[] = [];
  #plannedStops: { edge: string; fromMs: number; toMs: number }[] = [];

  /** `runCuts` needs the relay that connects the nodes of the fleet. */
  constructor(fleet: Fleet, loadGenerator: LoadGenerator, relay?: Relay) {
    this.#relay = relay;
    this.#fleet = fleet;
    this.#loadGenerator = loadGenerator;
  }

  /** Rolls the fleet, node by node, to the given build and back to the build that it was started from. */
  async runRollOut(build: string): Promise<TrialReport> {
    const from = this.#fleet.build;
    for (const [name, to] of [
      ['to the other build', build],
      ['and back', from],
    ] as const) {
      const beganMs = performance.now();
      this.#fleet.build = to;
      const fault = await this.#rollOut(true);
      const view = await this.#fleet.ask(this.#fleet.nodes[0]?.http ?? '', 'GET', '/rainrun/v1/view');
      const { level = 1 } = view.body as { level?: number };
      this.#lines.push(
        `${name.padEnd(46)} ${(performance.now() - beganMs).toFixed(0).padStart(6)} ms  ${fault ?? 'well'}, at level ${level}`,
      );
      if (fault !== undefined) this.#faults.push(`${name}: ${fault}`);
    }
    return { faults: this.#faults, lines: this.#lines };
  }

  run(): Promise<TrialReport> {
    return this.#runSteps(this.#failureSteps());
  }

  /** Cuts and slows links between nodes, replaces the cores, changes the seeds, and takes a zone down. */
  runCuts(): Promise<TrialReport> {
    const { nodes, edges } = this.#fleet;
    const cores = new Set(nodes.filter((node) => node.core).map((node) => node.name));
    const [core = '', other = ''] = [...cores];
    const edge = edges[0]?.name ?? '';
    function cutBetween(one: string, two: string): LinkCut {
      return (from, to) => (from === one && to === two) || (from === two && to === one);
    }
    return this.#runSteps([
      {
        name: 'cut an edge off',
        run: () => this.#cutFor((from, to) => (from === edge) !== (to === edge), [edge]),
      },
      {
        name: 'cut a core off',
        run: () => this.#cutFor((from, to) => (from === core) !== (to === core), [core]),
      },
      { name: 'an edge can hear but not speak', run: () => this.#cutFor((from) => from === edge, [edge]) },
      { name: 'a core can speak but not hear', run: () => this.#cutFor((_, to) => to === other, [other]) },
      {
        name: 'cut the core in two',
        run: () =>
          this.#cutFor(
            (from, to) => cores.has(from) && cores.has(to) && (from === core) !== (to === core),
            [],
            [core],
          ),
      },
      { name: 'cut two cores apart', run: () => this.#cutFor(cutBetween(core, other), [], [core, other]) },
      {
        name: 'cut the core off from the edges',
        run: () => this.#cutFor((from, to) => cores.has(from) !== cores.has(to), [...cores]),
      },
      { name: 'slow and lossy links for 8 s', run: () => this.#slowLinks() },
      { name: 'each core replaced by an empty one, in turn', run: () => this.#replaceCores() },
      { name: 'other seeds for whoever restarts', run: () => this.#changeSeeds() },
      { name: 'a zone lost with its nodes and workers', run: () => this.#loseZone() },
    ]);
  }

  /**
   * Holds a cut for `CUT_MS`, checks which nodes admit requests meanwhile, and waits for recovery. Every node
   * must admit except those in `nonAdmitting`, which must not. Nodes in `exempt` may do either, since the
   * coordinator may be unable to reach them and drop them from the view.
   */
  async #cutFor(
    cut: LinkCut,
    nonAdmitting: readonly string[],
    exempt: readonly string[] = [],
  ): Promise<string | undefined> {
    this.#relay?.cut(cut);
    await pause(CUT_MS);
    const unexpected: string[] = [];
    for (const node of this.#fleet.nodes) {
      const { status } = await this.#fleet.ask(node.http, 'GET', '/rainrun/v1/ready');
      const admits = status === 200;
      if (exempt.includes(node.name)) continue;
      if (admits === nonAdmitting.includes(node.name))
        unexpected.push(`${node.name} ${admits ? 'admits' : 'does not admit'}`);
    }
    this.#relay?.heal();
    const fault = await this.#waitForRecovery();
    return fault ?? (unexpected.length > 0 ? unexpected.join(', ') : undefined);
  }

  /** Delays each chunk by up to 39 ms, and one in fifty by 200 ms more, as if it was lost and sent again. */
  async #slowLinks(): Promise<string | undefined> {
    let turn = 0;
    this.#relay?.delay(() => {
      turn += 1;
      return (turn % 40) + (turn % 50 === 0 ? 200 : 0);
    });
    await pause(8000);
    const meanwhile = await this.#unmetCondition();
    this.#relay?.heal();
    return meanwhile === '' ? this.#waitForRecovery() : `while slow: ${meanwhile}`;
  }

  async #replaceCores(): Promise<string | undefined> {
    for (const node of this.#fleet.nodes.filter((known) => known.core)) {
      this.#fleet.signal(node.name, 'SIGKILL');
      await this.#fleet.waitForExit(node.name);
      await this.#fleet.replaceMachine(node);
      this.#fleet.startNode(node);
      const fault = (await this.#waitForRecovery()) ?? (await this.#waitForVoter(node));
      if (fault !== undefined) return `${node.name}: ${fault}`;
    }
    return undefined;
  }

  /** Waits until the node is a voter with its current disk; a replaced machine has a new disk. */
  async #waitForVoter(node: FleetNode): Promise<string | undefined> {
    const endMs = performance.now() + RECOVERY_LIMIT_MS;
    while (performance.now() < endMs) {
      const { body } = await this.#fleet.ask(node.http, 'GET', '/rainrun/v1/view');
      const { voters = [], disk } = body as { voters?: { name: string; disk: string }[]; disk?: string };
      if (voters.some((voter) => voter.name === node.name && voter.disk === disk)) return undefined;
      await pause(100);
    }
    return 'is no voter again';
  }

  async #changeSeeds(): Promise<string | undefined> {
    const { edges, nodes } = this.#fleet;
    this.#fleet.setSeeds(edges.slice(0, 3));
    const restarting = [edges.at(-1), nodes[0]].filter((node) => node !== undefined);
    await Promise.all(restarting.map((node) => this.#restart(node, 'SIGKILL')));
    const fault = await this.#waitForRecovery();
    for (const node of restarting) this.#loadGenerator.setDown(node.http, false);
    return fault;
  }

  async #loseZone(): Promise<string | undefined> {
    const { nodes, platform } = this.#fleet;
    const zone = nodes[1]?.zone ?? '';
    const lost = nodes.filter((node) => node.zone === zone);
    const { body } = await this.#fleet.ask(platform, 'GET', '/workers');
    const workers = (body as { workers: { name: string; zone: string }[] }).workers.filter(
      (worker) => worker.zone === zone,
    );
    for (const node of lost) this.#loadGenerator.setDown(node.http, true);
    for (const node of lost) this.#fleet.signal(node.name, 'SIGKILL');
    await Promise.all(workers.map((worker) => this.#setWorker(worker.name, 'crash', 0)));
    await Promise.all(lost.map((node) => this.#fleet.waitForExit(node.name)));
    await pause(6000);
    for (const node of lost) this.#fleet.startNode(node);
    await Promise.all(workers.map((worker) => this.#setWorker(worker.name, 'return', 0)));
    const fault = await this.#waitForRecovery();
    for (const node of lost) this.#loadGenerator.setDown(node.http, false);
    return fault;
  }

  async #runSteps(steps: readonly TrialStep[]): Promise<TrialReport> {
    for (const step of steps) {
      const beganMs = performance.now();
      const fault = await step.run();
      const tookMs = performance.now() - beganMs;
      this.#lines.push(`${step.name.padEnd(46)} ${tookMs.toFixed(0).padStart(6)} ms  ${fault ?? 'well'}`);
      if (fault !== undefined) this.#faults.push(`${step.name}: ${fault}`);
      await pause(SETTLE_MS);
    }
    return { faults: this.#faults, lines: this.#lines };
  }

  /** Lists the requests at an edge that lost their answer during a planned stop, which must lose none. */
  lostInPlannedStops(report: LoadReport): string[] {
    const lost: string[] = [];
    for (const seen of report.seen) {
      if (seen.outcome !== 'cut' && seen.outcome !== 'no-answer') continue;
      if (this.#plannedStops.some((stop) => stop.edge === seen.edge && overlaps(seen, stop)))
        lost.push(`${seen.id} at ${seen.edge}: ${seen.outcome}`);
    }
    return lost;
  }

  #failureSteps(): TrialStep[] {
    const { edges, nodes } = this.#fleet;
    const [first, second] = edges;
    const zone = nodes[1]?.zone ?? '';
    if (first === undefined || second === undefined) return [];
    return [
      { name: 'kill the coordinator, start it again', run: () => this.#killCoordinator() },
      { name: 'kill an edge, start it again', run: () => this.#killNode(second) },
      { name: 'freeze an edge for 3 s', run: () => this.#freeze(first) },
      { name: 'freeze the coordinator for 4 s', run: () => this.#freezeCoordinator() },
      { name: 'a worker goes dark, another crashes; both return', run: () => this.#breakWorkers() },
      { name: 'a worker is marked as leaving', run: () => this.#setWorker('worker-3', 'leave', 5000) },
      { name: 'a worker talks nonsense, ends early, says too much', run: () => this.#sendFaultyAnswers() },
      { name: `empty zone ${zone} for 7 s, restore it`, run: () => this.#emptyZone(zone) },
      { name: 'kill every core, start them again', run: () => this.#killCores() },
      { name: 'stop and start every node in turn', run: () => this.#rollOut(true) },
      { name: 'the same, and the visitors are not told', run: () => this.#rollOut(false) },
    ];
  }

  async #coordinator(): Promise<FleetNode | undefined> {
    for (const node of this.#fleet.nodes) {
      const { body } = await this.#fleet.ask(node.http, 'GET', '/rainrun/v1/view');
      const name = (body as { coordinator?: string | null }).coordinator;
      if (typeof name === 'string') return this.#fleet.nodes.find((known) => known.name === name);
    }
    return undefined;
  }

  /** Waits until every node admits and sees all members, and an operation is agreed. */
  async #waitForRecovery(): Promise<string | undefined> {
    const endMs = performance.now() + RECOVERY_LIMIT_MS;
    let reason = '';
    while (performance.now() < endMs) {
      reason = await this.#unmetCondition();
      if (reason === '') return undefined;
      await pause(100);
    }
    return `not back after ${RECOVERY_LIMIT_MS} ms: ${reason}`;
  }

  /** Returns the first condition of recovery that does not hold, or an empty string. */
  async #unmetCondition(): Promise<string> {
    const { nodes } = this.#fleet;
    for (const node of nodes) {
      const { status, body } = await this.#fleet.ask(node.http, 'GET', '/rainrun/v1/view');
      const view = body as { admitting?: boolean; members?: unknown[] };
      if (status !== 200) return `${node.name} does not answer`;
      if (view.admitting !== true) return `${node.name} does not admit`;
      if (view.members?.length !== nodes.length)
        return `${node.name} sees ${view.members?.length ?? 0} members`;
    }
    const [first] = nodes;
    const put = await this.#fleet.ask(first?.http ?? '', 'PATCH', '/rainrun/v1/spec', { patch: {} });
    return put.status === 200 ? '' : `nothing is agreed: ${JSON.stringify(put.body)}`;
  }

  async #restart(node: FleetNode, signal: NodeJS.Signals, announced = true): Promise<number | null> {
    if (announced) this.#loadGenerator.setDown(node.http, true);
    this.#fleet.signal(node.name, signal);
    const code = await this.#fleet.waitForExit(node.name);
    this.#fleet.startNode(node);
    return code;
  }

  async #killNode(node: FleetNode): Promise<string | undefined> {
    await this.#restart(node, 'SIGKILL');
    const fault = await this.#waitForRecovery();
    this.#loadGenerator.setDown(node.http, false);
    return fault;
  }

  async #killCoordinator(): Promise<string | undefined> {
    const node = await this.#coordinator();
    return node === undefined ? 'no coordinator' : this.#killNode(node);
  }

  async #freeze(node: FleetNode, waitMs = 3000): Promise<string | undefined> {
    this.#fleet.signal(node.name, 'SIGSTOP');
    await pause(waitMs);
    this.#fleet.signal(node.name, 'SIGCONT');
    return this.#waitForRecovery();
  }

  async #freezeCoordinator(): Promise<string | undefined> {
    const node = await this.#coordinator();
    return node === undefined ? 'no coordinator' : this.#freeze(node, 4000);
  }

  async #setWorker(name: string, action: string, waitMs: number): Promise<undefined> {
    await this.#fleet.ask(this.#fleet.platform, 'POST', `/act/${name}/${action}`);
    await pause(waitMs);
    return undefined;
  }

  async #breakWorkers(): Promise<string | undefined> {
    await this.#setWorker('worker-1', 'dark', 0);
    await this.#setWorker('worker-2', 'crash', 4000);
    await this.#setWorker('worker-1', 'crash', 0);
    await this.#setWorker('worker-1', 'return', 0);
    await this.#setWorker('worker-2', 'return', 0);
    return this.#waitForRecovery();
  }

  async #sendFaultyAnswers(): Promise<string | undefined> {
    for (const answerMode of ['nonsense', 'early', 'more', 'well'])
      await this.#setWorker('worker-4', answerMode, 1000);
    return this.#waitForRecovery();
  }

  async #emptyZone(zone: string): Promise<string | undefined> {
    const [first, other] = this.#fleet.edges;
    const emptied = await this.#fleet.ask(first?.http ?? '', 'POST', `/rainrun/v1/zones/${zone}/empty`, {});
    if (emptied.status !== 200) return `not emptied: ${JSON.stringify(emptied.body)}`;
    const { body } = await this.#fleet.ask(this.#fleet.platform, 'GET', '/workers');
    const names = (body as { workers: { name: string; zone: string }[] }).workers
      .filter((worker) => worker.zone === zone)
      .map((worker) => worker.name);
    await Promise.all(names.map((name) => this.#setWorker(name, 'emptied', 0)));
    await pause(7000);
    await Promise.all(names.map((name) => this.#setWorker(name, 'restored', 0)));
    const restored = await this.#fleet.ask(
      other?.http ?? '',
      'POST',
      `/rainrun/v1/zones/${zone}/restore`,
      {},
    );
    return restored.status === 200
      ? this.#waitForRecovery()
      : `not restored: ${JSON.stringify(restored.body)}`;
  }

  async #killCores(): Promise<string | undefined> {
    const cores = this.#fleet.nodes.filter((node) => node.core);
    await Promise.all(cores.map((node) => this.#restart(node, 'SIGKILL')));
    return this.#waitForRecovery();
  }

  /**
   * Restarts each node in turn, as a planned roll-out does. If `announced`, the load generator stops sending
   * to the node first, as a platform does that takes an edge out of rotation.
   */
  async #rollOut(announced: boolean): Promise<string | undefined> {
    for (const node of this.#fleet.nodes) {
      const fromMs = performance.now() - SETTLE_MS;
      const code = await this.#restart(node, 'SIGTERM', announced);
      this.#plannedStops.push({ edge: node.http, fromMs, toMs: performance.now() });
      if (code !== 0) return `${node.name} ended with ${code ?? 'a signal'}`;
      const fault = await this.#waitForRecovery();
      this.#loadGenerator.setDown(node.http, false);
      if (fault !== undefined) return `${node.name}: ${fault}`;
    }
    return undefined;
  }
}

function overlaps(seen: Seen, stop: { fromMs: number; toMs: number }): boolean {
  return seen.beganMs < stop.toMs && seen.beganMs + seen.wholeMs > stop.fromMs;
}
