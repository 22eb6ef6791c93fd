/**
 * The replicated state of a deployment, and the operations that change it. All functions here are pure, so
 * that every core computes the same state.
 */
import { describeJsonError, fault, type Fault, type FaultKind } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import * as v from 'valibot';
import { checkConfiguration } from './configuration.js';
import { documentText } from './document-text.js';
import { issueMessage } from './issue-text.js';
import {
  digestOfChange,
  mayHaveBeenForgotten,
  NO_ACCEPTED_CHANGES,
  findAcceptedChange,
  withAcceptedChange,
  type AcceptedChanges,
} from './accepted-changes.js';

/** A configuration document as it was sent, with the key names of this project. */
export type ConfigurationDocument = Readonly<Record<string, unknown>>;

/** The replicated state of a deployment that is configured by routes and services. */
export interface Deployment {
  /** Counts the operations that changed the state. */
  readonly edition: number;
  /** The document in force; undefined before the first one. */
  readonly document: ConfigurationDocument | undefined;
  readonly revision: number;
  readonly evacuated: readonly string[];
  /** The edition in which each zone was last evacuated or returned. */
  readonly zones: Readonly<Record<string, number>>;
  readonly accepted: AcceptedChanges;
}

/** The state before the first operation. */
export const EMPTY_DEPLOYMENT: Deployment = {
  edition: 0,
  document: undefined,
  revision: 0,
  evacuated: [],
  zones: {},
  accepted: NO_ACCEPTED_CHANGES,
};

/**
 * Largest size of a document as JSON text, in bytes. One message between nodes carries at most 8 MiB and
 * holds both the operation and the state that results from it.
 */
export const DOCUMENT_MAX_BYTES = 3 * 1024 * 1024;

/** Largest number of zone names kept in `zones`: callers choose the names, so the map must be bounded. */
const ZONES_MAX = 1024;

/** An operation by which an operator changes the deployment. */
export type DeploymentOperation =
  | {
      readonly kind: 'configuration.put';
      /** The revision that must be in force for the operation to be accepted. */
      readonly base?: number | undefined;
      readonly document: ConfigurationDocument;
    }
  | {
      readonly kind: 'configuration.patch';
      readonly base?: number | undefined;
      readonly patch: v.InferOutput<typeof PatchSchema>['patch'];
    }
  | {
      readonly kind: 'zone.evacuate' | 'zone.return';
      readonly zone: string;
      /** Edition that the caller's node held, by which a delayed call is kept from undoing a later one. */
      readonly seen?: number | undefined;
    };

const Revision = v.pipe(v.number(), v.safeInteger(), v.minValue(1));
const BaseRevision = v.optional(v.pipe(v.number(), v.safeInteger(), v.minValue(0)));
const PutSchema = v.object({ base: BaseRevision, document: v.record(v.string(), v.unknown()) });
const ItemsSchema = v.record(v.string(), v.unknown());
/**
 * Checked as a whole, so that the error message holds no name chosen by the caller, which may be a secret.
 */
const DropSchema = v.pipe(
  v.record(v.string(), v.unknown()),
  v.check(
    (lists) => Object.values(lists).every((names) => names === null || isListOfNames(names)),
    'lists of names',
  ),
  v.transform((lists) => lists as Readonly<Record<string, readonly string[] | null>>),
);
const PatchSchema = v.object({
  base: BaseRevision,
  /**
   * Unknown fields change nothing in the document, but they enter the digest that tells two changes apart.
   */
  patch: v.looseObject({
    revision: Revision,
    set: v.optional(v.nullable(ItemsSchema), {}),
    drop: v.optional(v.nullable(DropSchema), {}),
  }),
});
const ZoneSchema = v.object({
  zone: v.pipe(v.string(), v.minLength(1), v.maxLength(200)),
  seen: v.optional(v.number()),
});

function isListOfNames(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}

function parsePayload<S extends v.GenericSchema>(
  schema: S,
  payload: unknown,
  kind: FaultKind,
): Result<v.InferOutput<S>, Fault> {
  const read = v.safeParse(schema, payload);
  if (read.success) return Result.ok(read.output);
  const [issue] = read.issues;
  return Result.err(fault(kind, `${v.getDotPath(issue) ?? 'payload'}: ${issueMessage(issue)}`));
}

function checkedSize(document: ConfigurationDocument): Result<ConfigurationDocument, Fault> {
  const bytes = Buffer.byteLength(documentText(document));
  return bytes > DOCUMENT_MAX_BYTES
    ? Result.err(fault('too-large', `${bytes} bytes of configuration, at most ${DOCUMENT_MAX_BYTES}`))
    : Result.ok(document);
}

/** Checks the size and the content of a document, independently of the state. */
function checkedDocument(document: ConfigurationDocument): Result<ConfigurationDocument, Fault> {
  return checkedSize(document).andThen(() => checkConfiguration(document).map(() => document));
}

