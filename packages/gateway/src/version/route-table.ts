/**
 * Decides within one version of the configuration which route a path belongs
 * to, which service takes a request of it, and how urgent a request is.
 *
 * Inputs: host and path, the route's weights, the priorities of route and
 * client account; all of the one version.
 * Rule: the longest matching path prefix of the host. Services by their weights.
 * A client account's priority goes before its route's, which orders requests of
 * accounts that are alike.
 * Why accounts first: a route's priority alone would let one account's urgent
 * route hold back every account that is more urgent.
 * Log event: `request-ended` (`route`), `route` (`service`).
 *
 * It is built once for each version and isn't changed.
 */
import type { ClientAccount, Configuration, Route, Service } from './configuration.js'

/**
 * Levels of routes that one level of client accounts weighs as much as. Twice
 * as many would leave no level for routes, since backend servers know ten in
 * all; half as many would let routes outweigh accounts.
 */
const ROUTE_LEVELS = 3

/** One version of the configuration, indexed for requests. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly accountsByKey = new Map<string, ClientAccount>()
  private readonly servicesByName = new Map<string, Service>()
  /** The lowest number among the priorities of client accounts. */
  private readonly mostUrgentAccount: number

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
    this.mostUrgentAccount = Math.min(...configuration.accounts.map(account => account.priority ?? 0))
  }

  /** Whether requests on routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.configuration.accounts.length > 0
  }

  /** The route with the longest prefix that begins the path, among those of the host. */
  findRoute(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
  }

  /** The client account that holds a key. */
  findAccount(key: string): ClientAccount | undefined {
    return this.accountsByKey.get(key)
  }

  /** Priority of a request, 0 the most urgent. */
  priorityOf(route: Route, account: ClientAccount | undefined): number {
    const accountLevel = account ? (account.priority ?? 0) - this.mostUrgentAccount : 0
    return accountLevel * ROUTE_LEVELS + route.priority
  }

  /** A service by its name; undefined where the version has none of that name. */
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

/** Picks one of a route's services by weight; `position` lies in [0, 1). Undefined where no service has a weight. */
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
