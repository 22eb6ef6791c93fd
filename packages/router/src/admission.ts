/** Turns client requests into requests that the router can dispatch: finds the route and the service. */
import type { Configuration } from '@rainrun/configuration';
import type { ClientRequest, ResponseSink, RoutedRequest } from './request.js';
import { RouteTable, type RouteTarget } from './route-table.js';
import { ATTEMPT_POLICY } from './routing-policy.js';
import type { Identity } from './tenant-access.js';

/**
 * Finds the route and service of requests; builds the route table once for each configuration.
 * @example
 * const target = resolver.resolve(configuration, clientRequest);
 */
export class TargetResolver {
  #current: { readonly configuration: Configuration; readonly routes: RouteTable } | undefined;

  /** The route and service for a request; undefined if no route matches. */
  resolve(configuration: Configuration, clientRequest: ClientRequest): RouteTarget | undefined {
    if (this.#current?.configuration !== configuration)
      this.#current = { configuration, routes: new RouteTable(configuration) };
    const { routes } = this.#current;
    const route = routes.find(clientRequest.host, clientRequest.target);
    return route === undefined ? undefined : routes.target(route, clientRequest.id);
  }
}

/** The parts of a routed request. */
export interface RoutedRequestInit {
  readonly clientRequest: ClientRequest;
  readonly sink: ResponseSink;
  readonly target: RouteTarget;
  readonly identity: Identity;
  /** Monotonic, in milliseconds. */
  readonly nowMs: number;
}

/** Creates the state of a request that has just arrived. */
export function newRoutedRequest({
  clientRequest,
  sink,
  target,
  identity,
  nowMs,
}: RoutedRequestInit): RoutedRequest {
  const { route, service } = target;
  const streamed = route.kind === 'streaming';
  return {
    clientRequest,
    sink,
    route,
    service,
    demandKey: `${service.name}/${clientRequest.model}/${clientRequest.adapter}`,
    arrivedMs: nowMs,
    expiresMs: nowMs + Math.min(route.timeoutMs, clientRequest.deadlineMs ?? Infinity),
    idempotent: route.kind === 'idempotent' || (streamed && route.resumable),
    streamed,
    directory: identity.directory,
    tenant: identity.tenant,
    admitted: false,
    permit: undefined,
    workerPriority: Math.min(ATTEMPT_POLICY.lowestPriority, route.priority),
    attemptsStarted: 0,
    sentTo: new Map(),
    excludedWorkers: new Set(),
    responseStarted: false,
    lastByteMs: nowMs,
    lastEventId: clientRequest.lastEventId,
    mayHaveRun: false,
    clientLeft: false,
    retryReserved: false,
    retryDenied: false,
    notBeforeMs: nowMs,
    waitReason: undefined,
    cancelAttempt: undefined,
  };
}
