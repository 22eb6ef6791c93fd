/** What the gateway of the research groups' deployment is given by its node. */
import type { Spec } from '@rainrun/configuration';
import type { RandomSource, Clock, FaultKind } from '@rainrun/common';
import type { Sender } from './sender.js';

/** A worker as the gateway needs to see it. */
export interface GatewayWorker {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly pool: string;
  readonly draining: boolean;
  readonly evacuated: boolean;
  readonly reachable: boolean;
  readonly slots: number;
  readonly holdings: readonly { readonly model: string; readonly adapters: readonly string[] }[];
  readonly sinceMs: ReadonlyMap<string, number>;
  readonly othersInFlight: number;
}

/** What the gateway asks of its node. */
export interface GatewayDependencies {
  readonly name: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly chance: RandomSource;
  readonly sender: Sender;
  spec(): Spec | undefined;
  workers(): readonly GatewayWorker[];
  /** Names of the edges in the view; none while this node is in no view. */
  edges(): readonly string[];
  /** This node's incarnation in the group. */
  incarnation(): string;
  /** Whether this node holds a lease and may admit requests. */
  hasLease(): boolean;
  /** The weight of a group now, from its share and its loop. */
  weight(group: string): number;
}

/** A client's request, as read from HTTP. */
export interface GatewayRequestInit {
  readonly id: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly group: string;
  readonly kind: string;
  readonly model: string;
  readonly adapter: string;
  readonly prefix: number;
  readonly streamed: boolean;
  readonly body: Uint8Array | undefined;
  /** How long the client will wait from now, in milliseconds; undefined if it names no deadline. */
  readonly deadlineMs: number | undefined;
}

/** How one request ended. */
export interface EndRecord {
  readonly id: string;
  readonly group: string;
  readonly kind: string;
  readonly model: string;
  readonly adapter: string;
  readonly path: string;
  readonly stream: boolean;
  readonly prefix: number;
  readonly body: Uint8Array | undefined;
  readonly worker: string;
  readonly outcome: 'served' | 'cut' | FaultKind;
  readonly arrivedMs: number;
  readonly firstPieceMs: number | undefined;
  readonly endedMs: number;
  readonly sends: number;
  readonly trail: readonly string[];
}
