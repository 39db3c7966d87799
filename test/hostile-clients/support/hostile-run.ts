/**
 * Plays a crowd against a port of a process, and checks what must hold: the
 * process lives, its memory and its descriptors stay below a bound, one ordinary
 * request is answered while the crowd stays, and the descriptors of the crowd are
 * closed once it has left.
 */
import type { HostileBytes } from './crowd.js'
import process from 'node:process'
import { wait } from '@eidermast/common'
import { expect } from 'vitest'
import { Crowd } from './crowd.js'
import { ProcessUsage } from './process-usage.js'

/** How long a crowd stays before an ordinary client comes. */
const STAY_MS = 3000
/** Descriptors that the process may have opened for itself meanwhile. */
const OWN_DESCRIPTORS = 40
/** Time within which an ordinary client, which returns after each refusal, is served. */
const SERVED_WITHIN_MS = 20_000
const RETURN_MS = 200

/** What is played. */
export interface HostileRun {
  pid: number
  port: number
  clients: number
  bytes: readonly HostileBytes[]
  maxMemoryBytes: number
  maxDescriptors: number
  /** Sends one ordinary request; resolves with whether it was served. */
  sendOrdinary: () => Promise<boolean>
}

/** Plays one crowd, and checks afterwards. */
export async function playCrowd({ pid, port, clients, bytes, maxMemoryBytes, maxDescriptors, sendOrdinary }: HostileRun): Promise<void> {
  const usage = new ProcessUsage(pid)
  const descriptorsBefore = usage.countDescriptors()
  const crowd = new Crowd(port, clients, bytes)
  await wait(STAY_MS)
  const wasServed = await returnUntilServed(usage, sendOrdinary)
  crowd.leave()
  usage.stop()
  if (process.env.EIDERMAST_SHOW_USAGE)
    console.warn(`${Math.round(usage.highestMemoryBytes / 1e6)} MB, ${usage.highestDescriptors} descriptors, alive ${usage.isAlive}, served ${wasServed}`)
  expect(usage.isAlive, 'the process lives').toBe(true)
  expect(usage.highestMemoryBytes, 'memory').toBeLessThanOrEqual(maxMemoryBytes)
  expect(usage.highestDescriptors, 'descriptors').toBeLessThanOrEqual(maxDescriptors)
  expect(wasServed, 'an ordinary request is answered').toBe(true)
  await expect.poll(() => usage.countDescriptors(), { timeout: SERVED_WITHIN_MS }).toBeLessThanOrEqual(descriptorsBefore + OWN_DESCRIPTORS)
}

async function returnUntilServed(usage: ProcessUsage, sendOrdinary: () => Promise<boolean>): Promise<boolean> {
  const startedAt = performance.now()
  while (usage.isAlive && performance.now() - startedAt < SERVED_WITHIN_MS) {
    if (await sendOrdinary().catch(() => false))
      return true
    await wait(RETURN_MS)
  }
  return false
}
