/** Client for the platform's worker list and for orders to workers, in the research groups' system. */
import { readFile } from 'node:fs/promises';
import { create } from '@bufbuild/protobuf';
import { WorkerListSchema, type WorkerList } from '@rainrun/messages';
import { fault, readBoundedBody, type Fault } from '@rainrun/common';
import type { SpecOrder, SpecOrderReply } from '@rainrun/placement';
import { Result } from 'true-myth';
import { request } from 'undici';
import * as v from 'valibot';

const ListSchema = v.object({
  generation: v.pipe(v.number(), v.integer(), v.minValue(1)),
  workers: v.array(
    v.object({
      name: v.string(),
      address: v.string(),
      zone: v.string(),
      kind: v.picklist(['model', 'lookup']),
      pool: v.optional(v.string()),
      leaving: v.optional(v.boolean(), false),
    }),
  ),
});

const ReplySchema = v.object({
  holdings: v.array(v.object({ model: v.string(), adapters: v.array(v.string()) })),
  busy: v.optional(v.boolean(), false),
});

const RESPONSE_MAX_BYTES = 4 * 1024 * 1024;
const LIST_TIMEOUT_MS = 1500;
const INVENTORY_TIMEOUT_MS = 2000;
const LOAD_TIMEOUT_MS = 60_000;

/** Gives a call up after a silence, and after twice that time whatever has come. */
function timeouts(silenceMs: number): { headersTimeout: number; bodyTimeout: number; signal: AbortSignal } {
  return {
    headersTimeout: silenceMs,
    bodyTimeout: silenceMs,
    signal: AbortSignal.timeout(2 * silenceMs),
  };
}

/** A reply as text; empty, which no caller accepts, if it is too large. */
async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  return (await readBoundedBody(body, RESPONSE_MAX_BYTES))?.toString('utf8') ?? '';
}

/**
 * Reads the platform's worker list from an http address or a file.
 * @example
 * const list = await readSpecWorkerList('http://127.0.0.1:9000/workers');
 */
export async function readSpecWorkerList(source: string): Promise<Result<WorkerList, Fault>> {
  try {
    const text = source.startsWith('http://')
      ? await readText((await request(source, timeouts(LIST_TIMEOUT_MS))).body)
      : await readFile(source, 'utf8');
    const parsed = v.safeParse(ListSchema, JSON.parse(text));
    if (!parsed.success)
      return Result.err(
        fault('wire', `the platform's worker list is malformed: ${parsed.issues[0].message}`),
      );
    const { generation, workers } = parsed.output;
    return Result.ok(
      create(WorkerListSchema, {
        generation,
        workers: workers.map(({ leaving, ...worker }) => ({
          $typeName: 'rainrun.v1.WorkerEntry' as const,
          ...worker,
          draining: leaving,
          pool: worker.pool ?? 'models',
        })),
      }),
    );
  } catch (thrown) {
    return Result.err(fault('unreached', `the platform's worker list cannot be read: ${String(thrown)}`));
  }
}

/**
 * Sends one order to a worker and reads its reply.
 * @example
 * const reply = await sendSpecOrder('127.0.0.1:9101', order);
 */
export async function sendSpecOrder(
  address: string,
  order: SpecOrder,
): Promise<Result<SpecOrderReply, Fault>> {
  const timeoutMs = order.action === 'load' ? LOAD_TIMEOUT_MS : INVENTORY_TIMEOUT_MS;
  try {
    const { statusCode, body } = await request(`http://${address}/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      ...timeouts(timeoutMs),
    });
    const text = await readText(body);
    if (statusCode !== 200)
      return Result.err(fault('worker-nonsense', `the order was answered with status ${statusCode}`));
    const parsed = v.safeParse(ReplySchema, JSON.parse(text));
    return parsed.success
      ? Result.ok(parsed.output)
      : Result.err(fault('worker-nonsense', parsed.issues[0].message));
  } catch (thrown) {
    return Result.err(fault('unreached', String(thrown)));
  }
}
