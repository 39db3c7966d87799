/**
 * Interfaces between a gateway and the platform it runs on: sources of the
 * operator's records and of backend servers, the directory of gateways, codecs,
 * and the client for stage backend servers. A platform adapter implements them
 * and is passed to the gateway at start-up.
 */
import type { BackendCodec } from '../connection/backends/backend-client.js'
import type { BackendConnections } from '../connection/backends/backend-connections.js'
import type { ListedBackend, ListedBackends } from '../connection/backends/backend.js'
import type { StageClient } from '../connection/backends/stage-client.js'
import type { ClientCodec } from '../connection/clients/client-codec.js'
import type { Member } from '../connection/peers/member.js'
import type { ColdAllowance } from '../request/attempts/cold-start-limiter.js'
import type { ConfigurationDecoder } from '../version/configuration-holder.js'
import type { EvacuationOrder, EvacuationOrders } from '../version/evacuation-order.js'
import type { CrashReports } from './crashes/crash-report.js'
import type { RecordStore } from './keyed-topic.js'

/** Cluster state that affects this gateway's reads of the store. */
export interface PeerView {
  /** Whether peers send this gateway the changes that its own source misses. */
  readonly receivesPeerUpdates: boolean
  /** Whether peers rely on the reads of this gateway. */
  readonly updatesPeers: boolean
  /** Calls the listener each time that peers begin to rely on the reads of this gateway. */
  onUpdatingPeers: (listener: () => void) => void
  /** Number of listed gateways, including this one. */
  readonly count: number
}

/** Receives the operator's evacuation orders. */
export interface EvacuationSink {
  /** Replaces all orders in force. */
  replaceAll: (orders: EvacuationOrders) => void
  /** Applies one order that was issued or withdrawn. */
  apply: (order: EvacuationOrder) => void
}

/** Receives the operator's records. */
export interface OperatorSink {
  /** Offers a configuration as text. */
  offerConfiguration: (text: string) => void
  /** All configurations up to a time (monotonic clock, milliseconds) were offered. */
  configurationUpToDate: (asOf: number) => void
  evacuations: EvacuationSink
}

/** Follows the operator's records. */
export interface OperatorSource {
  /** Delivers configurations and orders until the signal aborts; orders precede a configuration read together with them. Retries failures internally. */
  follow: (sink: OperatorSink, peers: PeerView, signal: AbortSignal) => Promise<void>
  /** Reads the records anew at once, on a new connection. */
  refresh: () => void
}

/** An outage of a source that has just ended. */
export interface SourceOutage {
  /** Milliseconds for which the source is known not to have responded. */
  lastedMs: number
  /** Milliseconds since the earliest possible recovery, which is when the last failed call was sent. */
  mayHaveReturnedMs: number
  /** Milliseconds after recovery for which a backend server that left during the outage may still get work (from the platform's bounds). */
  usableAfterReturnMs: number
  /** Last error. */
  error: string
  /** The source was restored from an older snapshot: changes already delivered are missing until they are written again. */
  lostWrites: boolean
}

/** Receives changes of the platform's backend server list. */
export interface BackendSink {
  /** Revision of the list, as known from the source or from peers. */
  readonly revision: number
  /** The source responded with all changes until `asOf` (monotonic clock, milliseconds); called before they are delivered. */
  handleSourceResponse: (asOf: number) => void
  /** The source does not respond; called on the first failure. */
  handleSourceFailure: () => void
  /** The source responds again after an outage, during which entries may have expired. */
  handleSourceRecovery: (outage: SourceOutage) => void
  /** Delivers the whole list. */
  replaceAll: (list: ListedBackends) => void
  /** Delivers an entry that was added or changed. */
  upsert: (entry: ListedBackend) => void
  /** Delivers the removal of an entry at this revision. */
  unlist: (id: string, revision: number) => void
}

/** Follows the platform's backend server list. */
export interface BackendSource {
  /** Delivers changes until the signal aborts; retries failures internally. */
  follow: (sink: BackendSink, peers: PeerView, signal: AbortSignal) => Promise<void>
}

/** A gateway as listed in the directory. */
export interface ListedMember extends Member {
  /** Position of its announcement among all; a restarted gateway announces itself again and comes last. */
  announcementOrder: number
}

/** Receives changes of the directory. */
export interface MemberSink {
  /** Number of listed gateways, including this one. */
  readonly count: number
  upsert: (member: ListedMember) => void
  remove: (name: string) => void
  /** The whole directory was read; called after its changes are delivered. */
  noteListRead: () => void
}

/** Directory in which gateways announce themselves. */
export interface MemberDirectory {
  /** Announces this gateway; retries until the directory accepts it or the signal aborts. */
  announce: (member: Member, signal: AbortSignal) => Promise<void>
  /** Removes this gateway from the directory. Tried once, because peers detect an ended process anyway. */
  withdraw: (member: Member) => Promise<void>
  /** Delivers added and removed members until the signal aborts. */
  follow: (sink: MemberSink, signal: AbortSignal) => Promise<void>
}

/** Receives crash reports from the ledger. */
export interface CrashSink {
  /** Delivers the latest reports of all gateways. */
  replaceAll: (byOwner: ReadonlyMap<string, CrashReports>) => void
  /** Delivers the latest reports of one gateway. */
  applyReports: (owner: string, reports: CrashReports) => void
}

/** Shared store of the gateways' reports about requests that crash backend servers. */
export interface CrashLedger {
  /** Replaces the reports of a gateway. Tried once; rejects if the ledger did not accept them. */
  publish: (owner: string, reports: CrashReports) => Promise<void>
  /** Delivers the reports of all gateways until the signal aborts; retries failures internally. */
  follow: (sink: CrashSink, peers: PeerView, signal: AbortSignal) => Promise<void>
}

/** Everything that a platform provides to a gateway. */
export interface PlatformAdapter {
  operatorSource: OperatorSource
  decodeConfiguration: ConfigurationDecoder
  /** Milliseconds after which a change of the configuration must be in force. */
  configurationBoundMs: number
  backendSource: BackendSource
  memberDirectory: MemberDirectory
  crashLedger: CrashLedger
  /** Topics that belong to the gateways. */
  records: RecordStore
  /** Request rate that a cold backend server may get from all gateways together. */
  coldAllowance: ColdAllowance
  clientCodec: ClientCodec
  backendCodec: BackendCodec
  stageClient: (connections: BackendConnections) => StageClient
  /** Aborts pending reads of the platform and starts them again on new connections, because the old connections may be dead. */
  restartReads: () => void
}
