import { Balancer, type RoutedRequest } from '@rainrun/router';
import { HollowEdge, Notes, type Held } from './hollow.js';
import { answerParent, sharedMs } from './ipc.js';
import { adapterName, heldModels, modelName, regionOf, SERVICE, type Size } from './site.js';

const SLICE_MS = 5;
const SLICES = 10;
const JOIN_EVERY_MS = 20;
/** Where tables are long, edges join no faster than one process can read them. */
const ROWS_PER_MS = 50;

const [, , text = '{}', host = '', seedText = '', firstText = '0', keptText = '1'] = process.argv;
const size = JSON.parse(text) as Size;
const seeds = seedText.split(',');
/** Every so many edges, one keeps the rows of its table. */
const kept = Number(keptText);
const edges: HollowEdge[] = [];
let notes = new Notes();
let nextPlace = Number(firstText);
let slice = 0;
let asked = 0;
let pace: NodeJS.Timeout | undefined;

/** A tenth of the followers at a time, each every 50 ms, as an edge heartbeats. */
function tick(): void {
  slice = (slice + 1) % SLICES;
  for (let place = slice; place < edges.length; place += SLICES) edges[place]?.tick();
}

async function grow(count: number): Promise<void> {
  for (let nth = 0; nth < count; nth += 1) {
    edges.push(await HollowEdge.open(nextPlace, size, host, seeds, nextPlace % kept === 0, () => notes));
    nextPlace += 1;
    await new Promise((resolve) => setTimeout(resolve, Math.max(JOIN_EVERY_MS, size.rows / ROWS_PER_MS)));
  }
}

/** Replaces followers one after the other, as restarts do. */
async function restart(count: number, everyMs: number): Promise<void> {
  const beganMs = sharedMs();
  for (let nth = 0; nth < count; nth += 1) {
    const old = edges.shift();
    old?.leave();
    await grow(1);
    await new Promise((resolve) =>
      setTimeout(resolve, Math.max(0, beganMs + (nth + 1) * everyMs - sharedMs())),
    );
  }
}

/** The next model or adapter that stands nowhere is asked for at one edge: a quarter models, the rest adapters. */
function askNext(): void {
  const held = heldModels(size);
  const perModel = Math.floor(size.adapters / size.models);
  const edge = edges[(asked * 17) % edges.length];
  const turn = Math.floor(asked / 4);
  if (asked % 4 === 0) edge?.ask(modelName(held + (turn % Math.max(1, size.models - held))), '');
  else {
    const nth = turn * 3 + (asked % 4) - 1;
    const model = nth % held;
    const cold = Math.ceil(perModel / 2);
    edge?.ask(
      modelName(model),
      adapterName(model + size.models * (cold + (Math.floor(nth / held) % Math.max(1, perModel - cold)))),
    );
  }
  asked += 1;
}

function loads(perS: number): void {
  clearInterval(pace);
  if (perS > 0) pace = setInterval(askNext, 1000 / perS);
}

/** Microseconds of processor time that one choice of a worker takes with the table that a follower holds. */
function choose(): number {
  const workers = edges[0]?.follower.workers;
  if (workers === undefined || workers.size === 0) return 0;
  const balancer = new Balancer({
    zone: 'zone-00',
    nowMs: () => performance.now(),
    evacuated: () => [],
    edges: () => edges.length,
    region: regionOf,
    salt: 'hollow',
  });
  const held = heldModels(size);
  const rounds = 300;
  const began = process.cpuUsage();
  for (let round = 0; round < rounds; round += 1) {
    const clientRequest = {
      id: `request-${round}`,
      model: modelName(round % held),
      adapter: '',
      prefix: [],
      promptTokens: 100,
    };
    const request = {
      clientRequest,
      service: { name: SERVICE, connections: 640, warmupPerS: 0 },
      route: {},
      excludedWorkers: new Set(),
    } as unknown as RoutedRequest;
    balancer.choose(request, workers.values());
  }
  const { user, system } = process.cpuUsage(began);
  return (user + system) / rounds;
}

function listed<K>(held: ReadonlyMap<K, Held>): (Held & { key: K })[] {
  return [...held].map(([key, value]) => ({ key, ...value }));
}

setInterval(tick, SLICE_MS);
answerParent({
  grow,
  restart: ({ count, everyMs }: { count: number; everyMs: number }) => restart(count, everyMs),
  loads,
  choose,
  kill: (count: number) => {
    for (const edge of edges.splice(0, count)) edge.close();
  },
  cut: ({ share, cut }: { share: number; cut: boolean }) => {
    const some = edges.slice(0, Math.ceil(edges.length * share));
    for (const edge of some) edge.cut(cut);
    return some.length;
  },
  mark: () => {
    notes = new Notes();
  },
  notes: () => ({
    leader: notes.leader,
    other: notes.other,
    revisions: listed(notes.revisions),
    tables: listed(notes.tables),
    leaders: listed(notes.leaders),
    edges: listed(notes.edges),
    gone: listed(notes.gone),
    joinsMs: notes.joinsMs,
    placedMs: notes.placedMs,
    followers: edges.length,
    ready: edges.filter((edge) => edge.follower.ready).length,
    informed: edges.filter((edge) => edge.follower.informed).length,
    least: Math.min(...edges.map((edge) => edge.follower.state.revision)),
    newestRow: Math.max(0, ...edges.map((edge) => edge.row)),
    oldestRow: Math.min(Infinity, ...edges.map((edge) => edge.row)),
    tablesHeld: [...new Set(edges.map((edge) => edge.table))],
    asking: edges.reduce((sum, edge) => sum + edge.asking, 0),
  }),
});
