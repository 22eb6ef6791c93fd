/**
 * Command that measures the messages and CPU time of quotas for a given number of edges, tenants and
 * requests.
 */
import { parseArgs } from 'node:util';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { SeededRandom } from '@rainrun/common';
import {
  MemberSchema,
  QuotaDrawSchema,
  QuotaGrantSchema,
  type Member,
  type QuotaDraw,
} from '@rainrun/messages';
import { QuotaAllocator, type QuotaView } from '../allocator.js';
import { QuotaClient } from '../client.js';
import type { TenantLimit } from '../permits.js';

const { values } = parseArgs({
  options: {
    edges: { type: 'string', default: '195' },
    tenants: { type: 'string', default: '400' },
    cores: { type: 'string', default: '5' },
    rate: { type: 'string', default: '1500' },
    seconds: { type: 'string', default: '20' },
  },
});
const BOUNDS = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const LEASE_MS = 600;
const STEP_MS = 1;
const TICK_MS = 50;
const TRAFFIC_START_MS = 20_000;
/** Share of all requests that one large tenant sends, at three times its limit. */
const LARGE_TENANT_SHARE = 0.2;

/** Counts messages, bytes and processor time. */
class Cost {
  messages = 0;
  bytes = 0;
  coreNs = 0n;
  edgeNs = 0n;
}

const random = new SeededRandom(1);
const cost = new Cost();
let nowMs = 0;
const clock = { nowMs: () => nowMs };
const limits = makeLimits();
const members = Array.from({ length: Number(values.cores) }, (_, index) => member(`core-${index}`, 'disk'));
const view: QuotaView = { epoch: 1, number: 1, members };
const allocators = new Map(members.map(({ incarnation }) => [incarnation, makeAllocator(incarnation)]));
const pending: (() => void)[] = [];
const clients = Array.from({ length: Number(values.edges) }, (_, index) => makeClient(`edge-${index}`));

nowMs = TRAFFIC_START_MS;
const endMs = TRAFFIC_START_MS + 1000 * Number(values.seconds);
let requestsIssued = 0;
for (; nowMs < endMs; nowMs += STEP_MS) step();
report();

function member(name: string, disk = ''): Member {
  return create(MemberSchema, { name, incarnation: `${name}-incarnation`, address: '10.0.0.1:7001', disk });
}

function makeLimits(): TenantLimit[] {
  const largeTenantRate = (Number(values.rate) * LARGE_TENANT_SHARE) / 3;
  return Array.from({ length: Number(values.tenants) }, (_, index) => {
    const ratePerS = index === 0 ? largeTenantRate : 5;
    return { name: `tenant-${index}`, ratePerS, burst: ratePerS };
  });
}

function makeAllocator(incarnation: string): QuotaAllocator {
  const allocator = new QuotaAllocator({ bounds: BOUNDS, leaseMs: LEASE_MS });
  allocator.updateLimits(limits, 0);
  allocator.onView(view, incarnation, 0);
  allocator.onViewCommitted(view, 0);
  return allocator;
}

function makeClient(name: string): QuotaClient {
  const self = member(name);
  const client: QuotaClient = new QuotaClient({
    clock,
    chance: random,
    bounds: BOUNDS,
    self: () => self,
    send: (to, draw) => pending.push(() => exchange(client, to, draw)),
  });
  client.learnView(view);
  return client;
}

/** Exchanges a draw and its grant, including encoding and decoding on both sides. */
function exchange(client: QuotaClient, to: Member, draw: QuotaDraw): void {
  const sentNs = process.hrtime.bigint();
  const drawBytes = toBinary(QuotaDrawSchema, draw);
  const arrivedNs = process.hrtime.bigint();
  const { needs, draw: number } = fromBinary(QuotaDrawSchema, drawBytes);
  const answers = allocators.get(to.incarnation)?.answer(needs, true, nowMs) ?? [];
  const grantBytes = toBinary(QuotaGrantSchema, create(QuotaGrantSchema, { draw: number, answers }));
  const answeredNs = process.hrtime.bigint();
  client.receive(fromBinary(QuotaGrantSchema, grantBytes), nowMs);
  cost.edgeNs += arrivedNs - sentNs + (process.hrtime.bigint() - answeredNs);
  cost.coreNs += answeredNs - arrivedNs;
  cost.messages += 2;
  cost.bytes += drawBytes.length + grantBytes.length;
}

function step(): void {
  const startNs = process.hrtime.bigint();
  const dueRequests =
    Math.floor(((nowMs - TRAFFIC_START_MS + STEP_MS) * Number(values.rate)) / 1000) - requestsIssued;
  for (let count = 0; count < dueRequests; count += 1) issueRequest();
  if (nowMs % TICK_MS === 0) for (const client of clients) client.tick(nowMs);
  cost.edgeNs += process.hrtime.bigint() - startNs;
  for (const run of pending.splice(0)) run();
}

function issueRequest(): void {
  requestsIssued += 1;
  const isLargeTenant = random.next() < LARGE_TENANT_SHARE;
  const index = isLargeTenant ? 0 : Math.floor(random.next() * Number(values.tenants));
  clients[Math.floor(random.next() * clients.length)]?.acquire(`tenant-${index}`, () => undefined);
}

function report(): void {
  const seconds = Number(values.seconds);
  const coreMs = Number(cost.coreNs) / 1e6 / seconds / members.length;
  const edgeMs = Number(cost.edgeNs) / 1e6 / seconds / clients.length;
  const { bytes, messages } = cost;
  console.log(
    `${clients.length} edges, ${limits.length} tenants, ${members.length} cores, ${values.rate} requests/s`,
  );
  console.log(
    `messages ${(messages / seconds).toFixed(0)}/s, ${(bytes / messages).toFixed(0)} bytes each, ` +
      `${(messages / 2 / seconds / members.length).toFixed(0)} draws/s a core`,
  );
  console.log(
    `processor time: core ${coreMs.toFixed(2)} ms/s (${((1000 * coreMs * seconds * members.length) / (messages / 2)).toFixed(1)} us a draw), edge ${edgeMs.toFixed(2)} ms/s`,
  );
}
