import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import * as v from 'valibot';

/** Version of the format of recorded days; a reader rejects any newer one. */
export const DAY_FORMAT_VERSION = 1;

const HeaderSchema = v.strictObject({
  format: v.literal('rainrun-day'),
  version: v.number(),
  deployment: v.string(),
});

const CallSchema = v.strictObject({
  /** Milliseconds since the start of the recording. */
  atMs: v.pipe(v.number(), v.minValue(0)),
  group: v.string(),
  kind: v.string(),
  path: v.string(),
  model: v.optional(v.string(), ''),
  adapter: v.optional(v.string(), ''),
  stream: v.optional(v.boolean(), false),
  /** Number of the shared prefix of the prompt; prompts with the same prefix have the same number. */
  prefix: v.optional(v.number(), 0),
  /** Length of the prompt. */
  chars: v.optional(v.number(), 0),
  /** The prompt itself; present only if the recorder was asked for it. */
  prompt: v.optional(v.string()),
  /** Outcome of the call, if it was recorded. */
  outcome: v.optional(v.string()),
  firstPieceMs: v.optional(v.number()),
  worker: v.optional(v.string()),
});

/** One request of a recorded day. */
export type RecordedCall = v.InferOutput<typeof CallSchema>;

/** A recorded day of traffic of one deployment. */
export interface RecordedDay {
  readonly deployment: string;
  readonly calls: readonly RecordedCall[];
}

/**
 * Formats the first line of a recorded day: format, version and deployment.
 * @example
 * formatDayHeader('vejsargs'); // {"format":"rainrun-day","version":1,"deployment":"vejsargs"}
 */
export function formatDayHeader(deployment: string): string {
  return JSON.stringify({ format: 'rainrun-day', version: DAY_FORMAT_VERSION, deployment });
}

/**
 * Formats one request as a line of a recorded day.
 * @example
 * formatRecordedCall({ atMs: 5, group: 'buyers', kind: 'seat', path: '/v1/chat/completions', ... });
 */
export function formatRecordedCall(call: RecordedCall): string {
  return JSON.stringify(call);
}

function parse(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/**
 * Parses a recorded day; the error names the first line that cannot be read and the reason.
 * @example
 * parseDay('not a day').isErr; // true
 */
export function parseDay(text: string): Result<RecordedDay, Fault> {
  if (!text.endsWith('\n'))
    return Result.err(fault('damaged', `line ${text.split('\n').length}: truncated, no end of line`));
  const lines = text.slice(0, -1).split('\n');
  const header = v.safeParse(HeaderSchema, parse(lines[0] ?? ''));
  if (!header.success) return Result.err(fault('foreign', 'line 1: not the header of a recorded day'));
  if (header.output.version > DAY_FORMAT_VERSION) {
    return Result.err(
      fault('foreign', `line 1: format version ${header.output.version} is newer than ${DAY_FORMAT_VERSION}`),
    );
  }
  const calls: RecordedCall[] = [];
  for (let index = 1; index < lines.length; index += 1) {
    const call = v.safeParse(CallSchema, parse(lines[index] ?? ''));
    if (!call.success) {
      const issue = call.issues[0];
      return Result.err(
        fault('damaged', `line ${index + 1}: ${v.getDotPath(issue) ?? 'call'}: ${issue.message}`),
      );
    }
    calls.push(call.output);
  }
  return Result.ok({ deployment: header.output.deployment, calls });
}

/**
 * Returns the recorded prompt, or else a synthetic one; synthetic prompts of the same prefix begin alike.
 * @example
 * promptOf({ ...call, prefix: 7, chars: 40 }, 3);
 */
export function promptOf(call: RecordedCall, index: number): string {
  if (call.prompt !== undefined) return call.prompt;
  const sharedPrefix = `prefix ${call.prefix} `.repeat(20).slice(0, Math.max(0, call.chars - 16));
  return `${sharedPrefix}question ${index}`;
}
