/**
 * This gateway's shares of the limits that apply to all gateways together:
 * connections, request rates to cold backend servers and to backend servers that
 * announce a rate limit. Stateless: reads the current inputs on each call; the
 * shares are computed in `gateway-share.ts`. That of the retry budget depends on
 * the past as well (`retry-share.ts`).
 */
import type { Backend } from '../connection/backends/backend.js'
import type { ColdAllowance } from '../request/attempts/cold-start-limiter.js'
import type { LimitShare } from '../request/attempts/slotted-rate-limiter.js'
import type { Service } from '../version/configuration.js'
import { coldAllowancePerSecond, COORDINATED_SHARE, UNCOORDINATED_SHARE } from '../request/attempts/cold-start-limiter.js'
import { coordinatorShare, countSharingGateways, shareOfConnections } from './gateway-share.js'

/** Inputs of the shares. */
export interface SharedLimitsInputs {
  /** Number of listed gateways, and the index of this one among them. */
  members: { readonly count: number, readonly index: number }
  /** Number of gateways that send heartbeats to this one. */
  heartbeatPeers: () => number
  findService: (name: string) => Service | undefined
  coldAllowance: ColdAllowance
}

/** Computes this gateway's shares of deployment-wide limits. */
export class SharedLimits {
  constructor(private readonly inputs: SharedLimitsInputs) {}

  /** Maximum number of connections to one backend server of a service. */
  connections(service: string): number {
    return shareOfConnections(this.inputs.findService(service)?.maxConnections ?? 0, this.inputs.members.count)
  }

  private sharingGateways(): number {
    return countSharingGateways(this.inputs.members.count)
  }

  /** Requests per second that this gateway as a coordinator may assign to one cold backend server of a service; undefined if unlimited. */
  coordinatedColdRate(service: string): number | undefined {
    return this.coldRate(service, COORDINATED_SHARE * this.coordinatorShare())
  }

  /** As `coordinatedColdRate`, for requests whose backend server this gateway selects itself. */
  ownColdRate(service: string): number | undefined {
    return this.coldRate(service, UNCOORDINATED_SHARE / this.sharingGateways())
  }

  /** Time slot and share of this gateway in the rate limit of a backend server. */
  rateLimitShare({ service }: Backend): LimitShare {
    const { members, findService } = this.inputs
    const isCoordinated = findService(service)?.stage !== undefined
    const part = isCoordinated ? this.coordinatorShare() : 1 / this.sharingGateways()
    return { position: members.index / this.sharingGateways(), part }
  }

  private coordinatorShare(): number {
    return coordinatorShare(this.inputs.heartbeatPeers(), this.inputs.members.count)
  }

  private coldRate(service: string, share: number): number | undefined {
    const ratePerSecond = this.inputs.findService(service)?.coldPerSecond
    return ratePerSecond === undefined ? undefined : coldAllowancePerSecond(ratePerSecond, this.inputs.coldAllowance) * share
  }
}
