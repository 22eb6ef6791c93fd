import { PROTOCOL_LEVELS, type ProtocolLevels } from '@rainrun/messages';
import type { FaultMode, SimWorker } from './simulation-context.js';
import type { Site, Machine } from './site.js';
import type { IsBlocked } from './world.js';
import { trialSpec } from './trial.js';

/**
 * Runs a scenario written as a text table with one column per node and one row per point in time. A cell
 * holds actions on its node or, starting with "=", expectations. Returns the expectations and invariants
 * that failed.
 * @example
 * playScript(site, `
 *   ms   | core-0 | edge-0
 *   0    | boot   | boot
 *   4000 | =leads | =admits
 * `); // []
 */
export function playScript(site: Site, drawing: string): string[] {
  const rows = drawing
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '')
    .map((line) => line.split('|').map((cell) => cell.trim()));
  const names = rows[0]?.slice(1) ?? [];
  const script = new Script(site);
  const wrong: string[] = [];
  for (const row of rows.slice(1)) {
    site.time.runUntil(Number(row[0]));
    names.forEach((name, place) => {
      const cell = row[place + 1] ?? '';
      if (cell === '') return;
      const machine = site.machines.find((known) => known.name === name);
      const worker = site.workers.find((known) => known.name === name);
      for (const part of cell.split(',').map((text) => text.trim())) {
        const fault =
          machine === undefined
            ? script.runOnWorker(worker, part)
            : part.startsWith('=')
              ? checkExpectation(machine, part.slice(1))
              : script.runOnMachine(machine, part);
        if (fault !== undefined) wrong.push(`${row[0] ?? ''} ms, ${name}: ${fault}`);
      }
    });
  }
  for (const { rule, detail, atMs } of site.oracle.breaches)
    wrong.push(`${atMs.toFixed(0)} ms: ${rule}: ${detail}`);
  return wrong;
}

/** Protocol levels of older and newer programs, by the keyword after `boot`. */
const LEVELS_BY_KEYWORD: Readonly<Record<string, ProtocolLevels>> = {
  older: { min: 1, max: 1 },
  newer: { min: 2, max: 3 },
  far: { min: 3, max: 4 },
};

class Script {
  #site: Site;
  #cuts = new Map<string, IsBlocked>();

  constructor(site: Site) {
    this.#site = site;
  }

  runOnMachine(machine: Machine, text: string): string | undefined {
    const [verb = '', word = ''] = text.split(' ');
    switch (verb) {
      case 'boot':
        machine.protocolLevels = LEVELS_BY_KEYWORD[word] ?? PROTOCOL_LEVELS;
        this.#site.boot(machine);
        return undefined;
      case 'add':
        return this.#checkSubmitted(
          this.#site.submit(machine, 'spec.edit', {
            seen: machine.running?.clusterNode.state.spec?.version ?? 0,
            edit: { add: { zones: [word] } },
          }),
        );
      case 'kill':
        this.#site.kill(machine);
        return undefined;
      case 'freeze':
        this.#site.freeze(machine, Number(word));
        return undefined;
      case 'stall':
        if (machine.disk !== undefined) machine.disk.stallUntilMs = this.#site.time.nowMs() + Number(word);
        return undefined;
      case 'full':
      case 'free':
        if (machine.disk !== undefined) machine.disk.full = verb === 'full';
        return undefined;
      case 'wipe':
        machine.disk?.wipe();
        machine.address = `${machine.name}:new`;
        return undefined;
      case 'cut':
        this.#cut(machine.name, (from, to) => (from === machine.name) !== (to === machine.name));
        return undefined;
      case 'mute':
        this.#cut(machine.name, (from) => from === machine.name);
        return undefined;
      case 'part':
        this.#cut(
          machine.name,
          (from, to) => (from === machine.name && to === word) || (from === word && to === machine.name),
        );
        return undefined;
      case 'heal':
        this.#heal(machine.name);
        return undefined;
      case 'look':
        return this.#sendRequests(machine, true, Number(word));
      case 'ask':
        return this.#sendRequests(machine, false, Number(word));
      case 'leave':
        machine.running?.clusterNode.group.leave();
        return undefined;
      case 'put':
        return this.#checkSubmitted(
          this.#site.submit(machine, 'spec.put', { base: Number(word), text: JSON.stringify(trialSpec(0)) }),
        );
      case 'empty':
        return this.#checkSubmitted(this.#site.submit(machine, 'zone.empty', { zone: word }));
      default:
        return `no act "${verb}"`;
    }
  }

  runOnWorker(worker: SimWorker | undefined, text: string): string | undefined {
    if (worker === undefined) return 'no such machine or worker';
    const [verb = '', word = ''] = text.split(' ');
    const { name } = worker;
    switch (verb) {
      case 'crash':
        worker.crash();
        return undefined;
      case 'return':
        worker.up = true;
        return undefined;
      case 'dark':
      case 'light':
        worker.unresponsive = verb === 'dark';
        return undefined;
      case 'answers':
        worker.faultMode = word as FaultMode;
        return undefined;
      case 'unheard':
        this.#cut(name, (_, to) => to === name);
        return undefined;
      case 'mute':
        this.#cut(name, (from) => from === name);
        return undefined;
      case 'heal':
        this.#heal(name);
        return undefined;
      default:
        return `no act "${text}"`;
    }
  }

  /** Sends `count` requests at once: lookups, or chat completions that rotate through the models. */
  #sendRequests(machine: Machine, lookup: boolean, count: number): string | undefined {
    const edge = machine.running?.edge;
    if (edge === undefined) return 'is no edge that runs';
    for (let place = 0; place < count; place += 1)
      this.#site.sendRandomRequest(edge, lookup, lookup ? '' : `model-${place % 8}`);
    return undefined;
  }

  #checkSubmitted(id: string): string | undefined {
    return id === '' ? 'nothing was sent' : undefined;
  }

  #cut(name: string, cut: IsBlocked): void {
    this.#cuts.set(name, cut);
    this.#site.net.cut(cut);
  }

  #heal(name: string): void {
    const cut = this.#cuts.get(name);
    if (cut !== undefined) this.#site.net.heal(cut);
  }
}

function checkExpectation(machine: Machine, text: string): string | undefined {
  const [what = '', word = ''] = text.split(' ');
  const clusterNode = machine.running?.clusterNode;
  if (what === 'down') return clusterNode === undefined ? undefined : 'runs';
  if (clusterNode === undefined) return 'does not run';
  const { group, state: specState } = clusterNode;
  const seen: Record<string, string | number> = {
    leads: String(group.isCoordinator),
    follows: String(!group.isCoordinator),
    admits: String(group.holdsLease()),
    refuses: String(!group.holdsLease()),
    members: group.view?.members.length ?? 0,
    spec: specState.spec?.version ?? 0,
    emptied: specState.evacuatedZones.join('+'),
    level: group.state?.level ?? 0,
    zones: specState.spec?.spec.zones.length ?? 0,
    voters: (group.state?.voters ?? []).filter((voter) =>
      group.view?.members.some((member) => member.disk === voter.disk),
    ).length,
  };
  const wanted = word === '' ? 'true' : word;
  const found = seen[what];
  return String(found) === wanted ? undefined : `${what} is ${String(found)}, not ${wanted}`;
}
