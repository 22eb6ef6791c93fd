/** Records the requests of an edge of the research groups' system for a later replay. */
import { createWriteStream, type WriteStream } from 'node:fs';
import type { EndRecord } from '@rainrun/gateway';
import { formatRecordedCall, formatDayHeader, type RecordedCall } from '@rainrun/workloads';
import * as v from 'valibot';

const PromptSchema = v.pipe(
  v.string(),
  v.parseJson(),
  v.object({ messages: v.array(v.object({ content: v.string() })) }),
);

/** What the recorder writes, and up to which size. */
export interface RecorderSettings {
  readonly deployment: string;
  readonly recordFile: string;
  readonly recordMaxBytes: number;
  readonly recordContents: boolean;
}

/** The text of a request's messages, or an empty string if its body is not a chat completion. */
function extractPrompt(body: Uint8Array | undefined): string {
  if (body === undefined) return '';
  const parsed = v.safeParse(PromptSchema, Buffer.from(body).toString('utf8'));
  return parsed.success ? parsed.output.messages.map((message) => message.content).join('\n') : '';
}

/**
 * Converts a finished request to a recorded call, with its prompt only if `contents` is set.
 * @example
 * toRecordedCall(record, startMs, false).prompt; // undefined
 */
export function toRecordedCall(record: EndRecord, startMs: number, contents: boolean): RecordedCall {
  const { group, kind, model, adapter, stream, prefix, outcome, worker, arrivedMs, firstPieceMs } = record;
  const prompt = extractPrompt(record.body);
  return {
    atMs: Math.max(0, Math.round(arrivedMs - startMs)),
    group,
    kind,
    path: model === '' ? record.path.slice(0, Math.max(1, record.path.lastIndexOf('/'))) : record.path,
    model,
    adapter,
    stream,
    prefix,
    chars: prompt.length,
    outcome,
    worker,
    ...(firstPieceMs === undefined ? {} : { firstPieceMs: Math.round(firstPieceMs - arrivedMs) }),
    ...(contents ? { prompt } : {}),
  };
}

/**
 * Writes an edge's finished requests to a file of at most `recordMaxBytes`.
 * @example
 * const recorder = new RequestRecorder(settings, nowMs);
 * gateway.on('ended', (record) => recorder.record(record));
 */
export class RequestRecorder {
  #settings: RecorderSettings;
  #startMs: number;
  #file: WriteStream;
  #bytes = 0;

  constructor(settings: RecorderSettings, startMs: number) {
    this.#settings = settings;
    this.#startMs = startMs;
    this.#file = createWriteStream(settings.recordFile, { flags: 'w' });
    this.#file.on('error', () => {
      this.#bytes = Infinity;
    });
    this.#write(formatDayHeader(settings.deployment));
  }

  get bytes(): number {
    return this.#bytes;
  }

  record(record: EndRecord): void {
    this.#write(formatRecordedCall(toRecordedCall(record, this.#startMs, this.#settings.recordContents)));
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#file.end(resolve);
    });
  }

  #write(line: string): void {
    const bytes = Buffer.byteLength(line) + 1;
    if (this.#bytes + bytes > this.#settings.recordMaxBytes) return;
    this.#bytes += bytes;
    this.#file.write(`${line}\n`);
  }
}
