/**
 * What entries and sides are to whoever started them.
 */

/** A running daemon. */
export interface Daemon {
  /** Where it listens. */
  addresses: DaemonAddresses
  /** Stops without cutting off work in flight, within the settings' `stop-timeout-ms`. */
  stop: () => Promise<void>
}

/** Where a daemon listens. */
export interface DaemonAddresses {
  role: string
  name: string
  incarnation: string
  pid: number
  /** Between processes, as `host:port`. */
  peer: string
  /** For callers, as `host:port`; entries only. */
  caller?: string
}
