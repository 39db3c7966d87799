/**
 * Decides, for one entry, whether its configuration counts as fresh, and takes
 * a newer one from other entries while it does not.
 *
 * Inputs: time since the log last answered a read of the configuration (ms, as
 * of now), the offset held here, the offsets that other entries answer (asked
 * one after the other, each at most 5 s old).
 * Rule: fresh while the log answered within MAX_CONFIGURATION_AGE_MS. When not
 * fresh, every TICK_MS ask the entries of the settings and of the VM list, and
 * apply what is above the held offset.
 * Why not always ask peers: the log orders the changes, and its answer alone
 * says that nothing newer exists; peers only bridge a time without it.
 * Requests are answered by an old configuration too: freshness only decides
 * what this entry may vouch for at starting sides.
 * Log event: `from-peer` (address, offset); the metric
 * `eidermast_configuration_age_seconds` shows the age.
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
 * Milliseconds between looks at the age. Twice would let an entry without the
 * log stay behind its peers for that much longer, half would ask them twice as
 * often.
 */
const TICK_MS = 250
/**
 * Milliseconds. It must stay above the 2 s for which the log holds a read open,
 * or a quiet log looks silent; twice would let a side start by a configuration
 * up to 10 s old.
 */
const MAX_CONFIGURATION_AGE_MS = 5000

/** Parts of the watch. */
export interface ConfigurationWatchOptions {
  configuration: Configuration
  follower: ConfigurationFollower
  peers: EntryPeers
  machines: VirtualMachineList
  /** Entries that the settings name, as `host:port`. */
  addresses: string[]
  /** This entry's own address between processes. */
  ownAddress: string
}

/** One entry's watch over the age of its configuration. */
export class ConfigurationWatch implements ConfigurationFreshness {
  constructor(private readonly options: ConfigurationWatchOptions) {}

  /** Offset of the configuration held. */
  get offset(): number {
    return this.options.configuration.offset
  }

  /** Milliseconds since the log last answered; undefined before its first answer. */
  get ageMs(): number | undefined {
    return this.options.follower.ageMs
  }

  /** Whether there is a configuration to answer by: from the log, which may be empty, or from a peer. */
  get isKnown(): boolean {
    return this.options.follower.hasRead || this.offset !== NO_OFFSET
  }

  /** Whether the log confirmed the configuration a short while ago. */
  get isFresh(): boolean {
    return (this.ageMs ?? Number.POSITIVE_INFINITY) <= MAX_CONFIGURATION_AGE_MS
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await wait(TICK_MS, signal)
      if (!this.isFresh)
        await this.askPeers()
    }
  }

  private async askPeers(): Promise<void> {
    const { addresses, configuration, machines, ownAddress, peers } = this.options
    const others = new Set([...addresses, ...machines.entryAddresses()])
    others.delete(ownAddress)
    for (const address of others) {
      const difference = await peers.difference(address, configuration.offset)
      if (!difference || difference.offset <= configuration.offset)
        continue
      configuration.apply(difference)
      log('from-peer', { address, offset: difference.offset })
    }
  }
}
