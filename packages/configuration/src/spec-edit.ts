/** Edits of a spec: changes that name each entry that they add, replace or remove. */
import { Result } from 'true-myth';
import * as v from 'valibot';
import type { SpecFault } from './spec.js';

const NamedEntrySchema = v.looseObject({ name: v.string() });
const RouteEntrySchema = v.looseObject({ path: v.string() });
const NameListSchema = v.optional(v.array(v.string()), []);
const EntryListSchema = v.optional(v.array(NamedEntrySchema), []);

const SECTION_SCHEMAS = {
  models: EntryListSchema,
  adapters: EntryListSchema,
  groups: EntryListSchema,
  routes: v.optional(v.array(RouteEntrySchema), []),
  workers: EntryListSchema,
};

/**
 * The parts of a spec that are not lists. `store` and `retries` are replaced as a whole; `workers` is merged.
 */
const SETTABLE_PARTS = ['store', 'retries', 'workers'] as const;

const EditSchema = v.strictObject({
  add: v.optional(v.strictObject({ zones: NameListSchema, ...SECTION_SCHEMAS }), {}),
  replace: v.optional(v.strictObject(SECTION_SCHEMAS), {}),
  remove: v.optional(
    v.strictObject({
      zones: NameListSchema,
      models: NameListSchema,
      adapters: NameListSchema,
      groups: NameListSchema,
      routes: NameListSchema,
      workers: NameListSchema,
    }),
    {},
  ),
  set: v.optional(
    v.strictObject({
      store: v.optional(v.looseObject({})),
      retries: v.optional(v.looseObject({})),
      workers: v.optional(v.strictObject({ roomMb: v.optional(v.number()), slots: v.optional(v.number()) })),
    }),
    {},
  ),
});

/** A change that names each entry that it adds, replaces or removes. */
export type Edit = v.InferOutput<typeof EditSchema>;

/** The lists of a spec whose entries have names. `workers` is `workers.named`, the workers with own sizes. */
export const SECTIONS = ['zones', 'models', 'adapters', 'groups', 'routes', 'workers'] as const;
type Section = (typeof SECTIONS)[number];
type Entry = Record<string, unknown> | string;
type RawSpec = Record<string, unknown>;

/**
 * Tells by the keys of a JSON value whether it is an edit and not a merge patch.
 * @example
 * isEdit({ add: { zones: ['west'] } }); // true
 */
export function isEdit(data: unknown): boolean {
  return (
    typeof data === 'object' &&
    data !== null &&
    Object.keys(data).length > 0 &&
    Object.keys(data).every((key) => key in EditSchema.entries)
  );
}

/**
 * Parses and checks an edit; on failure returns each fault with its path.
 * @example
 * readEdit({ add: { groups: [{}] } }).isErr; // true: the entry has no name
 */
export function readEdit(data: unknown): Result<Edit, SpecFault[]> {
  const parsed = v.safeParse(EditSchema, data);
  if (!parsed.success) {
    return Result.err(
      parsed.issues.map((issue) => ({ path: v.getDotPath(issue) ?? 'change', message: issue.message })),
    );
  }
  const seen = new Set<string>();
  const faults: SpecFault[] = [];
  for (const { path, key } of editedEntries(parsed.output)) {
    if (seen.has(key)) faults.push({ path, message: `${key} is named a second time` });
    seen.add(key);
  }
  return faults.length > 0 ? Result.err(faults) : Result.ok(parsed.output);
}

/**
 * Returns the keys of all entries that an edit changes, such as `groups/analysts`.
 * @example
 * editedKeys({ add: {}, replace: {}, remove: { zones: ['west'] }, set: {} }); // ['zones/west']
 */
export function editedKeys(edit: Edit): string[] {
  return editedEntries(edit).map(({ key }) => key);
}

