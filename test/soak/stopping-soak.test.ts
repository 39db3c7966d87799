import type { TimedSignal } from './support/gateway-child.js'
import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test, vi } from 'vitest'
import { StoreFault } from '../platform/support/stand-in-store.js'
import { findViolation } from './support/answer-violations.js'
import { RequestKind, SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

const STEPS = 8
/** Interval between the starts of two faults. */
const STEP_MS = 500
/** Duration of a store outage or a pause. */
const PAUSE_MS = 300
/** Further signals are sent within this time of the first one; a stop takes longer. */
const SIGNALS_MS = 1500
const MAX_FURTHER_SIGNALS = 4
const FURTHER_SIGNALS = ['SIGTERM', 'SIGHUP', 'SIGSTOP'] as const

/** Draws signals for a process that is stopping. A paused one goes on after PAUSE_MS. */
function drawFurtherSignals(draw: Draw): TimedSignal[] {
  const drawn = Array.from({ length: draw(MAX_FURTHER_SIGNALS + 1) }, () => ({ afterMs: draw(SIGNALS_MS), signal: FURTHER_SIGNALS[draw(FURTHER_SIGNALS.length)] }))
  const resumes = drawn.filter(({ signal }) => signal === 'SIGSTOP').map(({ afterMs }) => ({ afterMs: afterMs + PAUSE_MS, signal: 'SIGCONT' as const }))
  return [...drawn, ...resumes]
}

/** Disruptions, which may overlap. Most are stops with a series of signals. */
const DISRUPTIONS: ((deployment: SoakDeployment, draw: Draw) => Promise<void> | void)[] = [
  ({ gateways }, draw) => gateways[draw(gateways.length)].replace('SIGTERM', drawFurtherSignals(draw)),
  ({ gateways }, draw) => gateways[draw(gateways.length)].replace('SIGTERM', drawFurtherSignals(draw)),
  deployment => deployment.publish(),
  async ({ store }, draw) => {
    store.fault = [StoreFault.Busy, StoreFault.Reset, StoreFault.Hanging][draw(3)]
    await wait(PAUSE_MS)
    store.fault = StoreFault.None
  },
]

/** Counts the lines of an event in a log. */
function countEvents(log: string, event: string): number {
  return log.split('\n').filter(line => line.includes(`"event":"${event}"`)).length
}

// Guards against stops that a second signal cuts short, and exits that lose the last log lines.
describe('gateway processes that are stopped by series of signals', () => {
  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
  })

  test.each(readSeeds())('uphold their guarantees, end each stop and log its end, while clients use open connections (seed %i)', async (seed) => {
    const draw = createDraw(seed)
    const deployment = new SoakDeployment()
    await deployment.start()
    const clients = new SoakClients(deployment.gateways, draw)
    const disruptions: (Promise<void> | void)[] = []
    try {
      await deployment.waitUntilReady()
      clients.start()
      for (let step = 0; step < STEPS; step++) {
        disruptions.push(DISRUPTIONS[draw(DISRUPTIONS.length)](deployment, draw))
        await wait(STEP_MS)
      }
      await Promise.all(disruptions)
      await deployment.waitUntilReady()
      await clients.stop()
      expect(clients.requests.map(sent => findViolation(sent, deployment.countRuns(sent.id))).filter(Boolean)).toEqual([])
      for (const kind of Object.values(RequestKind))
        expect(clients.requests.filter(sent => sent.kind === kind && sent.status === 200).length).toBeGreaterThan(0)
      // The test's own log files are written asynchronously.
      await vi.waitFor(() => {
        for (const gateway of deployment.gateways) {
          const log = gateway.readLog()
          expect(countEvents(log, 'stopped')).toBe(countEvents(log, 'start') - 1)
          expect(countEvents(log, 'stop')).toBe(countEvents(log, 'start') - 1)
        }
      })
    }
    finally {
      await clients.stop()
      await deployment.stop()
    }
  })
})
