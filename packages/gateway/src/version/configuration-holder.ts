/**
 * Decides which version of the configuration is in force at this process, and
 * holds it.
 *
 * Inputs: texts from the platform's store and from peers, in any order and as
 * often as they come.
 * Rule: a text that can be decoded and has a higher version number replaces the
 * one held; any other is passed over.
 * Why: sources are late by different times, so only the number tells which is
 * newer; a faulty text must not take the last good one out of service.
 * Log events: `configuration` (taken, from which source), `configuration-rejected`.
 *
 * State: the newest version since the process began. A new process has none and
 * serves no requests until a source brings one.
 */
import type { EventLog } from '@eidermast/common'
import type { Configuration } from './configuration.js'
import { formatError } from '@eidermast/common'
import { RouteTable } from './route-table.js'

/** A configuration as its source wrote it, so that it can be passed on to peers unchanged. */
export interface ConfigurationRecord {
  version: number
  text: string
}

/** Reads a configuration's text; throws an error that names what is wrong. */
export type ConfigurationDecoder = (text: string) => Configuration

/** Holds the newest configuration seen. */
export class ConfigurationHolder {
  private currentTable: RouteTable | undefined
  private currentRecord: ConfigurationRecord | undefined
  private readonly listeners: ((table: RouteTable) => void)[] = []

  constructor(private readonly decode: ConfigurationDecoder, private readonly log: EventLog) {}

  /** The version in force, indexed for requests; undefined while none is known. */
  get table(): RouteTable | undefined {
    return this.currentTable
  }

  /** The version in force as its source wrote it; undefined while none is known. */
  get record(): ConfigurationRecord | undefined {
    return this.currentRecord
  }

  /** Version in force; 0 while none is known. */
  get version(): number {
    return this.currentRecord?.version ?? 0
  }

  /** Calls back for each version taken from now on, after it is in force. */
  onChange(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Takes a text if it is valid and newer, and returns whether it did; a faulty
   * one is logged and the last good one stays.
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
