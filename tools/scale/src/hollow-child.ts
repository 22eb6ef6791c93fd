import { Balancer, type RoutedRequest } from '@rainrun/router';
import { SimulatedEdge, EdgeStats, type Propagation } from './hollow.js';
import { serveParent, sharedMs } from './ipc.js';
import { adapterName, initialModelCount, modelName, regionOf, SERVICE, type Size } from './site.js';

const SLICE_MS = 5;
const SLICE_COUNT = 10;
const JOIN_INTERVAL_MS = 20;
/** Limits the join rate for long tables to the rate at which one process can read their rows. */
const ROWS_PER_MS = 50;

const [, , text = '{}', host = '', seedText = '', firstText = '0', retentionText = '1'] = process.argv;
const size = JSON.parse(text) as Size;
const seeds = seedText.split(',');
/** One edge out of this many retains the rows of its table. */
const retentionInterval = Number(retentionText);
const edges: SimulatedEdge[] = [];
let stats = new EdgeStats();
let nextIndex = Number(firstText);
let slice = 0;
let demandCount = 0;
let loadTimer: NodeJS.Timeout | undefined;

/** Ticks a tenth of the followers, so that each is ticked every 50 ms, the heartbeat interval of an edge. */
function tick(): void {
  slice = (slice + 1) % SLICE_COUNT;
  for (let index = slice; index < edges.length; index += SLICE_COUNT) edges[index]?.tick();
}

async function addEdges(count: number): Promise<void> {
  for (let nth = 0; nth < count; nth += 1) {
    edges.push(
      await SimulatedEdge.open(
        nextIndex,
        size,
        host,
        seeds,
        nextIndex % retentionInterval === 0,
        () => stats,
      ),
    );
    nextIndex += 1;
    await new Promise((resolve) => setTimeout(resolve, Math.max(JOIN_INTERVAL_MS, size.rows / ROWS_PER_MS)));
  }
}

/** Replaces followers one after the other, as rolling restarts do. */
async function restartEdges(count: number, everyMs: number): Promise<void> {
  const startedAtMs = sharedMs();
  for (let nth = 0; nth < count; nth += 1) {
    const old = edges.shift();
    old?.leave();
    await addEdges(1);
    await new Promise((resolve) =>
      setTimeout(resolve, Math.max(0, startedAtMs + (nth + 1) * everyMs - sharedMs())),
    );
  }
}

/** Requests the next unloaded model or adapter at one edge: a quarter are models, the rest adapters. */
function requestNextModel(): void {
  const initialModels = initialModelCount(size);
  const perModel = Math.floor(size.adapters / size.models);
  const edge = edges[(demandCount * 17) % edges.length];
  const turn = Math.floor(demandCount / 4);
  if (demandCount % 4 === 0)
    edge?.requestModel(modelName(initialModels + (turn % Math.max(1, size.models - initialModels))), '');
  else {
    const nth = turn * 3 + (demandCount % 4) - 1;
    const model = nth % initialModels;
    const cold = Math.ceil(perModel / 2);
    edge?.requestModel(
      modelName(model),
      adapterName(
        model + size.models * (cold + (Math.floor(nth / initialModels) % Math.max(1, perModel - cold))),
      ),
    );
  }
  demandCount += 1;
}

function setLoadRate(perS: number): void {
  clearInterval(loadTimer);
  if (perS > 0) loadTimer = setInterval(requestNextModel, 1000 / perS);
}

/** Measures the processor time of one worker selection with a follower's table, in microseconds. */
function measureChoiceUs(): number {
  const workers = edges[0]?.follower.workers;
  if (workers === undefined || workers.size === 0) return 0;
  const balancer = new Balancer({
    zone: 'zone-00',
    nowMs: () => performance.now(),
    evacuatedZones: () => [],
    edges: () => edges.length,
    regionOf: regionOf,
    salt: 'hollow',
  });
  const initialModels = initialModelCount(size);
  const rounds = 300;
  const began = process.cpuUsage();
  for (let round = 0; round < rounds; round += 1) {
    const clientRequest = {
      id: `request-${round}`,
      model: modelName(round % initialModels),
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

function toEntries<K>(propagations: ReadonlyMap<K, Propagation>): (Propagation & { key: K })[] {
  return [...propagations].map(([key, value]) => ({ key, ...value }));
}

setInterval(tick, SLICE_MS);
serveParent({
  addEdges,
  restartEdges: ({ count, everyMs }: { count: number; everyMs: number }) => restartEdges(count, everyMs),
  setLoadRate,
  measureChoiceUs,
  killEdges: (count: number) => {
    for (const edge of edges.splice(0, count)) edge.close();
  },
  partition: ({ share, enabled }: { share: number; enabled: boolean }) => {
    const affected = edges.slice(0, Math.ceil(edges.length * share));
    for (const edge of affected) edge.setPartitioned(enabled);
    return affected.length;
  },
  resetStats: () => {
    stats = new EdgeStats();
  },
  stats: () => ({
    leader: stats.leader,
    other: stats.other,
    revisions: toEntries(stats.revisions),
    tables: toEntries(stats.tables),
    leaders: toEntries(stats.leaders),
    edgeCounts: toEntries(stats.edgeCounts),
    removedRows: toEntries(stats.removedRows),
    joinTimesMs: stats.joinTimesMs,
    placementTimesMs: stats.placementTimesMs,
    followers: edges.length,
    ready: edges.filter((edge) => edge.follower.ready).length,
    informed: edges.filter((edge) => edge.follower.hasMajorityContact).length,
    minRevision: Math.min(...edges.map((edge) => edge.follower.state.revision)),
    newestRow: Math.max(0, ...edges.map((edge) => edge.tableRow)),
    oldestRow: Math.min(Infinity, ...edges.map((edge) => edge.tableRow)),
    tableIds: [...new Set(edges.map((edge) => edge.tableId))],
    pendingDemands: edges.reduce((sum, edge) => sum + edge.pendingCount, 0),
  }),
});
