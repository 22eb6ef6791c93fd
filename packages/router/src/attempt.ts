import type { Header, LinkHandler, LinkRequest, LinkSend } from '@rainrun/gateway';
import { EventSplitter } from './event-splitter.js';
import type { RoutedRequest, WorkerView } from './request.js';

/** The names that stand on the wire between router and workers, lower case where they are compared. */
export interface HeaderNames {
  readonly requestId: string;
  readonly deadlineMs: string;
  readonly lastEventId: string;
  readonly signature: string;
  readonly expectInstance: string;
  readonly notRun: string;
  readonly priority: string;
}

/** How a send ended. */
export interface AttemptEnd {
  readonly how:
    /** The client has the worker's answer. */
    | 'served'
    /** The client has part of an answer, and sees that it is cut. */
    | 'cut'
    /** No byte left, and none was meant to. */
    | 'not-sent'
    /** No byte left: the worker could not be reached. */
    | 'unreached'
    /** The worker says that it has not run it. */
    | 'not-run'
    /** The worker is another one, or does not hold what was asked for. */
    | 'misdirected'
    /** It may have run. */
    | 'failed';
  readonly why: string;
  readonly retryAfterMs?: number;
  /** Whether the worker failed the request, though the client has its answer or has left: an error, or a long silence. */
  readonly workerFailed?: boolean;
}

/** What a run needs of its router. */
export interface AttemptContext {
  nowMs(): number;
  mayStart(): boolean;
  /** When this worker was last heard on any connection. */
  lastHeardMs(): number;
  /** It was heard now. */
  onHeard(): void;
  /** Whether the request can go to another worker now; a part of the budget is then set aside for that. */
  reserveMove(): boolean;
  /** The worker is silent, and the request stays with it. */
  onSilent(): void;
  /** The first word of an answer came so long after the send. */
  onResponseHead(waitMs: number): void;
  onEnd(end: AttemptEnd): void;
}

const SILENT_MS = 1000;
const SPEAKS_MS = 700;
/** How often a request at a silent worker looks for another one. */
const MOVE_EVERY_MS = 250;
const WHOLE_MOST = 16 * 1024 * 1024;
const HOP = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'proxy-connection',
  'te',
  'trailer',
  'upgrade',
  'proxy-authenticate',
  'proxy-authorization',
]);

/**
 * Whether a header concerns only one connection.
 * @example
 * isHop('Connection'); // true
 */
export function isHop(name: string): boolean {
  return HOP.has(name.toLowerCase());
}

/**
 * One send of a request to one worker: takes its answer apart and passes it on.
 * @example
 * const run = new Run(request, worker, words, context);
 * run.attach(link.send(run.request(nowMs), run));
 */
export class Attempt implements LinkHandler {
  #request: RoutedRequest;
  #worker: WorkerView;
  #words: HeaderNames;
  #context: AttemptContext;
  #send: LinkSend | undefined;
  #status = 0;
  #headers: Header[] = [];
  #cutter: EventSplitter | undefined;
  #whole: Buffer[] = [];
  #wholeBytes = 0;
  #started = false;
  #withheld = false;
  /** The client reads too slowly, so the worker is held up. */
  #paused = false;
  #over = false;
  #lifeMs: number;
  #bornMs: number;
  #moveAskedMs = -Infinity;

  constructor(request: RoutedRequest, worker: WorkerView, words: HeaderNames, context: AttemptContext) {
    this.#request = request;
    this.#worker = worker;
    this.#words = words;
    this.#context = context;
    this.#lifeMs = context.nowMs();
    this.#bornMs = this.#lifeMs;
  }

