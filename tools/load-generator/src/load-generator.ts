import { setTimeout as pause } from 'node:timers/promises';
import { wrong } from '@rainrun/stand-in-workers';
import { promptOf, type RecordedCall } from '@rainrun/workloads';
import { Agent, type Dispatcher } from 'undici';

/** The result of one call, as its client observed it. */
export interface Seen {
  readonly call: RecordedCall;
  readonly id: string;
  readonly outcome: string;
  readonly ran: 'no' | 'maybe' | 'yes';
  readonly firstPieceMs: number;
  readonly wholeMs: number;
  readonly beganMs: number;
  readonly edge: string;
}

/** The results of all calls, and the breaches found in their answers. */
export interface LoadReport {
  readonly breaches: string[];
  readonly outcomes: Record<string, number>;
  readonly byKind: Record<string, KindReport>;
  readonly seen: Seen[];
}

/** Call counts and first-piece latency percentiles of one `group/kind`; the latencies cover served calls. */
export interface KindReport {
  calls: number;
  served: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

const DEADLINE_MS = 60_000;

/**
 * Simulated clients: they send the calls of a day to the edges and check every
 * answer against the one that a stand-in worker must give.
 * @example
 * const loadGenerator = new LoadGenerator(['127.0.0.1:8104']);
 * const report = await loadGenerator.play(day.calls, 1);
 */
export class LoadGenerator {
  #edges: readonly string[];
  #agent = new Agent({
    connections: 256,
    pipelining: 1,
    headersTimeout: DEADLINE_MS,
    bodyTimeout: DEADLINE_MS,
  });
  #breaches: string[] = [];
  #seen: Seen[] = [];
  #nextEdge = 0;
  #down = new Set<string>();
  #stopped = false;
  #checksAnswers: boolean;

  /** `checks` must be false if the workers are not stand-ins, since their answers are not predictable. */
  constructor(edges: readonly string[], checks = true) {
    this.#checksAnswers = checks;
    this.#edges = edges;
  }

  /** Takes an edge out of the rotation, as the platform does, or puts it back. */
  setDown(edge: string, down: boolean): void {
    if (down) this.#down.add(edge);
    else this.#down.delete(edge);
  }

  /** Stops sending calls; `play` still waits for the calls in flight. */
  stop(): void {
    this.#stopped = true;
  }

  /** Sends the calls at a multiple of their recorded pace; resolves once every call has ended. */
  async play(calls: readonly RecordedCall[], speed: number): Promise<LoadReport> {
    const beganMs = performance.now();
    const running: Promise<void>[] = [];
    for (const [index, call] of calls.entries()) {
      const waitMs = call.atMs / speed - (performance.now() - beganMs);
      if (waitMs > 1) await pause(waitMs);
      if (this.#stopped) break;
      running.push(this.#sendCall(call, index));
    }
    await Promise.all(running);
    await this.#agent.close();
    return this.#report();
  }

  #pickEdge(): string {
    const available = this.#edges.filter((edge) => !this.#down.has(edge));
    this.#nextEdge += 1;
    return available[this.#nextEdge % Math.max(1, available.length)] ?? this.#edges[0] ?? '';
  }

  async #sendCall(call: RecordedCall, index: number): Promise<void> {
    const edge = this.#pickEdge();
    const beganMs = performance.now();
    const prompt = promptOf(call, index);
    const isLookup = call.model === '';
    const clientCall = new ClientCall(call, prompt, index);
    try {
      this.#agent.dispatch(
        {
          origin: `http://${edge}`,
          method: isLookup ? 'GET' : 'POST',
          path: isLookup ? `${call.path}/${index % 200}` : call.path,
          headers: {
            'content-type': 'application/json',
            'rainrun-group': call.group,
            'rainrun-kind': call.kind,
            'rainrun-deadline-ms': String(DEADLINE_MS),
          },
          body: isLookup
            ? null
            : JSON.stringify({
                model: call.model,
                adapter: call.adapter,
                stream: call.stream,
                messages: [{ role: 'user', content: prompt }],
              }),
        },
        clientCall,
      );
    } catch {
      clientCall.fail();
    }
    await clientCall.finished;
    const { outcome, ran, id, firstMs, breach } = clientCall.verdict();
    if (breach !== undefined && this.#checksAnswers) this.#breaches.push(`${id} at ${edge}: ${breach}`);
    this.#seen.push({
      call,
      id,
      outcome,
      ran,
      firstPieceMs: (firstMs ?? performance.now()) - beganMs,
      wholeMs: performance.now() - beganMs,
      beganMs,
      edge,
    });
  }

  #report(): LoadReport {
    const outcomes: Record<string, number> = {};
    const byKind: Record<string, KindReport> = {};
    const times = new Map<string, number[]>();
    for (const { call, outcome, firstPieceMs } of this.#seen) {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
      const key = `${call.group}/${call.kind}`;
      const kind = (byKind[key] ??= { calls: 0, served: 0, p50Ms: 0, p95Ms: 0, p99Ms: 0 });
      kind.calls += 1;
      if (outcome !== 'served') continue;
      kind.served += 1;
      times.set(key, [...(times.get(key) ?? []), firstPieceMs]);
    }
    for (const [key, list] of times) {
      const kind = byKind[key];
      if (kind === undefined) continue;
      list.sort((one, other) => one - other);
      kind.p50Ms = quantile(list, 0.5);
      kind.p95Ms = quantile(list, 0.95);
      kind.p99Ms = quantile(list, 0.99);
    }
    return { breaches: this.#breaches, outcomes, byKind, seen: this.#seen };
  }
}

