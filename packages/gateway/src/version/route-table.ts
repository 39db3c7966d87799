/**
 * Look-ups in one version of the configuration.
 */
import type { Configuration, Route, Service, Tenant } from './configuration.js'

/** One level of tenants weighs as much as this many of routes; more would leave replicas, which know ten, no room for routes. */
const ROUTE_LEVELS = 3

/** One version of the configuration, indexed for requests. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly tenantsByKey = new Map<string, Tenant>()
  private readonly servicesByName = new Map<string, Service>()
  private readonly mostUrgentTenant: number

  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes)
      this.addRoute(route)
    for (const routes of this.routesByHost.values())
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    for (const tenant of configuration.tenants) {
      for (const key of tenant.keys)
        this.tenantsByKey.set(key, tenant)
    }
    for (const service of configuration.services)
      this.servicesByName.set(service.name, service)
    this.mostUrgentTenant = Math.min(...configuration.tenants.map(tenant => tenant.priority ?? 0))
  }

  get version(): number {
    return this.configuration.version
  }

  /** Whether requests on routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.configuration.tenants.length > 0
  }

  /** The route with the longest prefix that begins the path, among those of the host. */
  findRoute(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
  }

  /** The tenant that holds a key. */
  findTenant(key: string): Tenant | undefined {
    return this.tenantsByKey.get(key)
  }

  /** Priority of a request, 0 the most urgent: its tenant's goes before its route's, which decides among tenants alike. */
  priorityOf(route: Route, tenant: Tenant | undefined): number {
    const tenantLevel = tenant ? (tenant.priority ?? 0) - this.mostUrgentTenant : 0
    return tenantLevel * ROUTE_LEVELS + route.priority
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
