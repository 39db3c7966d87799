/**
 * Log events of the gateway process, one method per event: process lifecycle,
 * cluster members, and listed backend servers.
 */
import type { EventLog, Presence } from '@eidermast/common'
import type { Backend, BackendRecord } from '../connection/backends/backend.js'
import type { CallStart } from '../connection/backends/work-call.js'
import type { Member } from '../connection/peers/member.js'
import type { EvacuationOrder } from '../version/evacuation-order.js'
import type { CoordinatorChange } from './membership/coordinator-election.js'
import type { SourceOutage } from './platform-adapter.js'
import process from 'node:process'
import { formatError } from '@eidermast/common'

/** Writes the log events of the process. */
export class GatewayLog {
  constructor(private readonly log: EventLog) {}

  started(): void {
    this.log.write('start', { pid: process.pid, startMs: Math.round(performance.now()) })
  }

  /** The limit on bytes held for others; not logged without one. */
  heldLimitSet(limitBytes: number): void {
    if (Number.isFinite(limitBytes))
      this.log.write('held-limit', { limitBytes })
  }

  listening(): void {
    this.log.write('listening', { startMs: Math.round(performance.now()) })
  }

  readinessChanged(ready: boolean, configuration: number, backends: number): void {
    this.log.write('readiness', { ready, configuration, backends })
  }

  /** The process was asked to stop and has `graceMs` milliseconds left. */
  stopRequested(active: number, graceMs: number): void {
    this.log.write('stop', { active, graceMs })
  }

  /** The wall clock advanced by `suspendedMs` more than the monotonic clock: the VM was suspended, or its clock was set. */
  resumed(suspendedMs: number): void {
    this.log.write('woke', { awayMs: Math.round(suspendedMs) })
  }

  /** The coordinator has listed more gateways than this one for `behindMs`. */
  directoryBehind(own: number, coordinator: number, behindMs: number): void {
    this.log.write('directory-behind', { members: own, coordinatorMembers: coordinator, behindMs: Math.round(behindMs) })
  }

  stopped(active: number, tookMs: number): void {
    this.log.write('stopped', { active, tookMs: Math.round(tookMs) })
  }

  /** A peer did not answer a heartbeat, and answered one that was sent later. */
  peerConnectionLost(member: Member, sentMs: number): void {
    this.log.write('peer-connection-lost', { member: member.name, sentMs: Math.round(sentMs) })
  }

  /** Fetching a newer configuration from a peer failed. */
  peerConfigurationFailed(member: Member, error: unknown): void {
    this.log.write('peer-configuration-failed', { member: member.name, error: formatError(error) })
  }

  /** Fetching a newer backend server list from a peer failed. */
  peerBackendsFailed(member: Member, error: unknown): void {
    this.log.write('peer-backends-failed', { member: member.name, error: formatError(error) })
  }

  /** A peer's list replaced this process's own, which was read `listAgeMs` milliseconds ago. */
  backendListAdopted(member: Member, revision: number, previous: number, listAgeMs: number): void {
    this.log.write('backend-list', { source: member.name, revision, previous, listAgeMs: Math.round(listAgeMs) })
  }

  /** A failure domain was evacuated or restored, according to this process's own reads or to a peer. */
  evacuationChanged({ failureDomain, evacuated }: EvacuationOrder, source: string): void {
    this.log.write('evacuation', { domain: failureDomain, evacuated, source })
  }

  memberListed(member: Member, announcementOrder: number): void {
    // A gateway learns its own announcement order only when the directory lists it.
    const seniority = Number.isFinite(announcementOrder) ? announcementOrder : undefined
    this.log.write('member-listed', { member: member.name, address: member.address, seniority })
  }

  memberRemoved(name: string): void {
    this.log.write('member-removed', { member: name })
  }

  /** A member counts as failed: its last answer is `silentMs` milliseconds old (absent: there is none), and `unanswered` heartbeats wait for theirs. */
  memberFailed(member: Member, silentMs: number, unanswered: number): void {
    this.log.write('member-failed', { member: member.name, silentMs: Number.isFinite(silentMs) ? Math.round(silentMs) : undefined, unanswered })
  }

  memberRecovered(member: Member): void {
    this.log.write('member-recovered', { member: member.name })
  }

  /** This process started or stopped being short of CPU time. `usedCoreShare` is the part of a core that it used before its last tick. */
  slownessChanged(slow: boolean, meanLatenessMs: number, usedCoreShare: number): void {
    this.log.write(slow ? 'slow' : 'no-longer-slow', { meanLatenessMs: Math.round(meanLatenessMs), usedCoreShare: Number(usedCoreShare.toFixed(2)) })
  }

