import { renderTimeline } from './timeline.js';
import {
  sampleDocument,
  SMALL_SYSTEM,
  System,
  type CallEnd,
  type Need,
  type Station,
  type SystemBreach,
  type SystemSize,
} from './system.js';

/** How long the parts of a day are. */
export interface DaySpans {
  readonly trafficMs: number;
  readonly troubleMs: number;
  readonly calmMs: number;
  readonly backMs: number;
}

/** A whole day, and one for tests that are run often. */
export const SPANS: Readonly<Record<'whole' | 'short', DaySpans>> = {
  whole: { trafficMs: 8000, troubleMs: 32_000, calmMs: 9000, backMs: 14_000 },
  short: { trafficMs: 4000, troubleMs: 10_000, calmMs: 5000, backMs: 11_000 },
};
/** A core that is back counts as lost for so long. */
const CATCH_UP_MS = 4000;

/** Sizes of simulated systems by name. */
export const SYSTEMS: Readonly<Record<'small' | 'five' | 'least', SystemSize>> = {
  least: { ...SMALL_SYSTEM, edges: 2, workers: 4, models: 10, heartbeatMs: 50 },
  small: { ...SMALL_SYSTEM, heartbeatMs: 50 },
  five: { ...SMALL_SYSTEM, cores: 5, lossesBorne: 2, heartbeatMs: 50 },
};

/** How one simulated day of a system ended. */
export interface SystemResult {
  readonly breaches: readonly SystemBreach[];
  readonly acked: number;
  readonly loads: number;
  readonly troubles: readonly string[];
  readonly timeline: string;
}

class Day {
  readonly system: System;
  readonly troubles: string[] = [];
  acked = 0;
  #models: number;
  #spans: DaySpans;
  #revision = 3;
  #sending = 0;
  #cores = new Map<Station, number>();
  #zoneBusy = false;
  #refused = new Set<number>();

  constructor(seed: number, size: SystemSize, spans: DaySpans) {
    this.#spans = spans;
    this.system = new System(seed, size);
    this.#models = size.models;
  }

  run(): void {
    const { system } = this;
    const { time } = system;
    const { trafficMs, troubleMs, calmMs, backMs } = this.#spans;
    system.start();
    this.put();
    time.runUntil(trafficMs);
    if (system.acked.revision === 0)
      system.breach('late answer', 'the first configuration is not acknowledged');
    this.shift();
    for (let atMs = trafficMs + 500; atMs < trafficMs + troubleMs; atMs += 400 + this.#roll(1600)) {
      time.runUntil(atMs);
      this.#trouble();
    }
    time.runUntil(trafficMs + troubleMs + 6000 + calmMs);
    this.#restore();
    time.runUntil(time.nowMs() + calmMs);
    this.#close();
    time.runUntil(time.nowMs() + backMs);
    this.#restore();
    system.checkEnd();
    for (const core of system.cores) {
      const revision = core.running?.replica?.state.revision ?? 0;
      if (this.#refused.has(revision))
        system.breach('refused in force', `${core.name} holds revision ${revision}, which was refused`);
    }
  }

  #roll(most: number): number {
    return Math.floor(this.system.dice.next() * most);
  }

  #one<T>(list: readonly T[]): T | undefined {
    return list[this.#roll(list.length)];
  }

  /** Demand moves to other models. */
  shift(): void {
    const needs: Need[] = [];
    for (let count = 0; count < 6; count += 1) {
      const model = `m${this.#roll(this.#models)}`;
      if (needs.some((need) => need.model === model)) continue;
      needs.push({ model, adapter: '', count: 1 + this.#roll(4) });
      if (this.system.dice.next() < 0.6) needs.push({ model, adapter: `a${this.#roll(4)}`, count: 1 });
    }
    this.system.needs = needs;
  }

  #answered(revision: number, end: CallEnd): void {
    this.#sending -= 1;
    if (end.kind === 'agreed') this.acked += 1;
    else this.#refused.add(revision);
  }

  put(): void {
    const base = this.system.acked.revision;
    const revision = this.#next();
    this.#sending += 1;
    this.system.put(base, sampleDocument(revision, this.#models, 'put'), (end) => {
      this.#answered(revision, end);
      if (end.kind !== 'agreed')
        this.system.breach('answers', `the only change on ${base} ended ${end.kind}`);
      else if (this.system.dice.next() < 0.3) this.#again(base, revision);
    });
  }

  /** The same call once more: it is agreed once more. */
  #again(base: number, revision: number): void {
    this.system.put(base, sampleDocument(revision, this.#models, 'put'), (end) => {
      if (end.kind !== 'agreed') this.system.breach('answers', `a repeated call ended ${end.kind}`);
    });
  }

