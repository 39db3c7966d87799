/**
 * Keeps in the platform's store which software versions of a service have served
 * within the longest life of a stream, so that a gateway that starts knows it even
 * after all have ended. The coordinator writes a service's record when the
 * versions change, and again when a removed one can have no streams left; every
 * gateway reads the records once, at its start. An only version is recorded too,
 * since another one may take its place while no gateway runs.
 *
 * Two coordinators may write for a while; the record then holds what the last one
 * knows. A record that lists too many versions costs streams that could go on.
 */
import type { EventLog } from '@eidermast/common'
import type { RecordStore } from '../keyed-topic.js'
import { Buffer } from 'node:buffer'
import { formatError, wait } from '@eidermast/common'
import * as z from 'zod'
import { announceBackoffMs } from '../store-backoff.js'

/** Topic owned by the gateways: the versions as JSON, by service. */
const VERSION_TOPIC = 'keyed.eidermast-versions'
/** Interval at which the coordinator compares the records with what serves. */
const CHECK_INTERVAL_MS = 500

const versionsSchema = z.array(z.string())

/** What the ledger works with. */
export interface VersionLedgerDependencies {
  store: RecordStore
  isCoordinator: () => boolean
  /** Services whose streams clients can resume. */
  services: () => readonly string[]
  /** Versions of a service that serve, or did within the longest life of a stream. */
  recentVersions: (service: string) => string[]
  /** Called with the versions that a record lists, before this gateway counts as informed. */
  onRecord: (service: string, version: string) => void
  log: EventLog
}

/** Reads the records at the start, and writes them while this gateway coordinates. */
export class VersionLedger {
  /** The records as last read or written, as JSON. */
  private readonly records = new Map<string, string>()
  private hasRead = false
  private isCurrent = false

  constructor(private readonly dependencies: VersionLedgerDependencies) {}

  /** Whether the records were read since this process started. */
  get isRead(): boolean {
    return this.hasRead
  }

  /** Reads the records, again and again until it succeeds or the signal aborts, then checks them regularly. */
  async start(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !await this.read())
      await wait(announceBackoffMs(), signal)
    while (!signal.aborted) {
      await this.check()
      await wait(CHECK_INTERVAL_MS, signal)
    }
  }

  /** Writes the records that differ from what serves, if this gateway coordinates. */
  private async check(): Promise<void> {
    if (!this.dependencies.isCoordinator()) {
      this.isCurrent = false
      return
    }
    // Another gateway may have written since this one read.
    this.isCurrent ||= await this.read()
    if (!this.isCurrent)
      return
    for (const service of this.dependencies.services())
      await this.update(service)
  }

  private async update(service: string): Promise<void> {
    const versions = this.dependencies.recentVersions(service)
    const record = JSON.stringify(versions)
    if (this.records.get(service) === record || (versions.length === 0 && !this.records.has(service)))
      return
    try {
      await this.dependencies.store.append(VERSION_TOPIC, { key: service, value: Buffer.from(record) })
      this.records.set(service, record)
    }
    catch (error) {
      this.dependencies.log.write('version-ledger-failed', { service, error: formatError(error) })
    }
  }

  /** Reads all records; returns whether the store answered. */
  private async read(): Promise<boolean> {
    try {
      const { records } = await this.dependencies.store.readLatest(VERSION_TOPIC)
      for (const { key: service, value } of records)
        this.adopt(service, value)
      this.hasRead = true
      return true
    }
    catch (error) {
      this.dependencies.log.write('version-ledger-failed', { error: formatError(error) })
      return false
    }
  }

  private adopt(service: string, value: Buffer): void {
    const versions = this.parse(service, value)
    this.records.set(service, JSON.stringify(versions))
    if (this.hasRead)
      return
    for (const version of versions)
      this.dependencies.onRecord(service, version)
  }

  /** The versions of a record; none if it is of another form, which is logged. */
  private parse(service: string, value: Buffer): string[] {
    try {
      return versionsSchema.parse(JSON.parse(value.toString()))
    }
    catch (error) {
      this.dependencies.log.write('version-ledger-rejected', { service, error: formatError(error) })
      return []
    }
  }
}
