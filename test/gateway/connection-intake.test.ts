import type { LogFields } from '@eidermast/common'
import type { LoopReadings } from '@eidermast/gateway'
import { ConnectionIntake } from '@eidermast/gateway'
import { beforeEach, expect, test } from 'vitest'
import { createLog } from './support/fakes.js'

const ARRIVAL_INTERVAL_MS = 20
const BUSY_MS = 2000

let readings: LoopReadings
let lines: LogFields[]
let counted: number
let intake: ConnectionIntake

beforeEach(() => {
  readings = { now: 1000, idleMs: 500 }
  const created = createLog()
  lines = created.lines
  counted = 0
  intake = new ConnectionIntake({ metrics: { countConnectionClosed: () => counted++ }, log: created.log, read: () => ({ ...readings }) })
})

/** Lets connections arrive for `forMs`, with a pause of the event loop before each one if `pauseMs` is above 0; returns which were kept. */
function arriveFor(forMs: number, pauseMs = 0): boolean[] {
  return Array.from({ length: forMs / ARRIVAL_INTERVAL_MS }, () => {
    readings.now += ARRIVAL_INTERVAL_MS
    readings.idleMs += pauseMs
    return intake.keepsNext()
  })
}

test('keeps all connections while the event loop pauses now and then', () => {
  expect(arriveFor(BUSY_MS, 0.01)).not.toContain(false)
  expect(intake.isClosing).toBe(false)
})

test('closes connections while the event loop has not paused for 300 ms, but keeps some', () => {
  expect(arriveFor(280)).not.toContain(false)
  const kept = arriveFor(BUSY_MS)
  expect(kept.filter(Boolean).length).toBeGreaterThanOrEqual(BUSY_MS / 600)
  expect(kept.filter(Boolean).length).toBeLessThanOrEqual(BUSY_MS / 500 + 1)
  expect(intake.isClosing).toBe(true)
  expect(counted).toBe(kept.filter(isKept => !isKept).length)
})

test('keeps connections again after a pause', () => {
  arriveFor(BUSY_MS)
  expect(arriveFor(ARRIVAL_INTERVAL_MS, 1)).toEqual([true])
  expect(intake.isClosing).toBe(false)
})

test('keeps what arrives after one long task', () => {
  arriveFor(100, 1)
  readings.now += BUSY_MS
  readings.idleMs += 1
  expect(intake.keepsNext()).toBe(true)
})

test('logs what it closes at most once a second', () => {
  arriveFor(280 + BUSY_MS)
  expect(lines.filter(({ event }) => event === 'connections-closed').length).toBe(BUSY_MS / 1000)
})
