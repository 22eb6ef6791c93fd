/** Selects the cores that an edge subscribes to, and tracks which of them answer. Platform family. */
import type { Member } from '@rainrun/messages';
import { spread } from '@rainrun/common';

/** A core that has not answered for this long is removed, unless it is a seed. */
const CORE_EXPIRY_MS = 10_000;
/** Number of cores with a lease to subscribe to. The coordinator is added if it is not among them. */
const CORES_MAX = 3;
/** A core that has not answered for this long counts as unreachable. */
const CORE_TIMEOUT_MS = 1500;

/** What an edge knows about one core. Times are of the edge's clock. */
export interface Core {
  readonly address: string;
  /** The incarnation at this address; empty until a view has named it. */
  incarnation: string;
  /**
   * Sort key, the lowest first. It differs between edges, so that all cores get about as many subscribers.
   */
  readonly preference: number;
  lastContactMs: number;
  /** Whether the core held a lease when it last answered. */
  hasLease: boolean;
  /** When this edge last subscribed to the core or renewed the subscription. */
  subscribedMs: number;
}

/** The edge's own identity, and the addresses of the cores that it contacts first. */
export interface CoreSelectionSettings {
  readonly incarnation: string;
  readonly address: string;
  readonly seeds: readonly string[];
}

/**
 * The cores that an edge knows, and the choice of those to subscribe to.
 * @example
 * const selection = new CoreSelection({ incarnation, address, seeds });
 * for (const core of selection.subscribedCores(nowMs)) subscribe(core);
 */
export class CoreSelection {
  #settings: CoreSelectionSettings;
  #cores = new Map<string, Core>();
  #coordinator: Member | undefined;

  constructor(settings: CoreSelectionSettings) {
    this.#settings = settings;
  }

  /** Whether a core with a lease has named a coordinator. */
  get hasCoordinator(): boolean {
    return this.#coordinator !== undefined;
  }

  /** Addresses of all known cores. */
  get addresses(): string[] {
    return [...this.#cores.keys()];
  }

  isCoordinator(core: Core): boolean {
    return core.address === this.#coordinator?.address;
  }

  /** Whether a core that holds a lease answered within CORE_TIMEOUT_MS. */
  hasLiveLease(nowMs: number): boolean {
    return [...this.#cores.values()].some((core) => core.hasLease && isLive(core, nowMs));
  }

  /** Whether the coordinator answers this edge; if it does, it sends all updates without being asked. */
  isCoordinatorLive(nowMs: number): boolean {
    const core = this.#cores.get(this.#coordinator?.address ?? '');
    return core !== undefined && core.incarnation !== '' && isLive(core, nowMs);
  }

  /**
   * The coordinator and CORES_MAX preferred cores; all known cores if these are too few or no coordinator
   * answers.
   */
  subscribedCores(nowMs: number): Core[] {
    const { seeds, address: ownAddress } = this.#settings;
    for (const [address, core] of this.#cores)
      if (nowMs - core.lastContactMs > CORE_EXPIRY_MS && !seeds.includes(address))
        this.#cores.delete(address);
    for (const address of seeds) this.#core(address, nowMs);
    const known = [...this.#cores.values()].filter((core) => core.address !== ownAddress);
    const live = known.filter((core) => isLive(core, nowMs));
    const [coordinator] = known.filter((core) => this.isCoordinator(core));
    const preferred = live
      .filter((core) => core.hasLease)
      .sort((one, other) => one.preference - other.preference)
      .slice(0, CORES_MAX);
    const selected = new Set(coordinator === undefined ? preferred : [coordinator, ...preferred]);
    if (coordinator === undefined || !live.includes(coordinator) || selected.size < CORES_MAX)
      for (const core of known) selected.add(core);
    return [...selected];
  }

  /** Learns the incarnations of the cores in the view from an update. */
  learnMembers(members: readonly Member[], nowMs: number): void {
    for (const { address, incarnation } of members) this.#core(address, nowMs).incarnation = incarnation;
  }

  /** Records that a core answered. */
  onContact(incarnation: string, hasLease: boolean, nowMs: number): void {
    const core = [...this.#cores.values()].find((known) => known.incarnation === incarnation);
    if (core === undefined) return;
    core.lastContactMs = nowMs;
    core.hasLease = hasLease;
  }

  /** Learns the coordinator from a core that holds a lease. */
  learnCoordinator(coordinator: Member): void {
    this.#coordinator = coordinator;
  }

  #core(address: string, nowMs: number): Core {
    let core = this.#cores.get(address);
    if (core === undefined) {
      core = {
        address,
        incarnation: '',
        preference: spread(`${this.#settings.incarnation} ${address}`),
        lastContactMs: nowMs,
        hasLease: false,
        subscribedMs: -Infinity,
      };
      this.#cores.set(address, core);
    }
    return core;
  }
}

function isLive(core: Core, nowMs: number): boolean {
  return nowMs - core.lastContactMs < CORE_TIMEOUT_MS;
}
