/** One attempt of a request at one worker, in the router of the platform system. */
import type { Header, LinkHandler, LinkRequest, LinkSend } from '@rainrun/gateway';
import { EventSplitter } from './event-splitter.js';
import { attemptHeaders, endToEndHeaders, headerValue, type HeaderNames } from './headers.js';
import type { RoutedRequest, WorkerView } from './request.js';
import { checkResponseHead } from './response-check.js';
import { ATTEMPT_POLICY } from './routing-policy.js';

/** How an attempt ended. */
export interface AttemptEnd {
  readonly outcome:
    /** The client has the worker's response. */
    | 'served'
    /** The client has part of a response, and sees that it is incomplete; or it has left. */
    | 'cut'
    /** No byte left, and none was meant to. */
    | 'not-sent'
    /** No byte left: the worker could not be reached. */
    | 'unreached'
    /** The worker says that it has not run it. */
    | 'not-run'
    /** The worker is another one, or does not have the model or adapter loaded. */
    | 'misdirected'
    /** It may have run. */
    | 'failed';
  readonly reason: string;
  /** How long the worker asks to be left alone, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Whether the worker failed the request, though the client has its response or has left: an error, or a long silence. */
  readonly workerFailed?: boolean;
}

/** What an attempt needs of its router. */
export interface AttemptContext {
  /** Monotonic, in milliseconds. */
  nowMs(): number;
  /** The last check before the first byte leaves. */
  mayStart(): boolean;
  /** When this worker was last heard on any connection. */
  lastHeardMs(): number;
  /** A byte came from the worker now. */
  onHeard(): void;
  /** Whether the request can move to another worker now; a retry is then reserved for it. */
  reserveFailover(): boolean;
  /** The worker is silent, and the request stays with it. */
  onSilent(): void;
  /** The head of a valid response came, so long after the attempt was made. */
  onResponseHead(waitMs: number): void;
  /** Called once. */
  onEnd(end: AttemptEnd): void;
}

/** What an attempt is made of. */
export interface AttemptOptions {
  readonly request: RoutedRequest;
  readonly worker: WorkerView;
  readonly headerNames: HeaderNames;
  readonly context: AttemptContext;
}

/**
 * One attempt of a request at one worker: checks the response and forwards it to the client.
 * @example
 * const attempt = new Attempt({ request, worker, headerNames, context });
 * attempt.attach(link.send(attempt.linkRequest(nowMs), attempt));
 */
export class Attempt implements LinkHandler {
  #request: RoutedRequest;
  #worker: WorkerView;
  #headerNames: HeaderNames;
  #context: AttemptContext;
  #send: LinkSend | undefined;
  #status = 0;
  #headers: Header[] = [];
  /** Set once the worker answers with an event stream. */
  #splitter: EventSplitter | undefined;
  #body: Buffer[] = [];
  #bodyBytes = 0;
  #started = false;
  /** The last check before the first byte said no. */
  #withheld = false;
  /** The client reads too slowly, so reading from the worker is paused. */
  #paused = false;
  #ended = false;
  #createdMs: number;
  #lastActivityMs: number;
  #lastFailoverTryMs = -Infinity;

  constructor({ request, worker, headerNames, context }: AttemptOptions) {
    this.#request = request;
    this.#worker = worker;
    this.#headerNames = headerNames;
    this.#context = context;
    this.#createdMs = context.nowMs();
    this.#lastActivityMs = this.#createdMs;
  }