function editedEntries(edit: Edit): { path: string; key: string }[] {
  const keys: { path: string; key: string }[] = [];
  for (const operation of ['add', 'replace', 'remove'] as const) {
    const lists = edit[operation] as Partial<Record<Section, readonly Entry[]>>;
    for (const section of SECTIONS) {
      (lists[section] ?? []).forEach((entry, index) => {
        keys.push({ path: `${operation}.${section}.${index}`, key: `${section}/${nameOf(entry)}` });
      });
    }
  }
  for (const part of SETTABLE_PARTS)
    if (edit.set[part] !== undefined) keys.push({ path: `set.${part}`, key: part });
  return keys;
}

function nameOf(entry: Entry): string {
  if (typeof entry === 'string') return entry;
  const name = entry['name'] ?? entry['path'];
  return typeof name === 'string' ? name : '';
}

function listOf(spec: RawSpec, section: Section): readonly Entry[] {
  const list = section === 'workers' ? (spec['workers'] as RawSpec | undefined)?.['named'] : spec[section];
  return (list ?? []) as readonly Entry[];
}

function withList(spec: RawSpec, section: Section, list: readonly Entry[]): RawSpec {
  if (section === 'workers') return { ...spec, workers: { ...(spec['workers'] as RawSpec), named: list } };
  return { ...spec, [section]: list };
}

/**
 * Applies an edit to a spec. Fails where an entry to be added exists already, or one to be replaced or
 * removed does not exist.
 * @example
 * applyEdit({ zones: ['north'] }, edit);
 */
export function applyEdit(spec: RawSpec, edit: Edit): Result<RawSpec, SpecFault[]> {
  const faults: SpecFault[] = [];
  let edited = spec;
  for (const section of SECTIONS) {
    const entries = new Map(listOf(edited, section).map((entry) => [nameOf(entry), entry]));
    const { add, replace, remove } = edit as Record<
      'add' | 'replace' | 'remove',
      Partial<Record<Section, readonly Entry[]>>
    >;
    (remove[section] ?? []).forEach((entry, index) => {
      if (!entries.delete(nameOf(entry)))
        faults.push({
          path: `remove.${section}.${index}`,
          message: `there is no "${nameOf(entry)}" in ${section}`,
        });
    });
    (replace[section] ?? []).forEach((entry, index) => {
      if (!entries.has(nameOf(entry)))
        faults.push({
          path: `replace.${section}.${index}`,
          message: `there is no "${nameOf(entry)}" in ${section}`,
        });
      entries.set(nameOf(entry), entry);
    });
    (add[section] ?? []).forEach((entry, index) => {
      if (entries.has(nameOf(entry)))
        faults.push({
          path: `add.${section}.${index}`,
          message: `"${nameOf(entry)}" is in ${section} already`,
        });
      entries.set(nameOf(entry), entry);
    });
    if (entries.size > 0 || listOf(edited, section).length > 0)
      edited = withList(edited, section, [...entries.values()]);
  }
  for (const part of SETTABLE_PARTS) {
    const value = edit.set[part];
    if (value !== undefined)
      edited = { ...edited, [part]: part === 'workers' ? { ...(edited[part] as RawSpec), ...value } : value };
  }
  return faults.length > 0 ? Result.err(faults) : Result.ok(edited);
}

/**
 * Returns the keys of all entries in which two specs differ.
 * @example
 * differingKeys({ zones: ['a'] }, { zones: ['a', 'b'] }); // ['zones/b']
 */
export function differingKeys(oldSpec: RawSpec, newSpec: RawSpec): string[] {
  const keys: string[] = [];
  for (const section of SECTIONS) {
    const before = new Map(listOf(oldSpec, section).map((entry) => [nameOf(entry), JSON.stringify(entry)]));
    const after = new Map(listOf(newSpec, section).map((entry) => [nameOf(entry), JSON.stringify(entry)]));
    for (const name of new Set([...before.keys(), ...after.keys()])) {
      if (before.get(name) !== after.get(name)) keys.push(`${section}/${name}`);
    }
  }
  function partText(spec: RawSpec, part: string): string | undefined {
    return JSON.stringify(
      part === 'workers' ? { ...(spec[part] as RawSpec | undefined), named: undefined } : spec[part],
    );
  }
  for (const part of SETTABLE_PARTS) if (partText(oldSpec, part) !== partText(newSpec, part)) keys.push(part);
  return keys;
}
