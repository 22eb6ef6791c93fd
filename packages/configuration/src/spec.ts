/** The spec of a deployment shared by research groups: its schema and checks, and merge patches on it. */
import { describeError, fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import * as v from 'valibot';

/** Largest size of a spec text in bytes. */
export const SPEC_MAX_BYTES = 2 * 1024 * 1024;

/** Largest number of routes in a spec. */
export const ROUTES_MAX = 10_000;

const Name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'a name of a-z, 0-9, ".", "_", "-"'));
const PositiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000_000));
const Fraction = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

const KindSchema = v.strictObject({
  name: Name,
  /** Time within which the first piece of an answer should arrive. */
  targetMs: PositiveInteger,
  /** Time that a request may wait before it is refused. */
  patienceMs: PositiveInteger,
});

const GroupSchema = v.strictObject({
  name: Name,
  share: v.pipe(v.number(), v.minValue(0.01), v.maxValue(1000)),
  kinds: v.pipe(v.array(KindSchema), v.minLength(1)),
  /** Models that this group may use; "*" stands for all. */
  models: v.pipe(v.array(v.union([Name, v.literal('*')])), v.minLength(1)),
});

const SpecSchema = v.strictObject({
  deployment: Name,
  zones: v.pipe(v.array(Name), v.minLength(1), v.maxLength(64)),
  store: v.strictObject({ pullsPerMinute: PositiveInteger, concurrentPulls: PositiveInteger }),
  retries: v.optional(
    v.strictObject({
      ratio: Fraction,
      allowance: v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1000)),
    }),
    {
      ratio: 0.2,
      allowance: 10,
    },
  ),
  workers: v.strictObject({
    roomMb: PositiveInteger,
    slots: v.pipe(PositiveInteger, v.maxValue(4096)),
    named: v.optional(
      v.array(
        v.strictObject({
          name: Name,
          roomMb: PositiveInteger,
          slots: v.pipe(PositiveInteger, v.maxValue(4096)),
        }),
      ),
      [],
    ),
  }),
  models: v.pipe(v.array(v.strictObject({ name: Name, sizeMb: PositiveInteger })), v.minLength(1)),
  adapters: v.array(v.strictObject({ name: Name, model: Name, sizeMb: PositiveInteger })),
  groups: v.pipe(v.array(GroupSchema), v.minLength(1)),
  routes: v.pipe(
    v.array(
      v.strictObject({
        path: v.pipe(v.string(), v.regex(/^\/[A-Za-z0-9/_.-]{0,200}$/, 'a path such as /v1/lookup/turbines')),
        serve: v.picklist(['chat', 'lookup']),
        pool: v.optional(Name, 'models'),
      }),
    ),
    v.minLength(1),
    v.maxLength(ROUTES_MAX, `more than ${ROUTES_MAX} routes`),
  ),
});

/** A checked spec. */
export type Spec = v.InferOutput<typeof SpecSchema>;
/** A research group of a spec. */
export type SpecGroup = Spec['groups'][number];

/** A fault in a spec, with its path. */
export interface SpecFault {
  readonly path: string;
  readonly message: string;
}

function duplicateNameFaults(path: string, names: readonly string[]): SpecFault[] {
  const seen = new Set<string>();
  const faults: SpecFault[] = [];
  names.forEach((name, index) => {
    if (seen.has(name))
      faults.push({ path: `${path}.${index}`, message: `"${name}" stands here a second time` });
    seen.add(name);
  });
  return faults;
}

