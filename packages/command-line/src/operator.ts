/**
 * What operators do with a running system, apart from the command line's
 * arguments and output.
 */
import type { Backend, ConnectFailure, Decision, EntryClient, LogPage, ObjectValues, PeerConnection, ProcessStatus, Publication, PublishOptions, SideClient, UsableObject } from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import type { CommandLineSettings } from './settings.js'
import { backendSchema, callPeer, CallState, Configuration, CONFIGURATION_STREAM, connectEntry, connectSide, hasGap, HttpLogClient, HttpVirtualMachineSource, ObjectKind, parseRecord, publishChange, readConfiguration, RecordKind, VirtualMachineRole } from '@eidermast/daemon'
import { Err, Ok } from 'ts-results-es'

/** One record of the configuration's history. */
export interface HistoryLine {
  offset: number
  /** Epoch milliseconds. */
  time: number
  kind: string
  name: string
  author: string
  /** What folding made of the record. */
  outcome: string
}

/** A process that was asked, and its status if it answered. */
export interface AskedProcess {
  name: string
  address: string
  status?: ProcessStatus
}

/** Why a backend server cannot be ordered in. */
export type BackendFault = string

const ASK_TIMEOUT_MS = 2000

/** Talks to the platform's log and to the system's processes for operators. */
export class Operator {
  private readonly log: HttpLogClient

  constructor(private readonly settings: CommandLineSettings) {
    this.log = new HttpLogClient({ url: settings.platform.log, timeoutMs: ASK_TIMEOUT_MS })
  }

  close(): Promise<void> {
    return this.log.close()
  }

  /** Publishes a change of one object. */
  publish(options: PublishOptions): Promise<Publication> {
    return publishChange(this.log, { ...options, author: process.env.USER ?? '' })
  }

  /** The configuration on the log; undefined where the log does not answer. */
  configuration(): Promise<Configuration | undefined> {
    return readConfiguration(this.log)
  }

  /** Records of the configuration that the log still holds; undefined where it does not answer. */
  async history(): Promise<HistoryLine[] | undefined> {
    const page = await this.log.read({ stream: CONFIGURATION_STREAM, from: 0, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 })
    if (page.isErr())
      return undefined
    const replay = new Configuration()
    if (hasGap(replay, page.value))
      adoptOldestCheckpoint(replay, page.value)
    return page.value.records.map((record) => {
      const parsed = parseRecord(record.value)
      const outcome = replay.fold(record.offset, record.value)
      const change = parsed?.record === RecordKind.Change ? parsed : undefined
      return { offset: record.offset, time: record.time, kind: change?.kind ?? parsed?.record ?? '-', name: change?.name ?? '-', author: change?.author ?? '', outcome }
    })
  }

  /** The value that orders a backend server in: what is known of it, with what is given. */
  resolveBackend(known: UsableObject<Backend> | undefined, given: Partial<ObjectValues[ObjectKind.Backend]>): Result<Backend, BackendFault> {
    const checked = backendSchema.safeParse({ ...known?.value, ...given })
    if (checked.success)
      return Ok(checked.data)
    return Err(checked.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '))
  }

  /** Status of every entry and side that is listed or configured. */
  async status(): Promise<AskedProcess[] | undefined> {
    const entries = await this.entryAddresses()
    const configuration = await this.configuration()
    if (!entries && !configuration)
      return undefined
    const asked = (entries ?? []).map(address => this.askEntry(address))
    const backends = configuration?.list(ObjectKind.Backend) ?? []
    const sides = backends.map(backend => this.askSide(backend.name, backend.value.address))
    return Promise.all([...asked, ...sides])
  }

  /** Decisions about a request, from every process that kept some, oldest first. */
  async explain(requestId: string): Promise<Decision[] | undefined> {
    const entries = await this.entryAddresses()
    const configuration = await this.configuration()
    if (!entries && !configuration)
      return undefined
    const sides = configuration?.list(ObjectKind.Backend).map(backend => backend.value.address) ?? []
    const answers = await Promise.all([
      ...(entries ?? []).map(address => this.withEntry(address, client => client.explain.query({ requestId }))),
      ...sides.map(address => this.withSide(address, client => client.explain.query({ requestId }))),
    ])
    return answers.flatMap(answer => answer ?? []).sort((left, right) => left.at - right.at)
  }

  private async entryAddresses(): Promise<string[] | undefined> {
    const machines = await new HttpVirtualMachineSource(this.settings.platform['virtual-machines'], ASK_TIMEOUT_MS).read()
    return machines?.filter(machine => machine.role === VirtualMachineRole.Entry).map(machine => machine.address)
  }

  private async askEntry(address: string): Promise<AskedProcess> {
    const status = await this.withEntry(address, client => client.status.query())
    return { name: status?.name ?? '(entry)', address, status }
  }

  private async askSide(name: string, address: string): Promise<AskedProcess> {
    return { name, address, status: await this.withSide(address, client => client.status.query()) }
  }

  private withEntry<Value>(address: string, call: (client: EntryClient) => Promise<Value>): Promise<Value | undefined> {
    return callOnce(connectEntry({ address, key: this.settings.peers.key }), call)
  }

  private withSide<Value>(address: string, call: (client: SideClient) => Promise<Value>): Promise<Value | undefined> {
    return callOnce(connectSide({ address, key: this.settings.peers.key }), call)
  }
}

/** Begins a replay at the oldest checkpoint; records that it covers count as repeated. */
function adoptOldestCheckpoint(configuration: Configuration, page: LogPage): void {
  for (const record of page.records) {
    const parsed = parseRecord(record.value)
    if (parsed?.record === RecordKind.Checkpoint)
      return configuration.adopt(parsed)
  }
}

/** Makes one call over a connection that is closed after it; undefined where nobody answers. */
async function callOnce<Client, Value>(opening: Promise<Result<PeerConnection<Client>, ConnectFailure>>, call: (client: Client) => Promise<Value>): Promise<Value | undefined> {
  const opened = await opening
  if (opened.isErr())
    return undefined
  const result = await callPeer(opened.value, call, ASK_TIMEOUT_MS)
  opened.value.close()
  return result.state === CallState.Answered ? result.value : undefined
}
