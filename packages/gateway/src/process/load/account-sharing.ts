/**
 * Creates the components that share services between client accounts, by the
 * setting `account-shares` in `[load]`.
 */
import type { EventLog } from '@eidermast/common'
import type { AccountShares } from '../../request/admission/account-shares.js'
import type { LimitedAccount } from '../../request/admission/max-min-shares.js'
import type { ReturnDetector } from '../../request/returns/return-detector.js'
import type { GatewayMetrics } from '../gateway-metrics.js'
import type { LoadExchangeParts } from './load-exchange.js'
import { UnlimitedShares } from '../../request/admission/account-shares.js'
import { DemandMeter } from '../../request/admission/demand-meter.js'
import { MaxMinShares } from '../../request/admission/max-min-shares.js'
import { RefusalMemory } from '../../request/returns/refusal-memory.js'
import { DeadlineReturnDetector, MemoryReturnDetector } from '../../request/returns/return-detector.js'
import { DemandExchange } from './demand-exchange.js'
import { RefusalExchange } from './refusal-exchange.js'

/** The components of one gateway. */
export interface AccountSharing {
  shares: AccountShares
  returns: ReturnDetector
  /** The accounts that are limited at present. */
  limitedAccounts: () => LimitedAccount[]
  /** What it exchanges with peers. */
  exchanges: Pick<LoadExchangeParts, 'demand' | 'refusals'>
}

/** Setting `none`: no shares, and nothing is exchanged. */
export const NO_SHARING: AccountSharing = {
  shares: new UnlimitedShares(),
  returns: new DeadlineReturnDetector(),
  limitedAccounts: () => [],
  exchanges: {},
}

/** Setting `max-min`. */
export function createMaxMinSharing(metrics: Pick<GatewayMetrics, 'countAccountRequest'>, log: EventLog): AccountSharing {
  const meter = new DemandMeter()
  const demand = new DemandExchange(meter)
  const shares = new MaxMinShares({
    meter,
    inForce: now => demand.inForce(now),
    onEnd: (ended, end) => metrics.countAccountRequest(ended, end),
    log,
  })
  const memory = new RefusalMemory()
  const refusals = new RefusalExchange(memory)
  const returns = new MemoryReturnDetector(memory, (fingerprint, retryAfterMs, now) => refusals.note(fingerprint, retryAfterMs, now))
  return { shares, returns, limitedAccounts: () => shares.limitedAccounts(), exchanges: { demand, refusals } }
}
