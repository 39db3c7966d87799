/**
 * Decides which version of the configuration is in force in this process, and
 * holds it.
 *
 * Inputs: configuration texts from the platform's store and from peers, in any
 * order and possibly repeated.
 * Rule: a valid text with a higher version number replaces the current one; any
 * other is ignored.
 * Why: the delays of the sources differ, so only the version number shows which
 * text is newer; and an invalid text must not replace the last valid one.
 * Log events: `configuration` (accepted, and from which source),
 * `configuration-rejected`.
 *
 * State: the newest version since the process started, and when it was last known
 * to be the newest of all, from a read of the store or from a peer. A new process
 * has none and serves no requests until it receives one.
 */
import type { EventLog } from '@eidermast/common'
import type { Configuration } from './configuration.js'
import { formatError } from '@eidermast/common'
import { RouteTable } from './route-table.js'

/** A configuration in its original text, so that it is forwarded to peers unchanged. */
export interface ConfigurationRecord {
  version: number
  text: string
}

/** Decodes a configuration text; throws an error that describes the first problem. */
export type ConfigurationDecoder = (text: string) => Configuration

/** Holds the newest configuration received. */
export class ConfigurationHolder {
  private currentTable: RouteTable | undefined
  private currentRecord: ConfigurationRecord | undefined
  /** On the monotonic clock, in milliseconds. */
  private upToDateAt = Number.NEGATIVE_INFINITY
  private readonly listeners: ((table: RouteTable) => void)[] = []

  constructor(private readonly decode: ConfigurationDecoder, private readonly log: EventLog) {}

  /** The current version, indexed for requests; undefined if there is none yet. */
  get table(): RouteTable | undefined {
    return this.currentTable
  }

  /** The current version in its original text; undefined if there is none yet. */
  get record(): ConfigurationRecord | undefined {
    return this.currentRecord
  }

  /** Number of the current version; 0 if there is none yet. */
  get version(): number {
    return this.currentRecord?.version ?? 0
  }

  /** Records that the current version was the newest of all at a time on the monotonic clock in milliseconds. */
  noteUpToDate(asOf: number): void {
    this.upToDateAt = Math.max(this.upToDateAt, asOf)
  }

  /** Records until how many milliseconds ago a peer knew its version to be the newest; undefined if it does not say. */
  notePeerAge(version: number, ageMs: number | undefined, now: number): void {
    if (ageMs !== undefined && version === this.version)
      this.noteUpToDate(now - ageMs)
  }

  /** Milliseconds since the current version was last known to be the newest of all; Infinity if it never was. */
  ageMs(now: number): number {
    return now - this.upToDateAt
  }

  /** Registers a listener that is called for each new version, after it has come into force. */
  onChange(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Accepts a text if it is valid and newer, and returns whether it did. An
   * invalid text is logged, and the current version stays in force.
   */
  offer(text: string, source: string): boolean {
    const configuration = this.read(text, source)
    if (!configuration || configuration.version <= this.version)
      return false
    this.log.write('configuration', {
      version: configuration.version,
      previous: this.version,
      source,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    })
    this.currentRecord = { version: configuration.version, text }
    this.currentTable = new RouteTable(configuration)
    for (const listener of this.listeners)
      listener(this.currentTable)
    return true
  }

  private read(text: string, source: string): Configuration | undefined {
    try {
      return this.decode(text)
    }
    catch (error) {
      this.log.write('configuration-rejected', { source, error: formatError(error) })
      return undefined
    }
  }
}
