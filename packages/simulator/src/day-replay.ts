import { exampleSpec, type RecordedCall, type Shape } from '@rainrun/workloads';
import { hashText } from '@rainrun/common';
import { Site, type LoopOverrides } from './site.js';

/** Outcome of one request of a replayed day. */
export interface ReplayedRequest {
  readonly call: RecordedCall;
  outcome: string;
  firstPieceMs: number;
  worker: string;
}

/** Result of replaying a day in the simulator. */
export interface DayReplay {
  readonly seen: readonly ReplayedRequest[];
  /** Loads and unloads, with times relative to the start of the day. */
  readonly orders: readonly { readonly atMs: number; readonly action: string }[];
  readonly prefill: { readonly hits: number; readonly misses: number; readonly savedMs: number };
  readonly breaches: readonly string[];
}

/** Virtual time at which the spec is put; traffic starts at TRAFFIC_START_MS. */
const SPEC_PUT_MS = 3000;
const TRAFFIC_START_MS = 12_000;
const SETTLE_MS = 30_000;
const CHUNK_GAP_MS = 25;
/** Prefill time per prompt character without a cached prefix. */
export const PREFILL_MS_PER_CHAR = 0.3;

/**
 * Replays a day in the simulator on the production code, at the size of a deployment and with the same
 * requests that a fleet of processes would receive.
 * @example
 * const replay = replayDay(SHAPES['vejsargs'], day.calls, { seed: 1 });
 */
export function replayDay(
  shape: Shape,
  calls: readonly RecordedCall[],
  options: { seed: number; spec?: object; loops?: LoopOverrides },
): DayReplay {
  const { cores, edges, workers, zones, pool } = shape;
  const spec = (options.spec ?? exampleSpec(shape)) as { workers: { slots: number } };
  const site = new Site(
    options.seed,
    { cores, edges, workers, zones, pool, slots: spec.workers.slots },
    0,
    options.loops,
  );
  const { time, oracle } = site;
  site.notesEnabled = false;
  for (const machine of site.machines) site.boot(machine);
  time.runUntil(SPEC_PUT_MS);
  const [first] = site.machines;
  if (first !== undefined) site.submit(first, 'spec.put', { base: 0, text: JSON.stringify(spec) });
  const edgeMachines = site.machines.filter((machine) => machine.disk === undefined);
  const seen: ReplayedRequest[] = [];
  for (const [place, call] of calls.entries()) {
    time.after(TRAFFIC_START_MS - SPEC_PUT_MS + call.atMs, () => {
      const edge = edgeMachines[place % edgeMachines.length]?.running?.edge;
      const record: ReplayedRequest = { call, outcome: 'no-answer', firstPieceMs: Infinity, worker: '' };
      seen.push(record);
      if (edge === undefined) return;
      const { path, group, kind, model, adapter, stream, prefix, chars } = call;
      const work = {
        prefix: `${model}/${adapter}/${prefix}`,
        prefillMs: chars * PREFILL_MS_PER_CHAR,
        pieces: 4 + ((place * 7) % 12),
        gapMs: CHUNK_GAP_MS,
      };
      const asked = {
        path,
        group,
        kind,
        model,
        adapter,
        prefix: hashText(`${model}/${adapter}/${prefix}`),
        streamed: stream,
      };
      const askedMs = time.nowMs();
      site.sendRequest(edge, model === '' ? asked : { ...asked, work }, (outcome, firstMs, worker) => {
        record.outcome = outcome;
        record.worker = worker;
        record.firstPieceMs = (firstMs ?? time.nowMs()) - askedMs;
      });
    });
  }
  time.runUntil(TRAFFIC_START_MS + (calls.at(-1)?.atMs ?? 0) + SETTLE_MS);
  const prefill = { hits: 0, misses: 0, savedMs: 0 };
  for (const worker of site.workers) {
    prefill.hits += worker.prefill.hits;
    prefill.misses += worker.prefill.misses;
    prefill.savedMs += worker.prefill.savedMs;
  }
  return {
    seen,
    orders: site.orders.map(({ atMs, action }) => ({ atMs: atMs - TRAFFIC_START_MS, action })),
    prefill,
    breaches: oracle.breaches.map(({ rule, detail }) => `${rule}: ${detail}`),
  };
}