/**
 * Parses an operation and checks its form, but not the content of a document.
 * @example
 * readOperation('zone.evacuate', { zone: 'north' }).isOk; // true
 */
function readOperation(kind: string, payload: unknown): Result<DeploymentOperation, Fault> {
  switch (kind) {
    case 'configuration.put':
      return parsePayload(PutSchema, payload, 'bad-spec').map(({ base, document }) => ({
        kind,
        base,
        document,
      }));
    case 'configuration.patch':
      return parsePayload(PatchSchema, payload, 'bad-spec').map(({ base, patch }) => ({ kind, base, patch }));
    case 'zone.evacuate':
    case 'zone.return':
      return parsePayload(ZoneSchema, payload, 'bad-request').map(({ zone, seen }) => ({ kind, zone, seen }));
    default:
      return Result.err(fault('bad-request', `no operation "${kind}"`));
  }
}

/**
 * Checks an operation as far as that is possible without the state: its form and, for a complete
 * configuration, the whole document. An operation that fails here would be refused in every state.
 * @example
 * checkOperation('zone.evacuate', { zone: 'north' }).isOk; // true
 */
export function checkOperation(kind: string, payload: unknown): Result<DeploymentOperation, Fault> {
  return readOperation(kind, payload).andThen((operation) =>
    operation.kind === 'configuration.put'
      ? checkedDocument(operation.document).map(() => operation)
      : Result.ok<DeploymentOperation, Fault>(operation),
  );
}

/** The state after an operation, and the outcome of the operation. */
export interface ApplyResult {
  readonly state: Deployment;
  readonly outcome: { readonly kind: 'agreed' | FaultKind; readonly detail: string };
}

function agreed(state: Deployment, detail: string): ApplyResult {
  return { state, outcome: { kind: 'agreed', detail } };
}

function refused(state: Deployment, { kind, detail }: Fault): ApplyResult {
  return { state, outcome: { kind, detail } };
}

function nameOf(item: unknown): unknown {
  return typeof item === 'object' && item !== null ? (item as Record<string, unknown>)['name'] : undefined;
}

/**
 * Applies a patch to a document. Lists are changed item by item, matched by name; null in place of a list
 * changes nothing; any other value is replaced.
 */
function applyPatchToDocument(
  document: ConfigurationDocument,
  set: Readonly<Record<string, unknown>>,
  drop: Readonly<Record<string, readonly string[] | null>>,
): Record<string, unknown> {
  const next: Record<string, unknown> = { ...document };
  for (const [key, names] of Object.entries(drop)) {
    const list = next[key];
    const droppedNames = new Set(names ?? []);
    if (Array.isArray(list)) next[key] = list.filter((item) => !droppedNames.has(String(nameOf(item))));
  }
  for (const [key, value] of Object.entries(set)) {
    if (value === null && Array.isArray(next[key])) continue;
    next[key] = Array.isArray(value) ? upsertByName(next[key], value) : value;
  }
  return next;
}

function upsertByName(list: unknown, changes: readonly unknown[]): unknown[] {
  const items: unknown[] = Array.isArray(list) ? [...(list as unknown[])] : [];
  const indexByName = new Map<unknown, number>();
  for (const [index, item] of items.entries())
    if (!indexByName.has(nameOf(item))) indexByName.set(nameOf(item), index);
  for (const item of changes) {
    const index = indexByName.get(nameOf(item));
    if (index === undefined) {
      indexByName.set(nameOf(item), items.length);
      items.push(item);
    } else items[index] = item;
  }
  return items;
}

/** A PUT or PATCH of the configuration, in the form that `acceptChange` takes. */
interface ConfigurationChange {
  readonly base: number | undefined;
  readonly revision: number;
  /** Computes the digest of the change's content, which takes a pass over all of it. */
  digest(): string;
  /** Computes the resulting document, or the faults that make it invalid. */
  result(): Result<ConfigurationDocument, Fault>;
}

/**
 * Accepts a change at most once (idempotent). A change that was accepted before is acknowledged again,
 * whatever was accepted after it. A change that may have been accepted, but whose record was forgotten since,
 * ends as `operation-unknown`: it is neither acknowledged nor rejected.
 */
function acceptChange(state: Deployment, change: ConfigurationChange): ApplyResult {
  const { base, revision } = change;
  const earlier = findAcceptedChange(state.accepted, revision);
  if (earlier !== undefined && earlier.digest === change.digest())
    return agreed(state, `revision ${revision} was taken before`);
  if (mayHaveBeenForgotten(state.accepted, revision, base)) {
    const detail = `revision ${revision} is too old to know whether this change was taken`;
    return refused(state, fault('operation-unknown', detail));
  }
  if (base !== undefined && base !== state.revision)
    return refused(state, fault('conflict', `revision ${state.revision} is in force, not ${base}`));
  const next = change.result();
  if (next.isErr) return refused(state, next.error);
  if (revision <= state.revision) {
    const detail = `revision: found ${revision}, expected one above ${state.revision}`;
    return refused(state, fault('bad-spec', detail));
  }
  const accepted = withAcceptedChange(state.accepted, { revision, digest: change.digest() });
  return agreed(
    { ...state, edition: state.edition + 1, document: next.value, revision, accepted },
    `revision ${revision}`,
  );
}

