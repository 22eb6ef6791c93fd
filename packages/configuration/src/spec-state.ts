/** The replicated state of a spec deployment, the pure functions that change it, and its stored form. */
import { fault, type Fault, type FaultKind } from '@rainrun/common';
import { Result } from 'true-myth';
import * as v from 'valibot';
import { differingKeys, editedKeys, applyEdit, readEdit } from './spec-edit.js';
import { mergePatch, readJson, readSpec, specFaultText, type Spec } from './spec.js';

/** A model with its adapters that a worker should hold, or holds. */
export interface HoldingTarget {
  readonly model: string;
  readonly adapters: readonly string[];
}

/** A spec in force. Each accepted change increases the version by one. */
export interface SpecRecord {
  readonly version: number;
  readonly operation: string;
  readonly text: string;
  readonly spec: Spec;
}

/** One version in the history of the spec. */
export interface HistoryEntry {
  readonly version: number;
  readonly operation: string;
  readonly bytes: number;
}

/** The committed state of a spec deployment: the spec, the evacuated zones and the placement. */
export interface SpecState {
  readonly spec: SpecRecord | undefined;
  readonly history: readonly HistoryEntry[];
  readonly evacuatedZones: readonly string[];
  /** The epoch of the last accepted placement; one of an older epoch is refused. */
  readonly placedBy: number;
  readonly placement: Readonly<Record<string, readonly HoldingTarget[]>>;
  /** The version in which each entry last changed, back to `changesKnownSince`; detects concurrent edits. */
  readonly changedInVersion: Readonly<Record<string, number>>;
  /** Changes before this version are no longer known. */
  readonly changesKnownSince: number;
}

/** The state before the first operation. */
export const EMPTY_SPEC_STATE: SpecState = {
  spec: undefined,
  history: [],
  evacuatedZones: [],
  placedBy: 0,
  placement: {},
  changedInVersion: {},
  changesKnownSince: 0,
};

const HISTORY_MAX = 100;
/** Number of versions for which the changed entries are remembered. */
const CHANGED_VERSIONS_KEPT = 1000;

const PutSchema = v.strictObject({ base: v.optional(v.number()), text: v.string() });
const MergePatchSchema = v.strictObject({
  base: v.optional(v.number()),
  patch: v.record(v.string(), v.unknown()),
});
const EditSchema = v.strictObject({ base: v.optional(v.number()), seen: v.number(), edit: v.unknown() });
const ZoneSchema = v.strictObject({ zone: v.string() });
const HoldingsSchema = v.array(v.strictObject({ model: v.string(), adapters: v.array(v.string()) }));
const PlacementSchema = v.strictObject({ epoch: v.number(), workers: v.record(v.string(), HoldingsSchema) });

const StoredSchema = v.strictObject({
  version: v.number(),
  operation: v.string(),
  text: v.string(),
  history: v.array(v.strictObject({ version: v.number(), operation: v.string(), bytes: v.number() })),
  emptied: v.array(v.string()),
  placedBy: v.number(),
  placement: v.record(v.string(), HoldingsSchema),
});

const ExtensionSchema = v.object({ touched: v.record(v.string(), v.number()), since: v.number() });

/** How an operation on the spec state ended. */
export interface SpecOutcome {
  readonly kind: 'agreed' | FaultKind;
  readonly detail: string;
}

interface ApplyResult {
  readonly state: SpecState;
  readonly outcome: SpecOutcome;
}

function refuse(state: SpecState, kind: FaultKind, detail: string): ApplyResult {
  return { state, outcome: { kind, detail } };
}

function agree(state: SpecState, detail: string): ApplyResult {
  return { state, outcome: { kind: 'agreed', detail } };
}

function adoptSpec(state: SpecState, operation: string, base: number | undefined, text: string): ApplyResult {
  const current = state.spec?.version ?? 0;
  if (base !== undefined && base !== current)
    return refuse(state, 'conflict', `version ${current} is in force, not ${base}`);
  const read = readSpec(text);
  if (read.isErr) return refuse(state, 'bad-spec', specFaultText(read.error));
  const version = current + 1;
  const history = [...state.history, { version, operation, bytes: Buffer.byteLength(text) }].slice(
    -HISTORY_MAX,
  );
  const evacuatedZones = state.evacuatedZones.filter((zone) => read.value.zones.includes(zone));
  const { changedInVersion, changesKnownSince } = recordChanges(state, text, version);
  return agree(
    {
      ...state,
      spec: { version, operation, text, spec: read.value },
      history,
      evacuatedZones,
      changedInVersion,
      changesKnownSince,
    },
    `version ${version}`,
  );
}

/**
 * Records which entries a new text changes, and forgets changes older than `CHANGED_VERSIONS_KEPT` versions.
 */
