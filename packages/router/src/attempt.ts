/** One attempt to send a request to one worker, in the router of the platform system. */
import { ByteCollector, type MemoryReservation } from '@rainrun/common';
import type {
  Header,
  LinkHandler,
  LinkRequest,
  LinkSend,
  ResponseBound,
  ResponseExcess,
} from '@rainrun/gateway';
import { EventSplitter } from './event-splitter.js';
import { attemptHeaders, endToEndHeaders, headerValue, type HeaderNames } from './headers.js';
import type { RoutedRequest, WorkerView } from './request.js';
import { checkResponseHead } from './response-check.js';
import { ATTEMPT_POLICY } from './routing-policy.js';

/** How an attempt ended. */
export interface AttemptEnd {
  readonly outcome:
    /** The worker's complete response was forwarded to the client. */
    | 'served'
    /** The client has left, or its connection was reset so that it sees that the response is incomplete. */
    | 'cut'
    /** No byte was sent, because the router withheld or cancelled the attempt. */
    | 'not-sent'
    /** No byte was sent, because the worker could not be reached. */
    | 'unreached'
    /** The worker says that it has not run the request. */
    | 'not-run'
    /** Another worker answers at this address, or the worker does not have the model or adapter loaded. */
    | 'misdirected'
    /** The worker may have run the request. */
    | 'failed';
  readonly reason: string;
  /** Backoff that the worker asks for, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Whether the worker failed (error response or long silence) although the outcome is `served` or `cut`. */
  readonly workerFailed?: boolean;
  /** Whether this node had no memory for the response, for which the worker is not to blame. */
  readonly hadNoMemory?: boolean;
}

/** What an attempt needs from its router. */
export interface AttemptContext {
  /** Monotonic, in milliseconds. */
  nowMs(): number;
  /** The last check before the first byte is sent. */
  mayStart(): boolean;
  /** When the last byte came from this worker on any connection. */
  lastHeardMs(): number;
  /** Called whenever bytes come from the worker. */
  onHeard(): void;
  /** Whether the request can fail over to another worker now; if so, a retry is reserved for it. */
  reserveFailover(): boolean;
  /** Called when the worker is silent for too long but the request stays with it. */
  onSilent(): void;
  /** Opens the account of the memory that the response takes; `onEvicted` is called if it has to give way. */
  openMemory(onEvicted: () => void): MemoryReservation;
  /** Called when the response is stopped at a bound, also after the attempt has ended. */
  onExcess(excess: ResponseExcess): void;
  /** Called with the head of a valid response; `waitMs` is the time since the attempt was created. */
  onResponseHead(waitMs: number): void;
  /** Called exactly once, when the attempt ends. */
  onEnd(end: AttemptEnd): void;
}

/** Constructor options of an attempt. */
export interface AttemptOptions {
  readonly request: RoutedRequest;
  readonly worker: WorkerView;
  readonly headerNames: HeaderNames;
  readonly context: AttemptContext;
}

