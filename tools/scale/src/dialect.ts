import type { Dialect, ListPage, OperatorCall, PlatformSettings } from '@rainrun/runtime/platform';
import { fault, type Fault } from '@rainrun/common';
import type { Holdings, ReportReply, WorkerOrder, WorkerOrderReply } from '@rainrun/placement';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import * as v from 'valibot';

/** Paths under which the stand-in platform answers. */
export const PATHS = {
  list: '/list',
  order: '/order',
  report: '/report',
  configuration: '/configuration',
  readiness: '/ready',
} as const;
/** Header that names the worker instance that an order is meant for. */
export const EXPECT_INSTANCE = 'x-instance';

const HoldingsSchema = v.array(v.tuple([v.string(), v.array(v.string())]));

const ListSchema = v.object({
  workers: v.array(
    v.object({
      id: v.string(),
      service: v.string(),
      address: v.string(),
      zone: v.string(),
      slots: v.number(),
      leaving: v.boolean(),
      coldMs: v.number(),
      models: HoldingsSchema,
    }),
  ),
});

/** A worker's report of its loaded models; null while it executes an order. */
const ReportSchema = v.nullable(v.object({ models: HoldingsSchema, sequence: v.number() }));

/** Body of an order as sent to the stand-in. */
export const OrderSchema = v.object({
  action: v.picklist(['load', 'unload']),
  model: v.string(),
  adapter: v.string(),
  fence: v.number(),
  sequence: v.number(),
  holder: v.string(),
});

function readJson(text: string): Result<unknown, Fault> {
  return tryOrElse(
    (thrown) => fault('bad-request', `not JSON: ${String(thrown)}`),
    () => JSON.parse(text) as unknown,
  );
}

function holdingsOf(models: v.InferOutput<typeof HoldingsSchema>): Holdings {
  return new Map(models.map(([model, adapters]) => [model, new Set(adapters)]));
}

function readReport(text: string): ReportReply {
  const parsed = readJson(text).map((data) => v.safeParse(ReportSchema, data));
  if (!parsed.isOk || !parsed.value.success) return 'no-answer';
  const report = parsed.value.output;
  return report === null ? 'busy' : { holdings: holdingsOf(report.models), sequence: report.sequence };
}

function readPage(text: string): Result<ListPage, Fault> {
  return readJson(text).andThen((data) => {
    const parsed = v.safeParse(ListSchema, data);
    if (!parsed.success) return Result.err<ListPage, Fault>(fault('wire', parsed.issues[0].message));
    return Result.ok<ListPage, Fault>({
      next: undefined,
      workers: parsed.output.workers.map(({ leaving, coldMs, ...entry }) => ({
        ...entry,
        draining: leaving,
        warmUpMs: coldMs,
        models: holdingsOf(entry.models),
      })),
    });
  });
}

function readCall(
  method: string,
  path: string,
  _headers: unknown,
  body: string,
): Result<OperatorCall, Fault> {
  if (path !== PATHS.configuration || method === 'DELETE') return Result.ok({ kind: 'none' });
  if (method === 'GET') return Result.ok({ kind: 'read' });
  return readJson(body).map((data): OperatorCall => {
    const record = data as Record<string, unknown>;
    return method === 'PUT'
      ? { kind: 'put', base: undefined, document: record }
      : { kind: 'patch', base: undefined, patch: record };
  });
}

function readOrderReply(status: number): WorkerOrderReply {
  if (status === 200) return 'held';
  if (status === 202) return 'begun';
  return status === 409 ? 'busy' : 'refused';
}

/** Platform dialect of the stand-in, with the project's own names because no real platform is involved. */
export const DIALECT: Dialect = {
  clientHeaderNames: {
    requestId: 'x-request',
    deadlineMs: 'x-deadline',
    model: 'x-model',
    prefix: 'x-prefix',
    tokens: 'x-tokens',
    lastEventId: 'last-event-id',
    apiKey: 'x-key',
    tenant: 'x-tenant',
  },
  workerHeaderNames: {
    requestId: 'x-request',
    deadlineMs: 'x-deadline',
    lastEventId: 'last-event-id',
    signature: 'x-signature',
    expectInstance: EXPECT_INSTANCE,
    notRun: 'x-not-run',
    priority: 'x-priority',
    apiKey: 'x-key',
    tenant: 'x-tenant',
  },
  readinessPath: PATHS.readiness,
  orderPath: PATHS.order,
  reportPath: PATHS.report,
  readSettings: (text) =>
    readJson(text)
      .mapErr((why) => [why])
      .map((data) => data as PlatformSettings),
  readCall,
  writeDocument: (document) => JSON.stringify(document),
  statusOfFault: () => undefined,
  listPath: () => PATHS.list,
  readPage,
  readReport,
  writeOrder: (order: WorkerOrder, holder: string) => JSON.stringify({ ...order, holder }),
  readOrderReply,
};
