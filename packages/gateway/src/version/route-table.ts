/**
 * Look-ups in one version of the configuration.
 */
import type { ClientAccount, Configuration, Route, Service } from './configuration.js'

/** One level of client accounts weighs as much as this many of routes; more would leave backend servers, which know ten, no room for routes. */
const ROUTE_LEVELS = 3

/** One version of the configuration, indexed for requests. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly accountsByKey = new Map<string, ClientAccount>()
  private readonly servicesByName = new Map<string, Service>()
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

  get version(): number {
    return this.configuration.version
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

  /** Priority of a request, 0 the most urgent: its client account's goes before its route's, which decides among client accounts alike. */
  priorityOf(route: Route, account: ClientAccount | undefined): number {
    const accountLevel = account ? (account.priority ?? 0) - this.mostUrgentAccount : 0
    return accountLevel * ROUTE_LEVELS + route.priority
  }

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

/** Picks one of a route's services by weight; `position` lies in [0, 1). */
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
