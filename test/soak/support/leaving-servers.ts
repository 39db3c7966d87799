/**
 * Shared by the soak tests with leaving backend servers: choosing the one that
 * leaves, and running a scenario from start to final checks.
 */
import type { StandInBackend } from '../../platform/support/stand-in-backend.js'
import type { Draw } from './soak-clients.js'
import type { SoakDeployment } from './soak-deployment.js'
import { wait } from '@eidermast/common'
import { expect } from 'vitest'
import { SoakClients } from './soak-clients.js'

const SERVICES = ['plain', 'model', 'encode']

/** A backend server that left but continues to serve. */
export interface Leave {
  backend: StandInBackend
  /** Milliseconds of the test clock. */
  at: number
}

/** A scenario in which backend servers leave. */
export interface LeavingPlay {
  deployment: SoakDeployment
  leaves: readonly Leave[]
  /** Number of steps, each started `stepMs` after the previous one. */
  steps: number
  stepMs: number
  step: () => void
  /** Waits until no late request can arrive any more. */
  settle: () => Promise<void>
  lateArrivals: (clients: SoakClients) => string[]
}

/** Makes a random backend server leave, with or without announcing it, if its service has at least two left. */
export function leaveOne(deployment: SoakDeployment, leaves: Leave[], draw: Draw): void {
  const left = new Set(leaves.map(({ backend }) => backend))
  const service = SERVICES[draw(SERVICES.length)]
  const staying = deployment.backends.filter(backend => backend.service === service && !left.has(backend))
  if (staying.length < 2)
    return
  const backend = staying[draw(staying.length)]
  if (draw(2) === 0)
    deployment.list(backend, 'draining')
  else
    deployment.unlist(backend)
  leaves.push({ backend, at: performance.now() })
}

/** Runs the steps under client load; expects that backend servers left and received no late requests. */
export async function playLeaving(play: LeavingPlay, draw: Draw): Promise<void> {
  await play.deployment.start()
  const clients = new SoakClients(play.deployment.gateways, draw)
  try {
    await play.deployment.waitUntilReady()
    clients.start()
    for (let step = 0; step < play.steps; step++) {
      play.step()
      await wait(play.stepMs)
    }
    await play.settle()
    await clients.stop()
    expect(play.leaves.length).toBeGreaterThan(0)
    expect(play.lateArrivals(clients)).toEqual([])
  }
  finally {
    await clients.stop()
    await play.deployment.stop()
  }
}