function recordChanges(
  state: SpecState,
  text: string,
  version: number,
): Pick<SpecState, 'changedInVersion' | 'changesKnownSince'> {
  const changesKnownSince = Math.max(state.changesKnownSince, version - CHANGED_VERSIONS_KEPT);
  const changedInVersion = Object.fromEntries(
    Object.entries(state.changedInVersion).filter(([, at]) => at > changesKnownSince),
  );
  for (const key of differingKeys(parseObjectOrEmpty(state.spec?.text ?? '{}'), parseObjectOrEmpty(text)))
    changedInVersion[key] = version;
  return { changedInVersion, changesKnownSince };
}

function parseObjectOrEmpty(text: string): Record<string, unknown> {
  const read = readJson(text);
  return read.isOk ? (read.value as Record<string, unknown>) : {};
}

function applyMergePatch(
  state: SpecState,
  operation: string,
  base: number | undefined,
  patch: Record<string, unknown>,
  level: number,
): ApplyResult {
  const lists = Object.keys(patch).filter((key) => Array.isArray(patch[key]));
  if (level > 1 && base === undefined && lists.length > 0) {
    return refuse(
      state,
      'bad-request',
      `${lists.join(', ')}: a list would be replaced whole; name its entries (add, replace, remove), or give the base version`,
    );
  }
  return adoptSpec(
    state,
    operation,
    base,
    JSON.stringify(mergePatch(parseObjectOrEmpty(state.spec?.text ?? '{}'), patch), undefined, 2),
  );
}

/**
 * Applies an edit to the spec in force. It conflicts if one of its entries was changed after the version that
 * its author had seen; changes of other entries since then are kept.
 */
function applySpecEdit(
  state: SpecState,
  operation: string,
  call: v.InferOutput<typeof EditSchema>,
): ApplyResult {
  const current = state.spec?.version ?? 0;
  if (state.spec === undefined) return refuse(state, 'not-found', 'no spec has been agreed yet');
  const { base, seen } = call;
  if (base !== undefined && base !== current)
    return refuse(state, 'conflict', `version ${current} is in force, not ${base}`);
  if (seen < state.changesKnownSince || seen > current)
    return refuse(
      state,
      'conflict',
      `made for version ${seen}; version ${current} is in force, and what was touched is known back to ${state.changesKnownSince}`,
    );
  const read = readEdit(call.edit);
  if (read.isErr) return refuse(state, 'bad-request', specFaultText(read.error));
  const conflicting = editedKeys(read.value).filter((key) => (state.changedInVersion[key] ?? 0) > seen);
  if (conflicting.length > 0) {
    return refuse(
      state,
      'conflict',
      conflicting
        .map(
          (key) => `${key} was changed in version ${state.changedInVersion[key] ?? 0}, after version ${seen}`,
        )
        .join('\n'),
    );
  }
  const edited = applyEdit(parseObjectOrEmpty(state.spec.text), read.value);
  if (edited.isErr) return refuse(state, 'conflict', specFaultText(edited.error));
  return adoptSpec(state, operation, undefined, JSON.stringify(edited.value, undefined, 2));
}

function setZoneEvacuation(state: SpecState, kind: string, zone: string): ApplyResult {
  if (state.spec === undefined || !state.spec.spec.zones.includes(zone))
    return refuse(state, 'not-found', `no zone "${zone}"`);
  const others = state.evacuatedZones.filter((name) => name !== zone);
  const evacuatedZones = kind === 'zone.empty' ? [...others, zone].sort() : others;
  return agree(
    { ...state, evacuatedZones },
    `zone ${zone} ${kind === 'zone.empty' ? 'emptied' : 'restored'}`,
  );
}

function applyPlacement(
  state: SpecState,
  epoch: number,
  workers: Record<string, readonly HoldingTarget[]>,
): ApplyResult {
  if (epoch < state.placedBy) return refuse(state, 'conflict', `epoch ${state.placedBy} places now`);
  const placement = Object.entries({ ...state.placement, ...workers }).filter(
    ([, holdings]) => holdings.length > 0,
  );
  return agree({ ...state, placedBy: epoch, placement: Object.fromEntries(placement) }, 'placed');
}

/**
 * Applies one operation to the spec state: a pure function, so that every node computes the same state.
 * @example
 * applyToSpecState(EMPTY_SPEC_STATE, { id: '1', kind: 'zone.empty', payload: '{"zone":"north"}' }, 2).outcome.kind; // 'not-found'
 */
export function applyToSpecState(
  state: SpecState,
  operation: { id: string; kind: string; payload: string },
  level: number,
): ApplyResult {
  const applied = dispatchOperation(state, operation, level);
  return level === 1 ? { ...applied, state: specStateWithoutExtension(applied.state) } : applied;
}