function quantile(sorted: readonly number[], fraction: number): number {
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0);
}

interface CallVerdict {
  readonly outcome: string;
  readonly ran: Seen['ran'];
  readonly id: string;
  readonly firstMs: number | undefined;
  readonly breach: string | undefined;
}

/** One call in flight; collects its answer and checks it. */
class ClientCall implements Dispatcher.DispatchHandler {
  #call: RecordedCall;
  #prompt: string;
  #index: number;
  #sent = false;
  #status = 0;
  #headers: Record<string, string | string[] | undefined> = {};
  #chunks: Buffer[] = [];
  #ended = false;
  #firstMs: number | undefined;
  #done: () => void = () => undefined;
  readonly finished: Promise<void>;

  constructor(call: RecordedCall, prompt: string, index: number) {
    this.#call = call;
    this.#prompt = prompt;
    this.#index = index;
    this.finished = new Promise((resolve) => {
      this.#done = resolve;
    });
  }

  onRequestStart(): void {
    this.#sent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#firstMs ??= performance.now();
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    this.#ended = true;
    this.#done();
  }

  onResponseError(): void {
    this.#done();
  }

  fail(): void {
    this.#done();
  }

  verdict(): CallVerdict {
    const text = Buffer.concat(this.#chunks).toString('utf8');
    const id = String(this.#headers['rainrun-id'] ?? '');
    const shared = { id, firstMs: this.#firstMs };
    if (!this.#sent) return { ...shared, outcome: 'not-connected', ran: 'no', breach: undefined };
    if (this.#status === 0) return { ...shared, outcome: 'no-answer', ran: 'maybe', breach: undefined };
    if (this.#status !== 200) return { ...shared, ...this.#checkRefusal(text) };
    if (!this.#ended) return { ...shared, outcome: 'cut', ran: 'maybe', breach: undefined };
    return { ...shared, outcome: 'served', ran: 'yes', breach: this.#checkAnswer(text) };
  }

  #checkRefusal(text: string): { outcome: string; ran: Seen['ran']; breach: string | undefined } {
    const error = (parse(text) as { error?: { kind?: string; ran?: string } } | undefined)?.error;
    if (error?.kind === undefined)
      return {
        outcome: `status-${this.#status}`,
        ran: 'maybe',
        breach: `status ${this.#status} without a kind`,
      };
    const needsRetryAfter = this.#status === 429 || this.#status === 503;
    const breach =
      needsRetryAfter && this.#headers['retry-after'] === undefined
        ? `${error.kind} without Retry-After`
        : undefined;
    return { outcome: error.kind, ran: error.ran === 'no' ? 'no' : 'maybe', breach };
  }

  #checkAnswer(text: string): string | undefined {
    const { model, adapter, stream, path } = this.#call;
    if (model === '') {
      const body = parse(text) as { path?: string; value?: string } | undefined;
      return body?.path === `${path}/${this.#index % 200}` && body.value !== undefined
        ? undefined
        : `lookup answered ${text.slice(0, 80)}`;
    }
    if (!stream) {
      const body = parse(text) as { choices?: { message?: { content?: string } }[] } | undefined;
      return wrong(model, adapter, this.#prompt, body?.choices?.[0]?.message?.content ?? '');
    }
    const events = text.split('\n\n').filter((event) => event !== '');
    if (events.at(-1) !== 'data: [DONE]') return 'a stream that ended as whole lacks its closing event';
    const content = events
      .slice(0, -1)
      .map(
        (event) =>
          (parse(event.slice(6)) as { choices?: { delta?: { content?: string } }[] } | undefined)
            ?.choices?.[0]?.delta?.content ?? '',
      )
      .join('');
    return wrong(model, adapter, this.#prompt, content);
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Compares the outcomes that clients received with the runs that workers counted.
 * @example
 * compare(report.seen, { 'id-1': 1 }); // breaches, if any
 */
export function compare(seen: readonly Seen[], runs: Readonly<Record<string, number>>): string[] {
  const breaches: string[] = [];
  for (const { id, ran, outcome, call } of seen) {
    const times = runs[id] ?? 0;
    if (ran === 'no' && times > 0 && call.model !== '')
      breaches.push(`${id} was refused as ${outcome} and ran ${times} times`);
    if (ran === 'yes' && times === 0) breaches.push(`${id} was served and never ran`);
  }
  return breaches;
}