/**
 * Applies a complete configuration. Where its revision is too old to be remembered, the document is checked
 * first: an invalid one was never accepted, so it is rejected instead of ending as `operation-unknown`.
 */
function applyPut(state: Deployment, base: number | undefined, document: ConfigurationDocument): ApplyResult {
  const revision = v.safeParse(Revision, document['revision']);
  if (!revision.success)
    return refused(state, fault('bad-spec', `revision: ${issueMessage(revision.issues[0])}`));
  if (mayHaveBeenForgotten(state.accepted, revision.output, base)) {
    const checked = checkedDocument(document);
    if (checked.isErr) return refused(state, checked.error);
  }
  return acceptChange(state, {
    base,
    revision: revision.output,
    digest: () => digestOfChange('put', base, documentText(document)),
    result: () => checkedDocument(document),
  });
}

function applyPatch(
  state: Deployment,
  base: number | undefined,
  patch: v.InferOutput<typeof PatchSchema>['patch'],
): ApplyResult {
  const { revision, set, drop } = patch;
  return acceptChange(state, {
    base,
    revision,
    digest: () => digestOfChange('patch', base, JSON.stringify(patch)),
    result: () =>
      checkedDocument({ ...applyPatchToDocument(state.document ?? {}, set ?? {}, drop ?? {}), revision }),
  });
}

function setZoneEvacuation(
  state: Deployment,
  zone: string,
  seen: number | undefined,
  evacuate: boolean,
): ApplyResult {
  const detail = `zone ${zone} ${evacuate ? 'evacuated' : 'taken back'}`;
  if (state.evacuated.includes(zone) === evacuate) return agreed(state, detail);
  const changedIn = state.zones[zone];
  if (seen !== undefined && (changedIn ?? 0) > seen) {
    const cause = `zone ${zone} was changed in edition ${changedIn ?? 0}, after edition ${seen}`;
    return refused(state, fault('operation-unknown', `${cause}; send it again if it is still meant`));
  }
  if (changedIn === undefined && Object.keys(state.zones).length >= ZONES_MAX)
    return refused(state, fault('bad-request', `${ZONES_MAX} zones are known already`));
  const others = state.evacuated.filter((known) => known !== zone);
  const edition = state.edition + 1;
  const zones = { ...state.zones, [zone]: edition };
  return agreed(
    { ...state, edition, zones, evacuated: evacuate ? [...others, zone].sort() : others },
    detail,
  );
}

/**
 * Size of the cache of parsed payloads: a coordinator applies each operation twice, when it proposes the
 * operation and when it delivers the version.
 */
const PARSED_PAYLOADS_MAX = 4;
const parsedPayloads: {
  readonly kind: string;
  readonly payload: string;
  readonly read: Result<DeploymentOperation, Fault>;
}[] = [];

function readPayload(kind: string, payload: string): Result<DeploymentOperation, Fault> {
  const cached = parsedPayloads.find((entry) => entry.kind === kind && entry.payload === payload);
  if (cached !== undefined) return cached.read;
  const read = tryOrElse(
    (thrown) => fault('bad-request', `not JSON: ${describeJsonError(thrown)}`),
    () => JSON.parse(payload) as unknown,
  ).andThen((data) => readOperation(kind, data));
  parsedPayloads.push({ kind, payload, read });
  if (parsedPayloads.length > PARSED_PAYLOADS_MAX) parsedPayloads.shift();
  return read;
}

/**
 * Applies one operation to the deployment's state. The result is the same on every node; a refused operation
 * leaves the state as it is.
 * @example
 * applyToDeployment(EMPTY_DEPLOYMENT, { kind: 'zone.evacuate', payload: '{"zone":"north"}' }).state.evacuated; // ['north']
 */
export function applyToDeployment(
  state: Deployment,
  { kind, payload }: { readonly kind: string; readonly payload: string },
): ApplyResult {
  const read = readPayload(kind, payload);
  if (read.isErr) return refused(state, read.error);
  const operation = read.value;
  switch (operation.kind) {
    case 'configuration.put':
      return applyPut(state, operation.base, operation.document);
    case 'configuration.patch':
      return applyPatch(state, operation.base, operation.patch);
    case 'zone.evacuate':
      return setZoneEvacuation(state, operation.zone, operation.seen, true);
    case 'zone.return':
      return setZoneEvacuation(state, operation.zone, operation.seen, false);
  }
}
