import { fault, type Fault, type FaultKind } from '@rainrun/nacelle';
import { Result } from 'true-myth';
import * as v from 'valibot';
import { mergePatch, readJson, readSpec, specFaultText, type Spec } from './spec.js';

/** What a worker should hold, or holds. */
export interface HoldingTarget {
  readonly model: string;
  readonly adapters: readonly string[];
}

/** An adopted spec; versions never go back. */
export interface SpecRecord {
  readonly version: number;
  readonly operation: string;
  readonly text: string;
  readonly spec: Spec;
}

/** One line of the spec's history. */
export interface HistoryLine {
  readonly version: number;
  readonly operation: string;
  readonly bytes: number;
}

/** The agreed state of the application: spec, emptied zones, placement. */
export interface Stage {
  readonly spec: SpecRecord | undefined;
  readonly history: readonly HistoryLine[];
  readonly emptied: readonly string[];
  /** The epoch whose placer decided last; an older one is refused. */
  readonly placedBy: number;
  readonly placement: Readonly<Record<string, readonly HoldingTarget[]>>;
}

/** The state before anything was agreed. */
export const EMPTY_STAGE: Stage = { spec: undefined, history: [], emptied: [], placedBy: 0, placement: {} };

const HISTORY_KEPT = 100;

const Put = v.strictObject({ base: v.optional(v.number()), text: v.string() });
const Change = v.strictObject({ base: v.optional(v.number()), patch: v.record(v.string(), v.unknown()) });
const Zone = v.strictObject({ zone: v.string() });
const Holdings = v.array(v.strictObject({ model: v.string(), adapters: v.array(v.string()) }));
const Place = v.strictObject({ epoch: v.number(), workers: v.record(v.string(), Holdings) });

const Stored = v.strictObject({
  version: v.number(),
  operation: v.string(),
  text: v.string(),
  history: v.array(v.strictObject({ version: v.number(), operation: v.string(), bytes: v.number() })),
  emptied: v.array(v.string()),
  placedBy: v.number(),
  placement: v.record(v.string(), Holdings),
});

/** How an operation on the stage ended. */
export interface StageOutcome {
  readonly kind: 'agreed' | FaultKind;
  readonly detail: string;
}

interface Applied {
  readonly state: Stage;
  readonly outcome: StageOutcome;
}

function refuse(state: Stage, kind: FaultKind, detail: string): Applied {
  return { state, outcome: { kind, detail } };
}

function agree(state: Stage, detail: string): Applied {
  return { state, outcome: { kind: 'agreed', detail } };
}

function adopt(state: Stage, operation: string, base: number | undefined, text: string): Applied {
  const current = state.spec?.version ?? 0;
  if (base !== undefined && base !== current) return refuse(state, 'conflict', `version ${current} is in force, not ${base}`);
  const read = readSpec(text);
  if (read.isErr) return refuse(state, 'bad-spec', specFaultText(read.error));
  const version = current + 1;
  const history = [...state.history, { version, operation, bytes: Buffer.byteLength(text) }].slice(-HISTORY_KEPT);
  const emptied = state.emptied.filter((zone) => read.value.zones.includes(zone));
  return agree({ ...state, spec: { version, operation, text, spec: read.value }, history, emptied }, `version ${version}`);
}

function changeSpec(state: Stage, operation: string, base: number | undefined, patch: unknown): Applied {
  const current = readJson(state.spec?.text ?? '{}');
  const target = current.isOk ? current.value : {};
  return adopt(state, operation, base, JSON.stringify(mergePatch(target, patch), undefined, 2));
}

function setZone(state: Stage, kind: string, zone: string): Applied {
  if (state.spec === undefined || !state.spec.spec.zones.includes(zone)) return refuse(state, 'not-found', `no zone "${zone}"`);
  const others = state.emptied.filter((name) => name !== zone);
  const emptied = kind === 'zone.empty' ? [...others, zone].sort() : others;
  return agree({ ...state, emptied }, `zone ${zone} ${kind === 'zone.empty' ? 'emptied' : 'restored'}`);
}

function place(state: Stage, epoch: number, workers: Record<string, readonly HoldingTarget[]>): Applied {
  if (epoch < state.placedBy) return refuse(state, 'conflict', `epoch ${state.placedBy} places now`);
  const placement = Object.entries({ ...state.placement, ...workers }).filter(([, holdings]) => holdings.length > 0);
  return agree({ ...state, placedBy: epoch, placement: Object.fromEntries(placement) }, 'placed');
}

/**
 * Applies one operation to the stage: a pure function, the same on every node.
 * @example
 * applyToStage(EMPTY_STAGE, { id: '1', kind: 'zone.empty', payload: '{"zone":"north"}' }).outcome.kind; // 'not-found'
 */
export function applyToStage(state: Stage, operation: { id: string; kind: string; payload: string }): Applied {
  const read = readJson(operation.payload);
  const data = read.isOk ? read.value : undefined;
  switch (operation.kind) {
    case 'spec.put': {
      const put = v.safeParse(Put, data);
      return put.success ? adopt(state, operation.id, put.output.base, put.output.text) : refuse(state, 'bad-request', 'not a spec');
    }
    case 'spec.change': {
      const change = v.safeParse(Change, data);
      if (!change.success) return refuse(state, 'bad-request', 'not a change');
      return changeSpec(state, operation.id, change.output.base, change.output.patch);
    }
    case 'zone.empty':
    case 'zone.restore': {
      const zone = v.safeParse(Zone, data);
      return zone.success ? setZone(state, operation.kind, zone.output.zone) : refuse(state, 'bad-request', 'no zone named');
    }
    case 'place': {
      const placed = v.safeParse(Place, data);
      return placed.success ? place(state, placed.output.epoch, placed.output.workers) : refuse(state, 'bad-request', 'not a placement');
    }
    default:
      return refuse(state, 'bad-request', `no operation "${operation.kind}"`);
  }
}

/**
 * The stage as bytes for disks and joiners.
 * @example
 * decodeStage(encodeStage(EMPTY_STAGE)).isOk; // true
 */
export function encodeStage(state: Stage): Uint8Array {
  const stored = {
    version: state.spec?.version ?? 0,
    operation: state.spec?.operation ?? '',
    text: state.spec?.text ?? '',
    history: state.history,
    emptied: state.emptied,
    placedBy: state.placedBy,
    placement: state.placement,
  };
  return new TextEncoder().encode(JSON.stringify(stored));
}

/**
 * The stage that bytes stand for, or that they are damaged.
 * @example
 * decodeStage(new Uint8Array([1])).isErr; // true
 */
export function decodeStage(bytes: Uint8Array): Result<Stage, Fault> {
  return readJson(new TextDecoder().decode(bytes)).andThen((data) => {
    const stored = v.safeParse(Stored, data);
    if (!stored.success) return Result.err<Stage, Fault>(fault('damaged', 'the stage cannot be read'));
    const { version, operation, text, history, emptied, placedBy, placement } = stored.output;
    const rest = { history, emptied, placedBy, placement };
    if (version === 0) return Result.ok<Stage, Fault>({ spec: undefined, ...rest });
    return readSpec(text)
      .map((spec): Stage => ({ spec: { version, operation, text, spec }, ...rest }))
      .mapErr((faults) => fault('damaged', specFaultText(faults)));
  });
}