function crossReferenceFaults(spec: Spec): SpecFault[] {
  const models = new Set(spec.models.map((model) => model.name));
  const largestMb = Math.max(spec.workers.roomMb, ...spec.workers.named.map((worker) => worker.roomMb));
  const sizes = new Map(spec.models.map((model) => [model.name, model.sizeMb]));
  const faults = [
    ...duplicateNameFaults('zones', spec.zones),
    ...duplicateNameFaults(
      'models',
      spec.models.map((model) => model.name),
    ),
    ...duplicateNameFaults(
      'adapters',
      spec.adapters.map((adapter) => adapter.name),
    ),
    ...duplicateNameFaults(
      'groups',
      spec.groups.map((group) => group.name),
    ),
    ...duplicateNameFaults(
      'routes',
      spec.routes.map((route) => route.path),
    ),
    ...duplicateNameFaults(
      'workers.named',
      spec.workers.named.map((worker) => worker.name),
    ),
  ];
  spec.models.forEach((model, index) => {
    if (model.sizeMb <= largestMb) return;
    faults.push({
      path: `models.${index}.sizeMb`,
      message: `${model.sizeMb} MB is more than any worker's room of ${largestMb} MB`,
    });
  });
  spec.adapters.forEach((adapter, index) => {
    const modelMb = sizes.get(adapter.model);
    if (modelMb === undefined)
      faults.push({ path: `adapters.${index}.model`, message: `unknown model "${adapter.model}"` });
    else if (modelMb + adapter.sizeMb > largestMb) {
      faults.push({
        path: `adapters.${index}.sizeMb`,
        message: `with its model ${modelMb + adapter.sizeMb} MB, more than any worker's room`,
      });
    }
  });
  spec.groups.forEach((group, index) => {
    faults.push(
      ...duplicateNameFaults(
        `groups.${index}.kinds`,
        group.kinds.map((kind) => kind.name),
      ),
    );
    group.models.forEach((name, modelIndex) => {
      if (name !== '*' && !models.has(name))
        faults.push({ path: `groups.${index}.models.${modelIndex}`, message: `unknown model "${name}"` });
    });
  });
  return faults;
}

/**
 * Parses and checks a complete spec; on failure returns every fault with its path.
 * @example
 * readSpec('{}').isErr; // true
 */
export function readSpec(text: string): Result<Spec, SpecFault[]> {
  if (Buffer.byteLength(text) > SPEC_MAX_BYTES) {
    return Result.err([{ path: '', message: `longer than ${SPEC_MAX_BYTES} bytes` }]);
  }
  if (text.trim() === '') return Result.err([{ path: '', message: 'the spec is empty' }]);
  return tryOrElse(
    (thrown) => [{ path: '', message: `not JSON: ${describeError(thrown)}` }],
    () => JSON.parse(text) as unknown,
  ).andThen((data) => {
    const parsed = v.safeParse(SpecSchema, data);
    if (!parsed.success) {
      return Result.err<Spec, SpecFault[]>(
        parsed.issues.map((issue) => ({ path: v.getDotPath(issue) ?? '', message: issue.message })),
      );
    }
    const faults = crossReferenceFaults(parsed.output);
    return faults.length > 0
      ? Result.err<Spec, SpecFault[]>(faults)
      : Result.ok<Spec, SpecFault[]>(parsed.output);
  });
}

/**
 * Formats faults as one text with a line for each.
 * @example
 * specFaultText([{ path: 'zones', message: 'missing' }]); // 'zones: missing'
 */
export function specFaultText(faults: readonly SpecFault[]): string {
  return faults.map((item) => `${item.path === '' ? 'spec' : item.path}: ${item.message}`).join('\n');
}

/**
 * Applies a JSON merge patch (RFC 7396): null removes a key, objects are merged, any other value replaces.
 * @example
 * mergePatch({ a: 1, b: 2 }, { b: null }); // { a: 1 }
 */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (typeof patch !== 'object' || patch === null || Array.isArray(patch)) return patch;
  const base = typeof target === 'object' && target !== null && !Array.isArray(target) ? target : {};
  const merged = new Map<string, unknown>(Object.entries(base));
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) merged.delete(key);
    else merged.set(key, mergePatch(merged.get(key), value));
  }
  return Object.fromEntries(merged);
}

/**
 * Parses a JSON text; fails with a `bad-request` fault if it is not JSON.
 * @example
 * readJson('{"a":1}').isOk; // true
 */
export function readJson(text: string): Result<unknown, Fault> {
  return tryOrElse(
    (thrown) => fault('bad-request', `not JSON: ${describeError(thrown)}`, { cause: thrown }),
    () => JSON.parse(text) as unknown,
  );
}