  /** Takes the send on the link, once there is one. */
  attach(send: LinkSend): void {
    this.#send = send;
    if (this.#ended) send.abort();
  }

  /** What is to be sent to the worker. */
  linkRequest(nowMs: number): LinkRequest {
    const { clientRequest, expiresMs, sentTo } = this.#request;
    const remainingMs = Math.max(1, Math.floor(expiresMs - nowMs));
    return {
      address: this.#worker.address,
      method: clientRequest.method,
      target: clientRequest.target,
      headers: attemptHeaders(this.#request, this.#worker.id, this.#headerNames, remainingMs),
      body: clientRequest.body,
      stallMs: remainingMs + ATTEMPT_POLICY.stallMarginMs,
      ownConnection: [...sentTo.values()].includes(this.#worker.address),
    };
  }

  /**
   * Ends what has expired, and what is silent for longer than its route
   * bears. A stream of which the client has a part is abandoned only for a worker
   * that can take it: silence alone cuts no response.
   */
  tick(nowMs: number): void {
    if (this.#ended) return;
    if (nowMs >= this.#request.expiresMs) return this.#abandon('the time for it has passed');
    if (!this.#request.idempotent || !this.#started || this.#paused) return;
    if (nowMs - this.#lastActivityMs <= this.#maxSilenceMs(nowMs)) return;
    if (nowMs - this.#lastFailoverTryMs < ATTEMPT_POLICY.failoverIntervalMs) return;
    this.#lastFailoverTryMs = nowMs;
    if (!this.#request.responseStarted || this.#context.reserveFailover())
      this.#abandon('silent for too long');
    else this.#context.onSilent();
  }

  /** This node shuts down. */
  shutDown(): void {
    this.#abandon('this node ends');
  }

  /** The client has left: the worker's connection is closed. */
  clientLeft(): void {
    const silentMs = this.#context.nowMs() - this.#lastActivityMs;
    const maxSilentMs = Math.max(ATTEMPT_POLICY.silentMs, this.#request.route.targetMs);
    const workerFailed = this.#started && !this.#paused && silentMs > maxSilentMs;
    this.#end({ outcome: 'cut', reason: 'the client has left', workerFailed });
    this.#send?.abort();
  }

  mayStart(): boolean {
    if (this.#ended) return false;
    this.#started = this.#context.mayStart();
    this.#withheld = !this.#started;
    this.#lastActivityMs = this.#context.nowMs();
    return this.#started;
  }

  head(status: number, headers: readonly Header[]): void {
    if (this.#ended) return;
    this.#recordActivity();
    const check = checkResponseHead(this.#request.clientRequest.id, this.#headerNames, status, headers);
    if (check.kind === 'invalid') return this.#abandon(check.reason);
    if (check.kind === 'misdirected')
      return this.#end({ outcome: 'misdirected', reason: `${this.#worker.id} is not there` });
    if (check.kind === 'not-run')
      return this.#end({ outcome: 'not-run', reason: `${this.#worker.id} took no more (${status})` });
    this.#context.onResponseHead(this.#lastActivityMs - this.#createdMs);
    this.#status = status;
    this.#headers = endToEndHeaders(headers);
    this.#acceptHead(status, headerValue(headers, 'content-type') ?? '');
  }

  chunk(bytes: Buffer): void {
    if (this.#ended) return;
    this.#recordActivity();
    if (this.#splitter === undefined) return this.#buffer(bytes);
    const events = this.#splitter.take(bytes);
    if (events === 'endless') return this.#abandon('an event without end');
    if (events.bytes.length > 0) this.#forward(events.bytes, events.lastId);
  }

  end(): void {
    if (this.#ended) return;
    const { sink } = this.#request;
    if (this.#splitter === undefined) {
      sink.respond(this.#status, this.#headers, Buffer.concat(this.#body));
      return this.#end({ outcome: 'served', reason: '', workerFailed: this.#status >= 500 });
    }
    if (this.#splitter.incompleteBytes > 0) return this.#abandon('ended within an event');
    if (!this.#request.responseStarted) this.#startResponse();
    sink.close();
    this.#end({ outcome: 'served', reason: '' });
  }

  failed(sent: boolean, reason: string): void {
    if (this.#ended) return;
    if (sent) return this.#endAsFailed(reason);
    this.#end({ outcome: this.#withheld ? 'not-sent' : 'unreached', reason });
  }

  #recordActivity(): void {
    this.#lastActivityMs = this.#context.nowMs();
    this.#context.onHeard();
  }

  /** Decides how the body of a valid response is read. */
  #acceptHead(status: number, contentType: string): void {
    if (this.#request.streamed && status < 300 && contentType.startsWith('text/event-stream'))
      this.#splitter = new EventSplitter();
    else if (this.#request.responseStarted) this.#abandon(`answered ${status} where a stream was to go on`);
    else if (status >= 500 && this.#request.idempotent && this.#context.reserveFailover())
      this.#abandon(`answered ${status}`);
  }

  #buffer(bytes: Buffer): void {
    this.#bodyBytes += bytes.length;
    if (this.#bodyBytes > ATTEMPT_POLICY.maxBufferedBytes) return this.#abandon('an answer without end');
    this.#body.push(bytes);
  }

  /**
   * How long a worker may be silent on a request that can be repeated. One
   * that is heard on other requests is at work: its prefill would be done again elsewhere.
   */
  #maxSilenceMs(nowMs: number): number {
    const { route, responseStarted, streamed } = this.#request;
    const { silentMs, recentlyHeardMs, minPlainSilenceMs, plainSilenceTargets, streamSilenceGaps } =
      ATTEMPT_POLICY;
    const isAtWork = nowMs - this.#context.lastHeardMs() < recentlyHeardMs;
    if (!streamed) return Math.max(minPlainSilenceMs, plainSilenceTargets * route.targetMs);
    if (responseStarted) return isAtWork ? streamSilenceGaps * Math.max(silentMs, route.gapMs) : silentMs;
    return isAtWork ? Infinity : silentMs + route.targetMs;
  }

  #startResponse(): void {
    this.#request.responseStarted = true;
    this.#request.sink.open(
      this.#status,
      this.#headers.filter(([name]) => name.toLowerCase() !== 'content-length'),
    );
  }

  #forward(bytes: Buffer, lastId: string | undefined): void {
    if (!this.#request.responseStarted) this.#startResponse();
    this.#request.lastByteMs = this.#lastActivityMs;
    if (lastId !== undefined) this.#request.lastEventId = lastId;
    if (this.#request.sink.write(bytes, () => this.#resumeReading())) return;
    this.#paused = true;
    this.#send?.pause();
  }

  /** The client reads again; while it did not, the worker could send nothing. */
  #resumeReading(): void {
    this.#paused = false;
    this.#lastActivityMs = this.#context.nowMs();
    this.#send?.resume();
  }

  #abandon(reason: string): void {
    if (this.#started) this.#endAsFailed(reason);
    else this.#end({ outcome: 'not-sent', reason });
    this.#send?.abort();
  }

  #endAsFailed(reason: string): void {
    this.#end({ outcome: 'failed', reason: `${this.#worker.id}: ${reason}` });
  }

  #end(end: AttemptEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#context.onEnd(end);
  }
}
