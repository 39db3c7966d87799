/**
 * Decides whether the configuration of an entry counts as fresh, and fetches a
 * newer one from other entries while it does not.
 *
 * Inputs: the time since the log last responded to a read of the configuration
 * (ms, as of now), the local offset, and the offsets of other entries (queried
 * one after the other, each at most 5 s old).
 * Rule: fresh if the log responded within MAX_CONFIGURATION_AGE_MS. While not
 * fresh, every AGE_CHECK_INTERVAL_MS query the entries from the settings and the
 * VM list, and apply changes above the local offset.
 * Why peers are not always queried: the log defines the order of changes, and
 * only its response proves that nothing newer exists; peers only cover an outage
 * of the log. Requests are also served with an old configuration: freshness only
 * decides whether this entry may confirm it to starting sides, and reject for good
 * what it does not allow (`configuration-denial.ts`).
 * Log event: `from-peer` (address, offset); the metric
 * `eidermast_configuration_age_seconds` exports the age.
 */
import type { EntryPeers } from '../../connection/entry-peers.js'
import type { ConfigurationFreshness } from '../../connection/side-heartbeats.js'
import type { Configuration } from '../../version/configuration.js'
import type { ConfigurationFollower } from '../../version/follower.js'
import type { VirtualMachineList } from '../membership/virtual-machine-list.js'
import { createLogger, wait } from '@eidermast/common'
import { NO_OFFSET } from '../../version/record.js'

const log = createLogger('configuration')

/**
 * Bounds how long an entry without access to the log stays behind its peers, at
 * the cost of more queries to them.
 */
const AGE_CHECK_INTERVAL_MS = 250
/**
 * Must exceed the 2 s for which the log holds a long-poll read open; otherwise a
 * log without new records looks unresponsive. Also bounds the age of the
 * configuration with which a side can start.
 */
const MAX_CONFIGURATION_AGE_MS = 5000

/** Dependencies of the monitor. */
export interface ConfigurationMonitorOptions {
  configuration: Configuration
  follower: ConfigurationFollower
  peers: EntryPeers
  machines: VirtualMachineList
  /** Peer addresses of the entries in the settings, as `host:port`. */
  addresses: string[]
  /** Peer address of this entry. */
  ownAddress: string
}

/** Monitors the age of an entry's configuration. */
export class ConfigurationMonitor implements ConfigurationFreshness {
  constructor(private readonly options: ConfigurationMonitorOptions) {}

  /** Offset of the local configuration. */
  get offset(): number {
    return this.options.configuration.offset
  }

  /** Milliseconds since the last response of the log; undefined before the first one. */
  get ageMs(): number | undefined {
    return this.options.follower.ageMs
  }

  /** Whether a configuration is available: from the log, which may be empty, or from a peer. */
  get isKnown(): boolean {
    return this.options.follower.hasRead || this.offset !== NO_OFFSET
  }

  /** Whether the log has confirmed the configuration recently. */
  get isFresh(): boolean {
    return (this.ageMs ?? Number.POSITIVE_INFINITY) <= MAX_CONFIGURATION_AGE_MS
  }

  /** Checks the age periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await wait(AGE_CHECK_INTERVAL_MS, signal)
      if (!this.isFresh)
        await this.fetchFromPeers()
    }
  }

  private async fetchFromPeers(): Promise<void> {
    const { addresses, configuration, machines, ownAddress, peers } = this.options
    const peerAddresses = new Set([...addresses, ...machines.entryAddresses()])
    peerAddresses.delete(ownAddress)
    for (const address of peerAddresses) {
      const difference = await peers.difference(address, configuration.offset)
      if (!difference || difference.offset <= configuration.offset)
        continue
      configuration.apply(difference)
      log('from-peer', { address, offset: difference.offset })
    }
  }
}
