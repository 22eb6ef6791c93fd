/** Reads the platform's list of workers, page by page. */
import { fault, type Fault } from '@rainrun/common';
import type { LinkRequest } from '@rainrun/gateway';
import type { ListedWorker } from '@rainrun/placement';
import { Result } from 'true-myth';
import type { BoundedCalls, CallReply } from './bounded-call.js';
import type { Dialect } from './dialect.js';
import { jsonExtent } from './json-extent.js';

/** Silence after which a page is given up, and the longest time that one page may take. */
const PAGE_SILENCE_MS = 900;
const PAGE_TIMEOUT_MS = 3000;
/** A page with some thousand workers, of some hundred bytes each. */
const PAGE_MAX_BYTES = 4 * 1024 * 1024;
const PAGE_MAX_VALUES = 300_000;
/** More pages than any fleet has: a list that never ends is not read on. */
const PAGES_MAX = 1000;
const WORKERS_MAX = 50_000;
const STATUS_OK = 200;

/** The list, or why it cannot be read. */
export type WorkerList = Result<ListedWorker[], Fault>;

/**
 * Reads the whole list, within bounds on each page and on all of them.
 * @example
 * const list = await readWorkerList('10.0.0.9:8080', calls, dialect);
 */
export async function readWorkerList(
  address: string,
  calls: BoundedCalls,
  dialect: Pick<Dialect, 'listPath' | 'readPage'>,
): Promise<WorkerList> {
  const workers: ListedWorker[] = [];
  let next: string | undefined;
  for (let pages = 0; pages < PAGES_MAX; pages += 1) {
    const reply = await readPage(address, dialect.listPath(next), calls);
    const problem = problemOf(reply);
    if (reply === undefined || problem !== undefined) return Result.err(problem ?? UNREACHED);
    const page = dialect.readPage(reply.body);
    if (page.isErr) return Result.err(page.error);
    workers.push(...page.value.workers);
    next = page.value.next;
    if (next === undefined) return Result.ok(workers);
    if (workers.length > WORKERS_MAX) break;
  }
  return Result.err(fault('wire', "the platform's worker list does not end"));
}

const UNREACHED = fault('unreached', "the platform's worker list gave no complete page within its bounds");

function problemOf(reply: CallReply | undefined): Fault | undefined {
  if (reply === undefined) return UNREACHED;
  if (reply.status !== STATUS_OK)
    return fault('unreached', `the platform's worker list returned status ${reply.status}`);
  if (jsonExtent(reply.body).values > PAGE_MAX_VALUES)
    return fault('wire', "a page of the platform's worker list holds too many values");
  return undefined;
}

function readPage(address: string, target: string, calls: BoundedCalls): Promise<CallReply | undefined> {
  const request: LinkRequest = {
    address,
    method: 'GET',
    target,
    headers: [['host', address]],
    body: new Uint8Array(),
    stallMs: PAGE_SILENCE_MS,
    mayEndWithConnection: true,
  };
  return new Promise((resolve) => {
    calls.call(request, { maxBytes: PAGE_MAX_BYTES, timeoutMs: PAGE_TIMEOUT_MS }, resolve);
  });
}
