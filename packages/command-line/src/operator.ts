/**
 * Operations on a running system, independent of command-line parsing and
 * output: changes and reads the configuration on the platform's log and queries
 * the daemon processes. Owns one connection to the log until `close`;
 * connections to processes are opened for each call.
 */
import type {
  Configuration,
  ConnectFailure,
  Decision,
  EntryClient,
  PeerConnection,
  PeerConnectionOptions,
  ProcessStatus,
  Publication,
  PublishOptions,
  SideClient,
} from '@eidermast/daemon'
import type { Result } from 'ts-results-es'
import type { HistoryLine } from './configuration-history.js'
import type { CommandLineSettings } from './settings.js'
import { createLogger } from '@eidermast/common'
import {
  callPeer,
  CallState,
  CONFIGURATION_STREAM,
  connectEntry,
  connectSide,
  HttpLogClient,
  HttpVirtualMachineSource,
  ObjectKind,
  publishChange,
  readConfiguration,
  VirtualMachineRole,
} from '@eidermast/daemon'
import { foldHistory } from './configuration-history.js'

/** A queried process and its status, if it answered. */
export interface QueriedProcess {
  name: string
  /** Host and port. */
  address: string
  status?: ProcessStatus
}

/** Addresses of the processes of a system, as host and port. */
interface SystemAddresses {
  /** Undefined if the VM list does not answer. */
  entries?: string[]
  /** Undefined if the log does not answer. */
  sides?: NamedAddress[]
}

interface NamedAddress {
  name: string
  address: string
}

/**
 * Timeout for an answer of the log, the VM list or a process. Prevents a busy
 * process from being reported as silent, at the cost of a longer wait for a
 * process that hangs.
 */
const QUERY_TIMEOUT_MS = 2000

const log = createLogger('operator')

/** Client for the platform's log and the processes of a system. */
export class Operator {
  private readonly log: HttpLogClient

  constructor(private readonly settings: CommandLineSettings) {
    this.log = new HttpLogClient({ url: settings.platform.log, timeoutMs: QUERY_TIMEOUT_MS })
  }

  /** Publishes a change of one object with the current user as its author. */
  publish(options: PublishOptions): Promise<Publication> {
    return publishChange(this.log, { ...options, author: process.env.USER ?? '' })
  }

  /** Reads the configuration from the log; undefined if the log does not answer. */
  configuration(): Promise<Configuration | undefined> {
    return readConfiguration(this.log)
  }

  /** Reads the configuration records that the log still retains; undefined if the log does not answer. */
  async history(): Promise<HistoryLine[] | undefined> {
    const page = await this.log.read({ stream: CONFIGURATION_STREAM, from: 0, limit: Number.MAX_SAFE_INTEGER, waitMs: 0 })
    return page.isOk() ? foldHistory(page.value) : undefined
  }

  /** Queries the status of every listed entry and configured side; undefined if neither the VM list nor the log answers. */
  async status(): Promise<QueriedProcess[] | undefined> {
    const { entries, sides } = await this.resolveAddresses()
    if (!entries && !sides)
      return undefined
    return Promise.all([
      ...(entries ?? []).map(address => this.queryEntry(address)),
      ...(sides ?? []).map(side => this.querySide(side)),
    ])
  }

  /** Collects the decisions about a request from all processes, oldest first; undefined if neither the VM list nor the log answers. */
  async explain(requestId: string): Promise<Decision[] | undefined> {
    const { entries, sides } = await this.resolveAddresses()
    if (!entries && !sides)
      return undefined
    const answers = await Promise.all([
      ...(entries ?? []).map(address => this.withEntry(address, client => client.explain.query({ requestId }))),
      ...(sides ?? []).map(({ address }) => this.withSide(address, client => client.explain.query({ requestId }))),
    ])
    return answers.flatMap(answer => answer ?? []).sort((left, right) => left.at - right.at)
  }

  /** Closes the connection to the log. */
  close(): Promise<void> {
    return this.log.close()
  }

  private async resolveAddresses(): Promise<SystemAddresses> {
    const source = new HttpVirtualMachineSource(this.settings.platform['virtual-machines'], QUERY_TIMEOUT_MS)
    const listed = await source.read()
    const configuration = await this.configuration()
    return {
      entries: listed?.filter(({ role }) => role === VirtualMachineRole.Entry).map(({ address }) => address),
      sides: configuration?.list(ObjectKind.Backend).map(({ name, value }) => ({ name, address: value.address })),
    }
  }

  private async queryEntry(address: string): Promise<QueriedProcess> {
    const status = await this.withEntry(address, client => client.status.query())
    return { name: status?.name ?? '(entry)', address, status }
  }

  private async querySide({ name, address }: NamedAddress): Promise<QueriedProcess> {
    return { name, address, status: await this.withSide(address, client => client.status.query()) }
  }

  private withEntry<Value>(address: string, call: (client: EntryClient) => Promise<Value>): Promise<Value | undefined> {
    return callOnce(connectEntry, { address, key: this.settings.peers.key }, call)
  }

  private withSide<Value>(address: string, call: (client: SideClient) => Promise<Value>): Promise<Value | undefined> {
    return callOnce(connectSide, { address, key: this.settings.peers.key }, call)
  }
}

type Connect<Client> = (options: PeerConnectionOptions) => Promise<Result<PeerConnection<Client>, ConnectFailure>>

/** Opens a connection, makes one call and closes the connection; logs the reason and returns undefined if there is no answer. */
async function callOnce<Client, Value>(
  connect: Connect<Client>,
  peer: PeerConnectionOptions,
  call: (client: Client) => Promise<Value>,
): Promise<Value | undefined> {
  const opened = await connect(peer)
  if (opened.isErr()) {
    log('process-silent', { address: peer.address, reason: opened.error })
    return undefined
  }
  const result = await callPeer(opened.value, call, QUERY_TIMEOUT_MS)
  opened.value.close()
  if (result.state === CallState.Answered)
    return result.value
  log('process-silent', { address: peer.address, reason: result.message })
  return undefined
}
