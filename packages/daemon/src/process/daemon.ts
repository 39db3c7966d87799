/**
 * Common interface of entries and sides for the code that starts them.
 */

/** A running daemon. */
export interface Daemon {
  info: DaemonInfo
  /** Stops gracefully: lets work in flight finish, for at most the setting `stop-timeout-ms`. */
  stop: () => Promise<void>
}

/** Identity and listen addresses of a daemon; printed and logged at startup. */
export interface DaemonInfo {
  role: string
  name: string
  incarnation: string
  pid: number
  /** Listen address for other processes of the system, as `host:port`. */
  peer: string
  /** Listen address for callers, as `host:port`; entries only. */
  caller?: string
}