/**
 * One attempt to send a request to one worker: checks the response and forwards it to the client.
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
  /** Set once the worker responds with an event stream. */
  #splitter: EventSplitter | undefined;
  #body = new ByteCollector();
  /** Memory of the body, or of what a stream has not passed on; undefined before a valid head. */
  #memory: MemoryReservation | undefined;
  #started = false;
  /** Whether the last check before the first byte withheld the request. */
  #withheld = false;
  /** Whether reading from the worker is paused because the client reads too slowly. */
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

  /** Attaches the send on the link; aborts it if the attempt has ended by then. */
  attach(send: LinkSend): void {
    this.#send = send;
    if (this.#ended) send.abort();
  }

  /** The request to send to the worker. */
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
   * Ends the attempt if the request has expired, or if the worker is silent for longer than the route allows.
   * A stream of which the client already has a part is abandoned only if another worker can take it over:
   * silence alone does not cut a response off.
   */
  tick(nowMs: number): void {
    if (this.#ended) return;
    if (nowMs >= this.#request.expiresMs) return this.#abandon('the request expired');
    if (!this.#request.idempotent || !this.#started || this.#paused) return;
    if (nowMs - this.#lastActivityMs <= this.#maxSilenceMs(nowMs)) return;
    if (nowMs - this.#lastFailoverTryMs < ATTEMPT_POLICY.failoverIntervalMs) return;
    this.#lastFailoverTryMs = nowMs;
    if (!this.#request.responseStarted || this.#context.reserveFailover())
      this.#abandon('no data within the silence limit');
    else this.#context.onSilent();
  }

  /** Ends the attempt because this node shuts down. */
  shutDown(): void {
    this.#abandon('this node ends');
  }

  /** Ends the attempt because the client has disconnected; closes the worker's connection. */
  clientLeft(): void {
    const silentMs = this.#context.nowMs() - this.#lastActivityMs;
    const maxSilentMs = Math.max(ATTEMPT_POLICY.silentMs, this.#request.route.targetMs);
    const workerFailed = this.#started && !this.#paused && silentMs > maxSilentMs;
    this.#end({ outcome: 'cut', reason: 'the client disconnected', workerFailed });
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
      return this.#endDiscarding({ outcome: 'misdirected', reason: `${this.#worker.id} is not there` });
    if (check.kind === 'not-run')
      return this.#endDiscarding({
        outcome: 'not-run',
        reason: `${this.#worker.id} took no more (${status})`,
      });
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
    if (events === 'endless') return this.#stopAt('event', 'an event exceeds the buffer limit');
    if (!this.#hold(this.#splitter.incompleteBytes)) return;
    if (events.bytes.length > 0) this.#forward(events.bytes, events.lastId);
  }

  end(): void {
    if (this.#ended) return;
    if (this.#splitter === undefined) {
      this.#respond();
      return this.#end({ outcome: 'served', reason: '', workerFailed: this.#status >= 500 });
    }
    if (this.#splitter.incompleteBytes > 0) return this.#abandon('the stream ended within an event');
    if (!this.#request.responseStarted) this.#startResponse();
    this.#request.sink.close();
    this.#end({ outcome: 'served', reason: '' });
  }

  failed(sent: boolean, reason: string): void {
    if (this.#ended) return;
    if (sent) return this.#endAsFailed(reason);
    this.#end({ outcome: this.#withheld ? 'not-sent' : 'unreached', reason });
  }

  exceeded(excess: ResponseExcess): void {
    this.#context.onExcess(excess);
  }

  #recordActivity(): void {
    this.#lastActivityMs = this.#context.nowMs();
    this.#context.onHeard();
  }

  /** Decides how the body of a valid response is read. */
  #acceptHead(status: number, contentType: string): void {
    this.#memory = this.#context.openMemory(() =>
      this.#stopAt('memory', 'gave way to other responses, as the largest of the worker that holds most'),
    );
    if (this.#request.streamed && status < 300 && contentType.startsWith('text/event-stream'))
      this.#splitter = new EventSplitter();
    else if (this.#request.responseStarted)
      this.#abandon(`responded with ${status} instead of resuming the stream`);
    else if (status >= 500 && this.#request.idempotent && this.#context.reserveFailover())
      this.#abandon(`responded with ${status}`);
  }

  #buffer(bytes: Buffer): void {
    if (this.#body.lengthBytes + bytes.length > ATTEMPT_POLICY.maxBufferedBytes)
      return this.#stopAt('body', 'the response exceeds the buffer limit');
    if (this.#grow(this.#body.growthFor(bytes.length))) this.#body.append(bytes);
  }

  /** Passes a complete response on; its memory is held until the client has it. */
  #respond(): void {
    const body = this.#body.take();
    const memory = this.#memory;
    this.#memory = undefined;
    if (memory !== undefined) memory.canGiveWay = false;
    memory?.shrinkTo(body.length);
    this.#request.sink.respond(this.#status, this.#headers, body, () => memory?.release());
  }

  /** Holds this many bytes in all; false if there is no memory for them, with which the attempt ends. */
  #hold(bytes: number): boolean {
    const heldBytes = this.#memory?.heldBytes ?? 0;
    if (bytes > heldBytes) return this.#grow(bytes - heldBytes);
    this.#memory?.shrinkTo(bytes);
    return true;
  }

  #grow(bytes: number): boolean {
    if (bytes === 0 || this.#memory === undefined || this.#memory.grow(bytes)) return true;
    // Where this response had to give way itself, the attempt has ended by now.
    this.#abandon('no memory for the response', true);
    return false;
  }

  /**
   * How long a worker may be silent on an idempotent request, in milliseconds. A worker that is active on
   * other connections gets more time, since another worker would have to repeat its prefill.
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
    this.#hold((this.#splitter?.incompleteBytes ?? 0) + bytes.length);
  }

  /** Resumes reading. Restarts the silence timer, since the worker could send nothing during the pause. */
  #resumeReading(): void {
    this.#paused = false;
    this.#lastActivityMs = this.#context.nowMs();
    this.#hold(this.#splitter?.incompleteBytes ?? 0);
    this.#send?.resume();
  }

  #stopAt(bound: ResponseBound, reason: string): void {
    if (this.#send !== undefined) this.exceeded({ bound, ...this.#send.received });
    this.#abandon(reason);
  }

  #abandon(reason: string, hadNoMemory = false): void {
    if (this.#started) this.#endAsFailed(reason, hadNoMemory);
    else this.#end({ outcome: 'not-sent', reason });
    this.#send?.abort();
  }

  /** Ends the attempt on the head of a response whose body nobody needs. */
  #endDiscarding(end: AttemptEnd): void {
    this.#send?.discard();
    this.#end(end);
  }

  #endAsFailed(reason: string, hadNoMemory = false): void {
    this.#end({ outcome: 'failed', reason: `${this.#worker.id}: ${reason}`, hadNoMemory });
  }

  #end(end: AttemptEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#body.clear();
    this.#memory?.release();
    this.#context.onEnd(end);
  }
}
