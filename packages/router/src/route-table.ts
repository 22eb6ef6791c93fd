/** Finds the route and the service of a request from the configuration of the platform system. */
import { spread } from '@rainrun/common';
import type { Configuration, RouteEntry, ServiceEntry } from '@rainrun/configuration';

/** A route, and the service that one request of it is sent to. */
export interface RouteTarget {
  readonly route: RouteEntry;
  readonly service: ServiceEntry;
}

/**
 * The routes of a configuration, indexed by host and sorted by longest prefix first.
 * @example
 * new RouteTable(configuration).find('a.example', '/assist/7');
 */
export class RouteTable {
  #hosts = new Map<string, RouteEntry[]>();
  #services = new Map<string, ServiceEntry>();

  constructor(configuration: Configuration) {
    for (const service of configuration.services) this.#services.set(service.name, service);
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const known = this.#hosts.get(host) ?? [];
      known.push(route);
      this.#hosts.set(host, known);
    }
    for (const routes of this.#hosts.values())
      routes.sort((one, other) => other.prefix.length - one.prefix.length);
  }

  /** The route with the longest prefix of a path; undefined if none matches. */
  find(host: string, path: string): RouteEntry | undefined {
    return this.#hosts.get(host.toLowerCase())?.find((route) => path.startsWith(route.prefix));
  }

  /** A service by its name. */
  service(name: string): ServiceEntry | undefined {
    return this.#services.get(name);
  }

  /** The service for one request, chosen by the weights of the traffic split; the same for the same id. */
  target(route: RouteEntry, id: string): RouteTarget | undefined {
    const service = this.#services.get(selectService(route, id));
    return service === undefined ? undefined : { route, service };
  }
}

function selectService(route: RouteEntry, id: string): string {
  const split = route.split ?? [];
  const sum = split.reduce((total, part) => total + part.weight, 0);
  if (sum <= 0) return route.service ?? '';
  let position = (spread(id) / 2 ** 32) * sum;
  for (const part of split) {
    position -= part.weight;
    if (position < 0) return part.service;
  }
  return split.findLast((part) => part.weight > 0)?.service ?? '';
}
