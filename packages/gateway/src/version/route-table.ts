/**
 * Decides, for one version of the configuration, which route a path belongs to,
 * which service receives a request of the route, and the priority of a request.
 *
 * Inputs: host and path, the weights of the route's services, the priorities of
 * route and client account; all from the same version.
 * Rule: the longest matching path prefix of the host; services by their
 * weights. The priority of the client account takes precedence over that of the
 * route, which only orders requests of accounts with equal priority.
 * Why accounts first: if only the route's priority counted, a single account
 * could use a high-priority route to delay all accounts with a higher priority.
 * Log event: `request-ended` (`route`), `route` (`service`).
 *
 * Built once per version, and immutable.
 */
import type { ClientAccount, Configuration, Route, Service } from './configuration.js'

/**
 * Number of route priorities per account priority. Backend servers support ten
 * levels in total; a higher route priority than this would outweigh the account.
 */
const ROUTE_PRIORITY_LEVELS = 3

/** One version of the configuration, indexed for requests. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly accountsByKey = new Map<string, ClientAccount>()
  private readonly servicesByName = new Map<string, Service>()
  /** Highest priority (lowest number) of all client accounts. */
  private readonly highestAccountPriority: number

  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes)
      this.addRoute(route)
    for (const routes of this.routesByHost.values())
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    for (const account of configuration.accounts) {
      for (const key of account.keys)
        this.accountsByKey.set(key, account)
    }
    for (const service of configuration.services)
      this.servicesByName.set(service.name, service)
    this.highestAccountPriority = Math.min(...configuration.accounts.map(account => account.priority ?? 0))
  }

  /** Whether requests need an API key, except on public routes. */
  get needsKeys(): boolean {
    return this.configuration.accounts.length > 0
  }

  /** The route of the host with the longest path prefix that matches. */
  findRoute(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
  }

  /** The client account that an API key belongs to. */
  findAccount(key: string): ClientAccount | undefined {
    return this.accountsByKey.get(key)
  }

  /** Priority of a request; 0 is the highest. */
  priorityOf(route: Route, account: ClientAccount | undefined): number {
    const accountLevel = account ? (account.priority ?? 0) - this.highestAccountPriority : 0
    return accountLevel * ROUTE_PRIORITY_LEVELS + route.priority
  }

  /** A service by name; undefined if this version does not define it. */
  findService(name: string): Service | undefined {
    return this.servicesByName.get(name)
  }

  private addRoute(route: Route): void {
    const host = route.host.toLowerCase()
    const routes = this.routesByHost.get(host)
    if (routes)
      routes.push(route)
    else
      this.routesByHost.set(host, [route])
  }
}

/** Chooses a service of a route by weight; `position` lies in [0, 1). Undefined if all weights are 0. */
export function pickService(route: Route, position: number): string | undefined {
  const total = route.services.reduce((sum, entry) => sum + entry.weight, 0)
  let remaining = position * total
  for (const entry of route.services) {
    remaining -= entry.weight
    if (remaining < 0)
      return entry.service
  }
  return undefined
}
