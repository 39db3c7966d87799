/**
 * What a gateway needs of the platform that it runs on, as interfaces: the
 * sources of the operator's records and of backend servers, the directory of gateways, the
 * codecs, and calls to stage backend servers. An adapter implements them; it is
 * given to the gateway at its start.
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

/** What other gateways mean for the reads of this one, as of now. */
export interface PeerView {
  /** They tell this one of changes that its own source has missed. */
  readonly isTold: boolean
  /** Gateways listed, this one included. */
  readonly count: number
}

/** Takes the operator's orders about failure domains. */
export interface EvacuationSink {
  /** All orders in force. */
  replaceAll: (orders: EvacuationOrders) => void
  /** One order that is new, or was taken back. */
  take: (order: EvacuationOrder) => void
}

/** Takes what the operator publishes. */
export interface OperatorSink {
  /** A configuration as text. */
  offerConfiguration: (text: string) => void
  evacuations: EvacuationSink
}

/** Follows what the operator publishes. */
export interface OperatorSource {
  /** Brings configurations and orders until the signal aborts, orders before a configuration that comes with them; retries failures by itself. */
  follow: (sink: OperatorSink, peers: PeerView, signal: AbortSignal) => Promise<void>
}

/** A time in which a source did not answer, and has just ended. */
export interface SourceOutage {
  /** Milliseconds for which it is known not to have answered. */
  lastedMs: number
  /** Milliseconds since it may have returned: since the last call that failed was sent. */
  mayHaveReturnedMs: number
  /** Milliseconds after a return for which a backend server that left in the outage may still get work (the platform's bounds). */
  usableAfterReturnMs: number
  /** The last failure. */
  error: string
  /** The source came back from an older copy: changes that it had told are gone from it, until they are written again. */
  lostWrites: boolean
}

/** Takes the changes of the platform's list of backend servers. */
export interface BackendSink {
  /** Up to which change the list is known, from the source or from peers. */
  readonly revision: number
  /** The source answered; called before what it brings. */
  noteSourceAnswered: () => void
  /** The source does not answer; called at the first failure. */
  noteSourceFailed: () => void
  /** The source answers again after failures: entries may have lapsed meanwhile. */
  noteSourceReturned: (outage: SourceOutage) => void
  /** The whole list. */
  replaceAll: (list: ListedBackends) => void
  /** One entry that is new or has changed. */
  upsert: (entry: ListedBackend) => void
  /** One entry that has gone, by the change of this revision. */
  unlist: (id: string, revision: number) => void
}

/** Follows the platform's list of backend servers. */
export interface BackendSource {
  /** Reports backend servers until the signal aborts; retries failures by itself. */
  follow: (sink: BackendSink, peers: PeerView, signal: AbortSignal) => Promise<void>
}

/** A gateway as the directory lists it. */
export interface ListedMember extends Member {
  /** Order of its announcement among all: a gateway that restarts announces itself again and comes last. */
  announcementOrder: number
}

/** Takes the changes of a directory. */
export interface MemberSink {
  /** Members listed, this gateway included. */
  readonly count: number
  upsert: (member: ListedMember) => void
  remove: (name: string) => void
  /** All that the directory holds was read; called after what that brought. */
  noteListRead: () => void
}

/** Where gateways announce themselves. */
export interface MemberDirectory {
  /** Announces this gateway, with retries until the directory has it or the signal aborts. */
  announce: (member: Member, signal: AbortSignal) => Promise<void>
  /** Takes this gateway off the list; tried once, since peers notice a process that ends in any case. */
  withdraw: (member: Member) => Promise<void>
  /** Reports members that are listed or removed, until the signal aborts. */
  follow: (sink: MemberSink, signal: AbortSignal) => Promise<void>
}

/** Takes what a ledger of crashes brings. */
export interface CrashSink {
  /** All that the ledger holds: the newest reports of each gateway. */
  replaceAll: (byOwner: ReadonlyMap<string, CrashReports>) => void
  /** The newest reports of one gateway. */
  takeReports: (owner: string, reports: CrashReports) => void
}

/** Where gateways keep their reports of requests that end backend servers. */
export interface CrashLedger {
  /** Replaces the reports of a gateway; tried once, rejects where the ledger did not take them. */
  publish: (owner: string, reports: CrashReports) => Promise<void>
  /** Brings the reports of all gateways until the signal aborts; retries failures by itself. */
  follow: (sink: CrashSink, peers: PeerView, signal: AbortSignal) => Promise<void>
}

/** All that a platform brings to a gateway. */
export interface PlatformAdapter {
  operatorSource: OperatorSource
  decodeConfiguration: ConfigurationDecoder
  backendSource: BackendSource
  memberDirectory: MemberDirectory
  crashLedger: CrashLedger
  /** What a cold backend server may get from all gateways together. */
  coldAllowance: ColdAllowance
  clientCodec: ClientCodec
  backendCodec: BackendCodec
  stageClient: (connections: BackendConnections) => StageClient
  /** Reads of the platform that wait are made anew: this process was away, and their connections may be gone. */
  readAnew: () => void
}
