/** Converts the engines of a configuration to the form that placement reads. Platform family. */
import { checkedConfiguration, type Configuration, type Deployment } from '@rainrun/configuration';
import type { Engine } from '@rainrun/placement';

/** Engines by the name of their service. */
export type EnginesByService = ReadonlyMap<string, Engine>;

/**
 * The engines that a configuration describes, by service. Load times are in milliseconds, sizes in megabytes.
 * @example
 * enginesOf(undefined).size; // 0
 */
export function enginesOf(configuration: Configuration | undefined): EnginesByService {
  const engines = new Map<string, Engine>();
  for (const { name, engine } of configuration?.services ?? []) {
    if (engine === undefined || engine === null || engine.models.length === 0) continue;
    engines.set(name, {
      service: name,
      slots: engine.slots,
      roomMb: engine.roomMb,
      adapterPlaces: engine.adapterPlaces,
      loadsPerS: engine.loadsPerS,
      models: new Map(
        engine.models.map((model) => [
          model.name,
          { name: model.name, sizeMb: model.sizeMb, loadMs: model.loadS * 1000, adapterMb: model.adapterMb },
        ]),
      ),
    });
  }
  return engines;
}

/**
 * Caches the engines of the newest state, so that they are computed once per state.
 * @example
 * new EngineCache().enginesOf(state);
 */
export class EngineCache {
  #cached: { readonly state: Deployment; readonly engines: EnginesByService } | undefined;

  enginesOf(state: Deployment): EnginesByService {
    if (this.#cached?.state !== state) {
      this.#cached = { state, engines: enginesOf(checkedConfiguration(state.document)) };
    }
    return this.#cached.engines;
  }
}
