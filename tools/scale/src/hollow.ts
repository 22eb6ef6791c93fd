import { create } from '@bufbuild/protobuf';
import { ModelDemandSchema, type Frame, type ModelDemand, type WorkerRow } from '@rainrun/messages';
import { EdgeReplica } from '@rainrun/cluster-node';
import { STRICT_QUOTA_BOUNDS } from '@rainrun/quotas';
import { PeerTransport } from '@rainrun/runtime';
import { sharedMs } from './ipc.js';
import { adapterName, heldModels, modelName, SERVICE, SLOTS, zoneOf, type Size } from './site.js';

/** Frames and bytes between followers and one kind of core. */
export interface Traffic {
  follows: number;
  followBytes: number;
  tells: number;
  tellBytes: number;
  /** Tells that brought a state, and the bytes of these states. */
  states: number;
  stateBytes: number;
  /** Tells that brought a whole table, and their bytes but for a state that came along. */
  wholes: number;
  wholeBytes: number;
  /** Tells that brought changed rows, the rows, and the bytes of these tells. */
  changes: number;
  rows: number;
  changeBytes: number;
}

/** How many followers hold something, when the first had it, and the last so far. */
export interface Held {
  count: number;
  firstMs: number;
  lastMs: number;
}

/** Traffic of which nothing has been seen yet. */
export function noTraffic(): Traffic {
  return {
    follows: 0,
    followBytes: 0,
    tells: 0,
    tellBytes: 0,
    states: 0,
    stateBytes: 0,
    wholes: 0,
    wholeBytes: 0,
    changes: 0,
    rows: 0,
    changeBytes: 0,
  };
}

/** What all followers of one process have seen since the last mark. */
export class Notes {
  readonly leader = noTraffic();
  readonly other = noTraffic();
  readonly revisions = new Map<number, Held>();
  /** By table: followers that hold it whole. */
  readonly tables = new Map<string, Held>();
  /** By incarnation of a coordinator: followers that know it for the leader. */
  readonly leaders = new Map<string, Held>();
  /** By number of edges that a follower is told of. */
  readonly edges = new Map<number, Held>();
  /** By number of rows gone. */
  readonly gone = new Map<number, Held>();
  readonly joinsMs: number[] = [];
  readonly placedMs: number[] = [];

  note<K>(held: Map<K, Held>, key: K): void {
    const nowMs = sharedMs();
    const known = held.get(key) ?? { count: 0, firstMs: nowMs, lastMs: nowMs };
    known.count += 1;
    known.lastMs = nowMs;
    held.set(key, known);
  }
}

/** As an edge does: soon, with what else came meanwhile. */
const HASTE_MS = 7;
const WANT_AGAIN_MS = 8000;

/** A wire that listens already, and who takes its frames: known only once the port is. */
interface Door {
  readonly wire: PeerTransport;
  take: (frame: Frame) => void;
}

interface Ask {
  readonly model: string;
  readonly adapter: string;
  readonly sinceMs: number;
}

/**
 * A follower without clients: a real one, with a wire and connections of its
 * own, that says what an edge with so many models in use would say.
 */
export class HollowEdge {
  #wire: PeerTransport;
  #follower: EdgeReplica;
  #notes: () => Notes;
  #leader = '';
  #leaderIncarnation = '';
  #table = '';
  #row = 0;
  #edges = 0;
  #gone = 0;
  #revision = 0;
  #bytesIn = 0;
  #joinedMs: number | undefined;
  #usual: ModelDemand[];
  #asks: Ask[] = [];
  #cut = false;
  /** Whether it keeps the rows that it is told; otherwise one stands for all. */
  #whole: boolean;