  /** `members` is the number of listed gateways, including this one. */
  coordinatorChanged({ coordinator, previous, reason }: CoordinatorChange, members: number): void {
    this.log.write('stage-coordinator', { coordinator: coordinator.name, previous: previous.name, reason, members })
  }

  /** Another gateway became the coordinator of a stage shard; `previous` is undefined for the first one. */
  shardCoordinatorChanged(shard: string, coordinator: Member, previous: Member | undefined): void {
    this.log.write('stage-coordinator', { shard, coordinator: coordinator.name, previous: previous?.name })
  }

  /** The stage work was divided into different shards. */
  stageWorkDivided(shards: string, members: number): void {
    this.log.write('stage-division', { shards, members })
  }

  backendAdded({ id, service, softwareVersion, failureDomain, address, draining }: BackendRecord): void {
    this.log.write('backend-added', { backend: id, service, version: softwareVersion, failureDomain, address, draining })
  }

  /** A backend server is cold for `coldMs` milliseconds: it has just started, or reports it itself. */
  backendCold({ id, service }: BackendRecord, coldMs: number): void {
    this.log.write('backend-cold', { backend: id, service, coldMs: Math.round(coldMs) })
  }

  /** A backend server announced, changed or withdrew (undefined) its rate limit, in a response to this process or as reported by a peer. */
  backendLimitChanged({ id, service, intake: { limitPerSecond } }: Backend, previous: number | undefined, source: string): void {
    this.log.write('backend-limit', { backend: id, service, limitPerSecond, previous, source })
  }

  /** A backend server announced that it is leaving, in a response to this process or as reported by a peer. */
  backendAnnouncedLeaving({ id, service, record: { draining } }: Backend, source: string): void {
    this.log.write('backend-leaving', { backend: id, service, source, listedAsDraining: draining })
  }

  /** A backend server rejected a request and asked this process to send none for `backoffMs` milliseconds. */
  backendRequestedBackoff({ id, service }: Backend, backoffMs: number): void {
    this.log.write('backend-rest', { backend: id, service, restMs: Math.round(backoffMs) })
  }

  /** A backend server started or stopped draining, at most `noticedWithinMs` milliseconds ago. */
  backendStateChanged({ id, service, draining }: BackendRecord, noticedWithinMs: number): void {
    this.log.write('backend-state', { backend: id, service, draining, noticedWithinMs: Math.round(noticedWithinMs) })
  }

  /** An entry was removed after an outage of the list's source; its backend server is used for `usedForMs` milliseconds more. */
  backendEntryExpired(backend: string, usedForMs: number, outage: SourceOutage | undefined): void {
    this.log.write('backend-lapsed', {
      backend,
      usedForMs: Math.round(usedForMs),
      sourceAwayMs: outage && Math.round(outage.lastedMs),
      mayHaveReturnedMs: outage && Math.round(outage.mayHaveReturnedMs),
      sourceError: outage?.error,
    })
  }

  /** Calls to a backend server broke, and its presence was checked; `fingerprints` identifies the requests. */
  backendChecked({ id, service }: BackendRecord, presence: Presence, fingerprints: readonly string[]): void {
    this.log.write('backend-checked', { backend: id, service, presence, fingerprints: fingerprints.join(',') })
  }

  /** A call waited long for a connection. */
  workSentLate({ backend, waitedMs }: CallStart): void {
    this.log.write('work-sent-late', { backend: backend.id, service: backend.service, waitedMs: Math.round(waitedMs) })
  }

  /** A request was not written to a connection that had carried it before; the connection was closed, and the request moves to another one. */
  connectionAvoided({ backend, waitedMs }: CallStart): void {
    const { id, service } = backend
    this.log.write('connection-avoided', { backend: id, service, waitedMs: Math.round(waitedMs) })
  }

  /** A call that was waiting for a connection was not sent: its backend server is leaving, was removed, or accepts no requests at present. */
  workRejected({ backend, waitedMs }: CallStart): void {
    const { id, service, record, removed, intake } = backend
    this.log.write('work-turned-away', {
      backend: id,
      service,
      waitedMs: Math.round(waitedMs),
      draining: record.draining,
      saidLeaving: intake.isLeaving,
      removed,
      limitPerSecond: intake.limitPerSecond,
      restMs: Math.round(intake.backoffMs(performance.now())),
    })
  }

  /** The entry was removed at most `noticedWithinMs` milliseconds before the last read of the list. */
  backendRemoved({ id, service }: BackendRecord, reason: string, noticedWithinMs: number): void {
    this.log.write('backend-removed', { backend: id, service, reason, noticedWithinMs: Math.round(noticedWithinMs) })
  }
}
