/**
 * The configuration in force at this process. It only rises: a version from
 * any source is taken if it is newer than the one held, and passed over else.
 */
import type { EventLog } from '@eidermast/common'
import type { Configuration } from './configuration.js'
import { RouteTable } from './route-table.js'

/** A configuration as its source spelled it, so that it can be passed on unchanged. */
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

  get table(): RouteTable | undefined {
    return this.currentTable
  }

  get record(): ConfigurationRecord | undefined {
    return this.currentRecord
  }

  /** Version in force; 0 while none is known. */
  get version(): number {
    return this.currentRecord?.version ?? 0
  }

  /** Calls back for each version taken. */
  onChange(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener)
  }

  /** Takes a text if it is valid and newer; a faulty one is logged and the last good one stays. */
  offer(text: string, source: string): boolean {
    const configuration = this.read(text, source)
    if (!configuration || configuration.version <= this.version)
      return false
    this.log.write('configuration', { version: configuration.version, previous: this.version, source, routes: configuration.routes.length, accounts: configuration.accounts.length })
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
      this.log.write('configuration-rejected', { source, error: error instanceof Error ? error.message : String(error) })
      return undefined
    }
  }
}