  attach(send: LinkSend): void {
    this.#send = send;
    if (this.#over) send.abort();
  }

  request(nowMs: number): LinkRequest {
    const { clientRequest, endMs, route, lastEventId } = this.#request;
    const { deadlineMs, expectInstance, priority, lastEventId: lastWord } = this.#words;
    const own = new Set([deadlineMs, expectInstance, priority, lastWord].map((name) => name.toLowerCase()));
    const headers: Header[] = clientRequest.headers.filter(
      ([name]) => !isHop(name) && !own.has(name.toLowerCase()) && name.toLowerCase() !== 'content-length',
    );
    const leftMs = Math.max(1, Math.floor(endMs - nowMs));
    if (clientRequest.deadlineMs !== undefined) headers.push([deadlineMs, String(leftMs)]);
    if (lastEventId !== undefined) headers.push([lastWord, lastEventId]);
    headers.push([expectInstance, this.#worker.id]);
    if (this.#request.streamed) headers.push([priority, String(Math.min(9, route.priority))]);
    return {
      address: this.#worker.address,
      method: clientRequest.method,
      target: clientRequest.target,
      headers,
      body: clientRequest.body,
      stallMs: leftMs + 50,
      ownConnection: [...this.#request.sentTo.values()].includes(this.#worker.address),
    };
  }

  /**
   * Ends what is past its time, and what is silent for longer than its route
   * bears. A stream of which the client has a part is left only for a worker
   * that can take it: silence alone cuts no answer.
   */
  tick(nowMs: number): void {
    if (this.#over) return;
    if (nowMs >= this.#request.endMs) return this.#abandon('the time for it has passed');
    if (!this.#request.idempotent || !this.#started || this.#paused) return;
    if (nowMs - this.#lifeMs <= this.#patienceMs(nowMs) || nowMs - this.#moveAskedMs < MOVE_EVERY_MS) return;
    this.#moveAskedMs = nowMs;
    if (!this.#request.responseStarted || this.#context.reserveMove()) this.#abandon('silent for too long');
    else this.#context.onSilent();
  }

  /** This node ends: what has no answer yet gets one of ours. */
  giveUp(): void {
    this.#abandon('this node ends');
  }

  /** The client has left: the worker's connection is closed. */
  leave(): void {
    const silentMs = this.#context.nowMs() - this.#lifeMs;
    const workerFailed =
      this.#started && !this.#paused && silentMs > Math.max(SILENT_MS, this.#request.route.targetMs);
    this.#finish({ how: 'cut', why: 'the client has left', workerFailed });
    this.#send?.abort();
  }

  mayStart(): boolean {
    if (this.#over) return false;
    this.#started = this.#context.mayStart();
    this.#withheld = !this.#started;
    this.#lifeMs = this.#context.nowMs();
    return this.#started;
  }

  head(status: number, headers: readonly Header[]): void {
    if (this.#over) return;
    this.#lifeMs = this.#context.nowMs();
    this.#context.onHeard();
    const echoed = valueOf(headers, this.#words.requestId);
    if (echoed !== this.#request.clientRequest.id) return this.#abandon('an answer to another request');
    const notRun = valueOf(headers, this.#words.notRun) !== undefined;
    if (notRun && status < 300) return this.#abandon('an answer that says that it was not run');
    if (status === 421) return this.#finish({ how: 'misdirected', why: `${this.#worker.id} is not there` });
    if (notRun) return this.#finish({ how: 'not-run', why: `${this.#worker.id} took no more (${status})` });
    if (status < 300 && valueOf(headers, this.#words.signature) === undefined)
      return this.#abandon('an answer without its signature');
    this.#context.onResponseHead(this.#lifeMs - this.#bornMs);
    this.#status = status;
    this.#headers = headers.filter(([name]) => !isHop(name));
    const type = valueOf(headers, 'content-type') ?? '';
    if (this.#request.streamed && status < 300 && type.startsWith('text/event-stream'))
      this.#cutter = new EventSplitter();
    else if (this.#request.responseStarted) this.#abandon(`answered ${status} where a stream was to go on`);
    else if (status >= 500 && this.#request.idempotent && this.#context.reserveMove())
      this.#abandon(`answered ${status}`);
  }

  chunk(bytes: Buffer): void {
    if (this.#over) return;
    this.#lifeMs = this.#context.nowMs();
    this.#context.onHeard();
    if (this.#cutter === undefined) {
      this.#wholeBytes += bytes.length;
      if (this.#wholeBytes > WHOLE_MOST) return this.#abandon('an answer without end');
      this.#whole.push(bytes);
      return;
    }
    const events = this.#cutter.take(bytes);
    if (events === 'endless') return this.#abandon('an event without end');
    if (events.bytes.length > 0) this.#pass(events.bytes, events.lastId);
  }

  end(): void {
    if (this.#over) return;
    const { sink: port } = this.#request;
    if (this.#cutter === undefined) {
      port.respond(this.#status, this.#headers, Buffer.concat(this.#whole));
      return this.#finish({ how: 'served', why: '', workerFailed: this.#status >= 500 });
    }
    if (this.#cutter.incompleteBytes > 0) return this.#abandon('ended within an event');
    if (!this.#request.responseStarted) this.#open();
    port.close();
    this.#finish({ how: 'served', why: '' });
  }

  failed(sent: boolean, why: string): void {
    if (this.#over) return;
    if (sent) return this.#fail(why);
    this.#finish({ how: this.#withheld ? 'not-sent' : 'unreached', why });
  }

  /**
   * How long a worker may say nothing to a request that can be repeated. One
   * that speaks to others is at work: what it has read would be read again.
   */
  #patienceMs(nowMs: number): number {
    const { route, responseStarted: opened, streamed } = this.#request;
    const heard = nowMs - this.#context.lastHeardMs() < SPEAKS_MS;
    if (!streamed) return Math.max(400, 3 * route.targetMs);
    if (opened) return heard ? 4 * Math.max(SILENT_MS, route.gapMs) : SILENT_MS;
    return heard ? Infinity : SILENT_MS + route.targetMs;
  }

  #open(): void {
    this.#request.responseStarted = true;
    this.#request.sink.open(
      this.#status,
      this.#headers.filter(([name]) => name.toLowerCase() !== 'content-length'),
    );
  }

  #pass(bytes: Buffer, lastId: string | undefined): void {
    if (!this.#request.responseStarted) this.#open();
    this.#request.lastByteMs = this.#lifeMs;
    if (lastId !== undefined) this.#request.lastEventId = lastId;
    if (this.#request.sink.write(bytes, () => this.#goOn())) return;
    this.#paused = true;
    this.#send?.pause();
  }

  /** The client reads again; meanwhile the worker could say nothing. */
  #goOn(): void {
    this.#paused = false;
    this.#lifeMs = this.#context.nowMs();
    this.#send?.resume();
  }

  #abandon(why: string): void {
    if (this.#started) this.#fail(why);
    else this.#finish({ how: 'not-sent', why });
    this.#send?.abort();
  }

  #fail(why: string): void {
    this.#finish({ how: 'failed', why: `${this.#worker.id}: ${why}` });
  }

  #finish(end: AttemptEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.#context.onEnd(end);
  }
}

/**
 * The value of a header, whatever the case of its name.
 * @example
 * valueOf([['Retry-After', '1']], 'retry-after'); // '1'
 */
export function valueOf(headers: readonly Header[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  return headers.find(([known]) => known.toLowerCase() === wanted)?.[1];
}
