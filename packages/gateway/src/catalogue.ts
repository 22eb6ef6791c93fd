/** Index of a spec, for the gateway's look-ups. */
import type { Spec, SpecGroup } from '@rainrun/configuration';

type Route = Spec['routes'][number];

/**
 * A spec indexed by name and by path.
 * @example
 * const catalogue = new Catalogue(spec);
 * catalogue.route('/v1/lookup/turbines/7')?.pool; // 'specifications'
 */
export class Catalogue {
  #routes: ReadonlyMap<string, Route>;
  #groups: ReadonlyMap<string, SpecGroup>;
  #models: ReadonlySet<string>;
  #adapters: ReadonlyMap<string, string>;

  constructor(spec: Spec) {
    this.#routes = new Map(spec.routes.map((route) => [route.path, route]));
    this.#groups = new Map(spec.groups.map((group) => [group.name, group]));
    this.#models = new Set(spec.models.map((model) => model.name));
    this.#adapters = new Map(spec.adapters.map((adapter) => [adapter.name, adapter.model]));
  }

  /** The route of a path: an exact match, or else the lookup route with the longest matching parent path. */
  route(path: string): Route | undefined {
    const pathname = path.split('?')[0] ?? path;
    const exact = this.#routes.get(pathname);
    if (exact !== undefined) return exact;
    for (let end = pathname.lastIndexOf('/'); end > 0; end = pathname.lastIndexOf('/', end - 1)) {
      const parent = this.#routes.get(pathname.slice(0, end));
      if (parent?.serve === 'lookup') return parent;
    }
    return undefined;
  }

  group(name: string): SpecGroup | undefined {
    return this.#groups.get(name);
  }

  /** Whether the model exists and the group may use it. */
  mayUseModel(group: SpecGroup, model: string): boolean {
    return this.#models.has(model) && (group.models.includes('*') || group.models.includes(model));
  }

  hasAdapter(model: string, adapter: string): boolean {
    return this.#adapters.get(adapter) === model;
  }
}
