/**
 * The log events of a gateway's process, one function an event: its life, the
 * gateways that it knows and the backend servers that are listed.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend, BackendRecord } from '../connection/backends/backend.js'
import type { Presence } from '../connection/backends/presence-check.js'
import type { CallStart } from '../connection/backends/work-call.js'
import type { Member } from '../connection/peers/member.js'
import type { EvacuationOrder } from '../version/evacuation-order.js'
import type { SourceOutage } from './platform-adapter.js'
import process from 'node:process'
import { formatError } from '@eidermast/common'

/** Writes the events of the process. */
export class GatewayLog {
  constructor(private readonly log: EventLog) {}

  started(): void {
    this.log.write('start', { pid: process.pid, startMs: Math.round(performance.now()) })
  }

  listening(): void {
    this.log.write('listening', { startMs: Math.round(performance.now()) })
  }

  readinessChanged(ready: boolean, configuration: number, backends: number): void {
    this.log.write('readiness', { ready, configuration, backends })
  }

  /** The process was asked to stop; `graceMs` is the time that it has, in milliseconds. */
  stopRequested(active: number, graceMs: number): void {
    this.log.write('stop', { active, graceMs })
  }

  /** The time of day went on by this much more than the steady clock: the VM was suspended, or its time of day was set. */
  woke(awayMs: number): void {
    this.log.write('woke', { awayMs: Math.round(awayMs) })
  }

  stopped(active: number, tookMs: number): void {
    this.log.write('stopped', { active, tookMs: Math.round(tookMs) })
  }

  /** A peer that holds a newer configuration did not give it. */
  peerConfigurationFailed(member: Member, error: unknown): void {
    this.log.write('peer-configuration-failed', { member: member.name, error: formatError(error) })
  }

  /** A peer that holds a newer list of backend servers did not give it. */
  peerBackendsFailed(member: Member, error: unknown): void {
    this.log.write('peer-backends-failed', { member: member.name, error: formatError(error) })
  }

  /** A peer's list replaced this process's own, which was read this many milliseconds ago. */
  backendListAdopted(member: Member, revision: number, previous: number, listAgeMs: number): void {
    this.log.write('backend-list', { source: member.name, revision, previous, listAgeMs: Math.round(listAgeMs) })
  }

  /** A failure domain is evacuated from now on, or no longer, by this process's own reads or by the word of a peer. */
  evacuationChanged({ failureDomain, evacuated }: EvacuationOrder, source: string): void {
    this.log.write('evacuation', { domain: failureDomain, evacuated, source })
  }

  memberListed(member: Member, announcementOrder: number): void {
    // Its own order is not known to a gateway until the directory lists it.
    const seniority = Number.isFinite(announcementOrder) ? announcementOrder : undefined
    this.log.write('member-listed', { member: member.name, address: member.address, seniority })
  }

  memberRemoved(name: string): void {
    this.log.write('member-removed', { member: name })
  }

  memberFailed(member: Member): void {
    this.log.write('member-failed', { member: member.name })
  }

  memberRecovered(member: Member): void {
    this.log.write('member-recovered', { member: member.name })
  }

  /** This process is short of processor time, or no longer. */
  slownessChanged(slow: boolean, meanLatenessMs: number): void {
    this.log.write(slow ? 'slow' : 'no-longer-slow', { meanLatenessMs: Math.round(meanLatenessMs) })
  }

  /** `members` counts the gateways listed, this one included. */
  coordinatorChanged(coordinator: Member, previous: Member, members: number): void {
    this.log.write('stage-coordinator', { coordinator: coordinator.name, previous: previous.name, members })
  }

  /** The gateway that coordinates a shard of the stage work is another one; absent before the first. */
  shardCoordinatorChanged(shard: string, coordinator: Member, previous: Member | undefined): void {
    this.log.write('stage-coordinator', { shard, coordinator: coordinator.name, previous: previous?.name })
  }

  /** The stage work is divided into other shards. */
  stageWorkDivided(shards: string, members: number): void {
    this.log.write('stage-division', { shards, members })
  }

  backendAdded({ id, service, failureDomain, address, draining }: BackendRecord): void {
    this.log.write('backend-added', { backend: id, service, failureDomain, address, draining })
  }

  /** It is cold for this many milliseconds: it has just started, or says so. */
  backendCold({ id, service }: BackendRecord, coldMs: number): void {
    this.log.write('backend-cold', { backend: id, service, coldMs: Math.round(coldMs) })
  }

  /** It names a limit of requests a second, another one, or none any more (absent), by an answer to this process or by the word of a peer. */
  backendLimitChanged({ id, service, intake: { limitPerSecond } }: Backend, previous: number | undefined, source: string): void {
    this.log.write('backend-limit', { backend: id, service, limitPerSecond, previous, source })
  }

  /** It says in its answers that it leaves, by an answer to this process or by the word of a peer. */
  backendSaidLeaving({ id, service, record: { draining } }: Backend, source: string): void {
    this.log.write('backend-leaving', { backend: id, service, source, listedAsDraining: draining })
  }

  /** It turned a request away and wants nothing more from this process for some time. */
  backendAskedForRest({ id, service }: Backend, restMs: number): void {
    this.log.write('backend-rest', { backend: id, service, restMs: Math.round(restMs) })
  }

  /** It began to leave, or takes work again; at most `noticedWithinMs` milliseconds ago. */
  backendStateChanged({ id, service, draining }: BackendRecord, noticedWithinMs: number): void {
    this.log.write('backend-state', { backend: id, service, draining, noticedWithinMs: Math.round(noticedWithinMs) })
  }

  /** Its entry is gone, and it is used on for this long, in milliseconds, since the list was away before. */
  backendLapsed(backend: string, usedForMs: number, outage: SourceOutage | undefined): void {
    this.log.write('backend-lapsed', {
      backend,
      usedForMs: Math.round(usedForMs),
      sourceAwayMs: outage && Math.round(outage.lastedMs),
      mayHaveReturnedMs: outage && Math.round(outage.mayHaveReturnedMs),
      sourceError: outage?.error,
    })
  }

  /** Calls to a backend server broke, of requests with these fingerprints, and it was asked whether its process is there. */
  backendChecked({ id, service }: BackendRecord, presence: Presence, fingerprints: readonly string[]): void {
    this.log.write('backend-checked', { backend: id, service, presence, fingerprints: fingerprints.join(',') })
  }

  /** Work waited long for its connection. */
  workSentLate({ backend, waitedMs }: CallStart): void {
    this.log.write('work-sent-late', { backend: backend.id, service: backend.service, waitedMs: Math.round(waitedMs) })
  }

  /** Work that waited for its connection was not sent, since its backend server is leaving or removed, or takes no request now by its own word. */
  workTurnedAway({ backend, waitedMs }: CallStart): void {
    const { id, service, record, removed, intake } = backend
    this.log.write('work-turned-away', {
      backend: id,
      service,
      waitedMs: Math.round(waitedMs),
      draining: record.draining,
      saidLeaving: intake.isLeaving,
      removed,
      limitPerSecond: intake.limitPerSecond,
      restMs: Math.round(intake.restMs(performance.now())),
    })
  }

  /** Its entry went at most `noticedWithinMs` milliseconds before the list's last read. */
  backendRemoved({ id, service }: BackendRecord, reason: string, noticedWithinMs: number): void {
    this.log.write('backend-removed', { backend: id, service, reason, noticedWithinMs: Math.round(noticedWithinMs) })
  }
}