/**
 * Returns the spec state without the fields that level 1 of the protocol does not carry.
 * @example
 * specStateWithoutExtension(state).changedInVersion; // {}
 */
export function specStateWithoutExtension(state: SpecState): SpecState {
  const since = state.spec?.version ?? 0;
  return state.changesKnownSince === since && Object.keys(state.changedInVersion).length === 0
    ? state
    : { ...state, changedInVersion: {}, changesKnownSince: since };
}

function dispatchOperation(
  state: SpecState,
  operation: { id: string; kind: string; payload: string },
  level: number,
): ApplyResult {
  const read = readJson(operation.payload);
  const data = read.isOk ? read.value : undefined;
  switch (operation.kind) {
    case 'spec.put': {
      const put = v.safeParse(PutSchema, data);
      return put.success
        ? adoptSpec(state, operation.id, put.output.base, put.output.text)
        : refuse(state, 'bad-request', 'not a spec');
    }
    case 'spec.change': {
      const change = v.safeParse(MergePatchSchema, data);
      if (!change.success) return refuse(state, 'bad-request', 'not a change');
      return applyMergePatch(state, operation.id, change.output.base, change.output.patch, level);
    }
    case 'spec.edit': {
      if (level === 1) return refuse(state, 'bad-request', `no operation "${operation.kind}"`);
      const edit = v.safeParse(EditSchema, data);
      return edit.success
        ? applySpecEdit(state, operation.id, edit.output)
        : refuse(state, 'bad-request', 'not an edit');
    }
    case 'zone.empty':
    case 'zone.restore': {
      const zone = v.safeParse(ZoneSchema, data);
      return zone.success
        ? setZoneEvacuation(state, operation.kind, zone.output.zone)
        : refuse(state, 'bad-request', 'no zone named');
    }
    case 'place': {
      const placed = v.safeParse(PlacementSchema, data);
      return placed.success
        ? applyPlacement(state, placed.output.epoch, placed.output.workers)
        : refuse(state, 'bad-request', 'not a placement');
    }
    default:
      return refuse(state, 'bad-request', `no operation "${operation.kind}"`);
  }
}

/** The encoded spec state. */
export interface EncodedSpecState {
  /** The fields that every level of the protocol can read. */
  readonly application: Uint8Array;
  /** The fields that later levels added. */
  readonly applicationExtension: Uint8Array;
}

/**
 * Encodes the spec state for disks and joining cores, with the fields that level 1 cannot read apart.
 * @example
 * decodeSpecState(encodeSpecState(EMPTY_SPEC_STATE)).isOk; // true
 */
export function encodeSpecState(state: SpecState): EncodedSpecState {
  const stored = {
    version: state.spec?.version ?? 0,
    operation: state.spec?.operation ?? '',
    text: state.spec?.text ?? '',
    history: state.history,
    emptied: state.evacuatedZones,
    placedBy: state.placedBy,
    placement: state.placement,
  };
  const { changedInVersion: touched, changesKnownSince: since } = state;
  const encoder = new TextEncoder();
  return {
    application: encoder.encode(JSON.stringify(stored)),
    applicationExtension: encoder.encode(JSON.stringify({ touched, since })),
  };
}

/**
 * Decodes a spec state; fails if the bytes are not JSON or do not match the schema.
 * @example
 * decodeSpecState({ application: new Uint8Array([1]), applicationExtension: new Uint8Array() }).isErr; // true
 */
export function decodeSpecState(encoded: EncodedSpecState): Result<SpecState, Fault> {
  return readJson(new TextDecoder().decode(encoded.application)).andThen((data) => {
    const stored = v.safeParse(StoredSchema, data);
    if (!stored.success)
      return Result.err<SpecState, Fault>(fault('damaged', 'the stored spec state cannot be read'));
    const { version, operation, text, history, emptied, placedBy, placement } = stored.output;
    const extension = v.safeParse(
      ExtensionSchema,
      encoded.applicationExtension.length === 0
        ? undefined
        : parseObjectOrEmpty(new TextDecoder().decode(encoded.applicationExtension)),
    );
    const { touched, since } = extension.success ? extension.output : { touched: {}, since: version };
    const rest: Omit<SpecState, 'spec'> = {
      history,
      evacuatedZones: emptied,
      placedBy,
      placement,
      changedInVersion: touched,
      changesKnownSince: since,
    };
    if (version === 0) return Result.ok<SpecState, Fault>({ spec: undefined, ...rest });
    return readSpec(text)
      .map((spec): SpecState => ({ spec: { version, operation, text, spec }, ...rest }))
      .mapErr((faults) => fault('damaged', specFaultText(faults)));
  });
}
