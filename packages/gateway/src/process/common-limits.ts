/**
 * The parts of this gateway in what all gateways share: connections, retries,
 * requests to cold backend servers and to those that name a limit. How a part is
 * found is decided in `gateway-share.ts`; this module asks for what it follows
 * from, as of now, and owns nothing.
 */
import type { Backend } from '../connection/backends/backend.js'
import type { ColdAllowance } from '../request/attempts/cold-start-limiter.js'
import type { LimitShare } from '../request/attempts/slotted-rate-limiter.js'
import type { Service } from '../version/configuration.js'
import { coldAllowancePerSecond, COORDINATED_SHARE, UNCOORDINATED_SHARE } from '../request/attempts/cold-start-limiter.js'
import { coordinatorPart, countSharingGateways, shareOfConnections } from './gateway-share.js'

/** What the parts follow from. */
export interface CommonLimitsParts {
  /** Gateways listed, and the place of this one among them. */
  members: { readonly count: number, readonly place: number }
  /** Gateways that this one hears. */
  heardGateways: () => number
  findService: (name: string) => Service | undefined
  coldAllowance: ColdAllowance
}

/** Finds the parts of this gateway. */
export class CommonLimits {
  constructor(private readonly parts: CommonLimitsParts) {}

  /** Connections to one backend server of a service. */
  connections(service: string): number {
    return shareOfConnections(this.parts.findService(service)?.maxConnections ?? 0, this.parts.members.count)
  }

  /** Gateways among which the retry budget is divided. */
  sharingGateways(): number {
    return countSharingGateways(this.parts.members.count)
  }

  /** Requests a second that this gateway may assign to one cold backend server of a service as a coordinator; undefined where there is no bound. */
  coordinatedColdRate(service: string): number | undefined {
    return this.coldRate(service, COORDINATED_SHARE * this.coordinatorPart())
  }

  /** The same for requests for which it chooses by itself. */
  ownColdRate(service: string): number | undefined {
    return this.coldRate(service, UNCOORDINATED_SHARE / this.sharingGateways())
  }

  /** Place and part of this gateway where a backend server names a limit. */
  ofLimit({ service }: Backend): LimitShare {
    const { members, findService } = this.parts
    const isCoordinated = findService(service)?.stage !== undefined
    const part = isCoordinated ? this.coordinatorPart() : 1 / this.sharingGateways()
    return { position: members.place / this.sharingGateways(), part }
  }

  private coordinatorPart(): number {
    return coordinatorPart(this.parts.heardGateways(), this.parts.members.count)
  }

  private coldRate(service: string, part: number): number | undefined {
    const withstands = this.parts.findService(service)?.coldPerSecond
    return withstands === undefined ? undefined : coldAllowancePerSecond(withstands, this.parts.coldAllowance) * part
  }
}
