/**
 * The log events of a gateway's process, one function an event.
 */
import type { EventLog } from '@eidermast/common'
import type { Member } from '../connection/peers/member.js'
import process from 'node:process'
import { formatError } from '@eidermast/common'

/** A change of readiness, and the state that caused it. */
export interface ReadinessChange {
  ready: boolean
  /** Version in force; 0 for none. */
  configurationVersion: number
  /** Backend servers known. */
  backends: number
}

/** Writes the events of the process. */
export class GatewayLog {
  constructor(private readonly log: EventLog) {}

  started(): void {
    this.log.write('start', { pid: process.pid, startMs: Math.round(performance.now()) })
  }

  listening(): void {
    this.log.write('listening', { startMs: Math.round(performance.now()) })
  }

  readinessChanged({ ready, configurationVersion, backends }: ReadinessChange): void {
    this.log.write('readiness', { ready, configuration: configurationVersion, backends })
  }

  /** The process was asked to stop; `graceMs` is the time that it has, in milliseconds. */
  stopRequested(active: number, graceMs: number): void {
    this.log.write('stop', { active, graceMs })
  }

  stopped(active: number, tookMs: number): void {
    this.log.write('stopped', { active, tookMs: Math.round(tookMs) })
  }

  /** A peer that holds a newer configuration did not give it. */
  peerConfigurationFailed(member: Member, error: unknown): void {
    this.log.write('peer-configuration-failed', { member: member.name, error: formatError(error) })
  }
}