  /** Two operators change the same version: one of them wins. */
  race(): void {
    const base = this.system.acked.revision;
    const ends: CallEnd[] = [];
    for (const mark of ['one', 'other']) {
      const revision = this.#next();
      this.#sending += 1;
      this.system.put(base, sampleDocument(revision, this.#models, mark), (end) => {
        this.#answered(revision, end);
        ends.push(end);
        if (ends.length < 2) return;
        const kinds = ends.map((known) => known.kind).sort();
        if (kinds.join(' ') !== 'agreed conflict')
          this.system.breach('answers', `a race on ${base} ended ${kinds.join(' and ')}`);
      });
    }
  }

  #next(): number {
    this.#revision += 1 + this.#roll(3);
    return this.#revision;
  }

  #trouble(): void {
    const { system } = this;
    const roll = this.#roll(100);
    if (roll < 26) return this.#coreTrouble();
    if (roll < 44) return this.#edgeTrouble();
    if (roll < 64) return this.#workerTrouble();
    if (roll < 72) return this.shift();
    if (roll < 80) return this.#zone();
    if (this.#sending > 0) return;
    if (roll < 86) return this.race();
    if (roll < 90) return this.#invalid();
    system.note('', 'a change');
    this.put();
  }

  #invalid(): void {
    const revision = this.#next();
    this.#sending += 1;
    const document = sampleDocument(revision, this.#models, 'bad');
    const [route] = document['routes'] as Record<string, unknown>[];
    this.system.call(
      'configuration.put',
      {
        base: this.system.acked.revision,
        document: { ...document, routes: [{ ...route, service: 'nowhere' }] },
      },
      (end) => {
        this.#answered(revision, end);
        if (end.kind === 'agreed') this.system.breach('answers', 'an invalid configuration was agreed');
      },
    );
  }

  #zone(): void {
    if (this.#zoneBusy) return;
    const zone = this.system.size.zones[0] ?? '';
    this.#zoneBusy = true;
    this.system.zone(zone, this.system.zones.get(zone)?.evacuated !== true, () => {
      this.#zoneBusy = false;
    });
  }

  /** Disturbs a core, as long as no more are lost than are borne. */
  #coreTrouble(): void {
    const { system } = this;
    const nowMs = system.time.nowMs();
    for (const [core, untilMs] of this.#cores) if (untilMs < nowMs) this.#cores.delete(core);
    if (this.#cores.size >= system.size.lossesBorne) return;
    const leader = system.leader();
    const whole = system.cores.filter((core) => core.running !== undefined && !this.#cores.has(core));
    const core =
      system.dice.next() < 0.5 && leader !== undefined && whole.includes(leader) ? leader : this.#one(whole);
    if (core === undefined) return;
    const takesMs = 300 + this.#roll(4000);
    this.#cores.set(core, nowMs + takesMs + CATCH_UP_MS);
    const kind =
      this.#one(['kill', 'stop', 'freeze', 'cut', 'deaf', 'mute', 'wipe', 'replace', 'stall'] as const) ??
      'kill';
    this.troubles.push(`${kind} ${core.name}`);
    system.note(core.name, kind);
    const { name } = core;
    function back(act: () => void): void {
      system.time.after(takesMs, act);
    }
    switch (kind) {
      case 'kill':
        system.kill(core);
        return back(() => system.boot(core));
      case 'stop':
        system.stop(core);
        return back(() => system.time.after(200, () => system.boot(core)));
      case 'freeze':
        return system.freeze(core, takesMs);
      case 'cut':
        return back(system.cut(`off ${name}`, (from, to) => (from === name) !== (to === name)));
      case 'deaf':
        return back(system.cut(`to ${name}`, (_from, to) => to === name));
      case 'mute':
        return back(system.cut(`from ${name}`, (from) => from === name));
      case 'wipe':
        system.kill(core);
        core.disk?.wipe();
        return back(() => system.boot(core));
      case 'replace': {
        system.remove(core);
        const other = system.addCore();
        this.#cores.delete(core);
        this.#cores.set(other, nowMs + takesMs + CATCH_UP_MS);
        return back(() => system.boot(other));
      }
      case 'stall':
        if (core.disk !== undefined) core.disk.stallUntilMs = nowMs + takesMs;
        system.disturbed(core);
        return back(() => system.disturbed(core));
    }
  }

  #edgeTrouble(): void {
    const { system } = this;
    const edge = this.#one(system.edges.filter((known) => known.running !== undefined));
    if (edge === undefined) return;
    const takesMs = 300 + this.#roll(5000);
    const { name } = edge;
    const kind = this.#one(['kill', 'stop', 'freeze', 'cut', 'deaf', 'mute'] as const) ?? 'kill';
    this.troubles.push(`${kind} ${name}`);
    function back(act: () => void): void {
      system.time.after(takesMs, act);
    }
    if (kind === 'freeze') return system.freeze(edge, takesMs);
    if (kind === 'cut')
      return back(system.cut(`off ${name}`, (from, to) => (from === name) !== (to === name)));
    if (kind === 'deaf') return back(system.cut(`to ${name}`, (_from, to) => to === name));
    if (kind === 'mute') return back(system.cut(`from ${name}`, (from) => from === name));
    if (kind === 'stop') system.stop(edge);
    else system.kill(edge);
    system.time.after(takesMs + 200, () => system.boot(edge));
  }

  #workerTrouble(): void {
    const { system } = this;
    const stall = this.#one(
      system.yard.stalls.filter((known) => !known.away && !known.dark && !known.leaving),
    );
    if (stall === undefined || system.yard.stalls.some((known) => known.away || known.leaving)) return;
    const takesMs = 300 + this.#roll(3000);
    const kind = this.#one(['restart', 'dark', 'leave'] as const) ?? 'restart';
    this.troubles.push(`${kind} ${stall.address}`);
    system.note('', `${kind} ${stall.address} (${stall.id})`);
    if (kind === 'restart') return stall.restart();
    if (kind === 'dark') {
      stall.dark = true;
      return system.time.after(takesMs, () => {
        stall.dark = false;
      });
    }
    system.yard.leave(stall);
    system.time.after(4000, () => {
      stall.away = true;
      system.time.after(takesMs, () => {
        stall.away = false;
        stall.restart();
      });
    });
  }

  /** Without a zone the workers that are left have room for two models each, and no more is asked for. */
  #fitNeeds(): void {
    const { system } = this;
    if (![...system.zones.values()].some(({ evacuated }) => evacuated)) return;
    const places =
      2 * system.yard.stalls.filter((stall) => system.zones.get(stall.zone)?.evacuated !== true).length;
    const models = [...new Set(system.needs.map((need) => need.model))].slice(0, places);
    system.needs = system.needs.filter((need) => models.includes(need.model));
  }

  #restore(): void {
    for (const station of this.system.stations) this.system.boot(station);
  }

  /** What may close a day, right after something was acknowledged. */
  #close(): void {
    const { system } = this;
    this.#fitNeeds();
    const kind = this.#one(['calm', 'power', 'wipe', 'race'] as const) ?? 'calm';
    this.troubles.push(`closing ${kind}`);
    system.note('', `closing ${kind}`);
    if (kind === 'calm' || this.#sending > 0) return;
    if (kind === 'race') {
      this.race();
      const leader = system.leader();
      return system.time.after(this.#roll(30), () => {
        if (leader !== undefined) system.kill(leader);
        system.time.after(1000, () => this.#restore());
      });
    }
    const wiped = this.#one(system.cores.filter((core) => !core.removed));
    system.atAnswer = () => {
      system.atAnswer = undefined;
      for (const station of system.stations) system.kill(station);
      if (kind === 'wipe') wiped?.disk?.wipe();
      system.time.after(500 + this.#roll(1000), () => this.#restore());
    };
    this.put();
  }
}

/**
 * Plays one simulated day of a system from a seed.
 * @example
 * runSystemDay(1, SYSTEMS.small).breaches; // []
 */
export function runSystemDay(seed: number, size: SystemSize, spans: DaySpans = SPANS.whole): SystemResult {
  const day = new Day(seed, size, spans);
  day.run();
  const { system, troubles, acked } = day;
  return {
    breaches: system.breaches,
    acked,
    loads: system.yard.loads.length,
    troubles,
    timeline: renderTimeline(
      system.stations.map((station) => station.name),
      system.timeline,
    ),
  };
}