  private constructor(
    place: number,
    size: Size,
    host: string,
    seeds: readonly string[],
    whole: boolean,
    door: Door,
    notes: () => Notes,
  ) {
    const bornMs = sharedMs();
    this.#wire = door.wire;
    this.#whole = whole;
    this.#notes = notes;
    this.#usual = usualWants(place, size);
    this.#follower = new EdgeReplica({
      name: `hollow-${place}`,
      zone: zoneOf(place),
      address: `${host}:${door.wire.port}`,
      deployment: 'system',
      seeds,
      clock: { nowMs: () => performance.now() },
      chance: { next: () => Math.random() },
      quota: STRICT_QUOTA_BOUNDS,
      send: (address, frame) => this.#post(address, frame),
      outcomes: () => [],
      demands: () => this.#wants(),
      onChange: (what) => this.#changed(what, bornMs),
    });
    door.take = (frame) => this.#take(frame);
  }

  /** Opens a wire at a free port and follows. */
  static async open(
    place: number,
    size: Size,
    host: string,
    seeds: readonly string[],
    whole: boolean,
    notes: () => Notes,
  ): Promise<HollowEdge> {
    const door: Door = {
      wire: new PeerTransport('system', (frame) => door.take(frame)),
      take: () => undefined,
    };
    await door.wire.listen(`${host}:0`);
    return new HollowEdge(place, size, host, seeds, whole, door, notes);
  }

  get follower(): EdgeReplica {
    return this.#follower;
  }

  get row(): number {
    return this.#row;
  }

  get table(): string {
    return this.#table;
  }

  get asking(): number {
    return this.#asks.length;
  }

  /** Nothing comes or goes while it is cut off. */
  cut(cut: boolean): void {
    this.#cut = cut;
  }

  ask(model: string, adapter: string): void {
    this.#asks.push({ model, adapter, sinceMs: sharedMs() });
    this.#follower.requestUpdateSoon();
    setTimeout(() => this.#follower.tick(), HASTE_MS);
  }

  tick(): void {
    this.#follower.tick();
    if (this.#follower.edgeCount !== this.#edges) {
      this.#edges = this.#follower.edgeCount;
      this.#notes().note(this.#notes().edges, this.#edges);
    }
  }

  /** Ends as a killed process does: without a word. */
  close(): void {
    this.#wire.close();
  }

  leave(): void {
    this.#follower.leave();
    setTimeout(() => this.#wire.close(), 50);
  }

  #wants(): ModelDemand[] {
    const nowMs = sharedMs();
    this.#asks = this.#asks.filter((ask) => nowMs - ask.sinceMs < WANT_AGAIN_MS);
    return [
      ...this.#usual,
      ...this.#asks.map(({ model, adapter }) =>
        create(ModelDemandSchema, { service: SERVICE, model, adapter, waiting: 1, perS: 0.2 }),
      ),
    ];
  }

  #post(address: string, frame: Frame): void {
    if (this.#cut) return;
    const before = this.#wire.counts.bytesOut;
    this.#wire.send(address, frame);
    const traffic = this.#traffic(address === this.#leader);
    traffic.follows += 1;
    traffic.followBytes += this.#wire.counts.bytesOut - before;
  }

  #traffic(leads: boolean): Traffic {
    const notes = this.#notes();
    return leads ? notes.leader : notes.other;
  }

  #take(frame: Frame): void {
    const bytes = this.#wire.counts.bytesIn - this.#bytesIn;
    this.#bytesIn = this.#wire.counts.bytesIn;
    if (this.#cut || frame.body.case !== 'stateUpdate') return;
    const tell = frame.body.value;
    const notes = this.#notes();
    if (
      tell.hasLease &&
      tell.coordinator !== undefined &&
      tell.coordinator.incarnation !== this.#leaderIncarnation
    ) {
      this.#leaderIncarnation = tell.coordinator.incarnation;
      this.#leader = tell.coordinator.address;
      notes.note(notes.leaders, tell.coordinator.incarnation);
    }
    const traffic = this.#traffic(frame.from === this.#leaderIncarnation);
    traffic.tells += 1;
    traffic.tellBytes += bytes;
    const stateBytes = tell.state.length + tell.deflatedState.length;
    if (stateBytes > 0) {
      traffic.states += 1;
      traffic.stateBytes += stateBytes;
    }
    if (tell.snapshot) {
      traffic.wholes += 1;
      traffic.wholeBytes += bytes - stateBytes;
    } else if (tell.rows.length > 0) {
      traffic.changes += 1;
      traffic.rows += tell.rows.length;
      traffic.changeBytes += bytes - tell.state.length;
    }
    if (tell.tableId !== '') {
      if (tell.tableId !== this.#table) {
        this.#table = tell.tableId;
        this.#gone = 0;
        notes.note(notes.tables, tell.tableId);
      }
      this.#row = tell.tableRow;
    }
    const { rows } = tell;
    if (!this.#whole) tell.rows = rows.slice(0, 1);
    this.#follower.receive(frame);
    this.#noteRows(rows);
  }

  #noteRows(rows: readonly WorkerRow[]): void {
    const notes = this.#notes();
    const gone = rows.filter((row) => row.removed).length;
    if (gone > 0) {
      this.#gone += gone;
      notes.note(notes.gone, this.#gone);
    }
    if (this.#asks.length === 0) return;
    const nowMs = sharedMs();
    this.#asks = this.#asks.filter(({ model, adapter, sinceMs }) => {
      const held = rows.some((row) =>
        row.loadedModels.some(
          (holding) => holding.model === model && (adapter === '' || holding.adapters.includes(adapter)),
        ),
      );
      if (held) notes.placedMs.push(nowMs - sinceMs);
      return !held;
    });
  }

  #changed(what: 'state' | 'workers', bornMs: number): void {
    const notes = this.#notes();
    if (what === 'state') {
      const { revision } = this.#follower.state;
      for (let passed = Math.max(this.#revision, revision - 64) + 1; passed <= revision; passed += 1)
        notes.note(notes.revisions, passed);
      this.#revision = revision;
    }
    if (
      this.#joinedMs === undefined &&
      this.#follower.configuration !== undefined &&
      this.#follower.workers.size > 0
    ) {
      this.#joinedMs = sharedMs();
      notes.joinsMs.push(this.#joinedMs - bornMs);
    }
  }
}

/** Part of all places of all workers that is in use in the whole fleet. */
const IN_USE = 0.1;

/** What an edge asks for all the time: models and adapters that stand already, so much under way that the workers bear it. */
function usualWants(place: number, size: Size): ModelDemand[] {
  const held = heldModels(size);
  const part = Math.min(1, (IN_USE * SLOTS * size.rows) / (size.nodes * Math.max(1, size.asked)));
  return Array.from({ length: size.asked }, (_, nth) => {
    const model = (place * 7 + nth) % held;
    const turn = place * size.asked + nth;
    const inFlight = Math.floor((turn + 1) * part) - Math.floor(turn * part);
    return create(ModelDemandSchema, {
      service: SERVICE,
      model: modelName(model),
      adapter: adapterName(model),
      inFlight,
      perS: 1.234,
    });
  });
}
