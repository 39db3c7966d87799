/**
 * What the soaks of leaving backend servers share: which one leaves, and how a
 * run goes from its first request to its last check.
 */
import type { StandInBackend } from '../../platform/support/stand-in-backend.js'
import type { Draw } from './soak-clients.js'
import type { SoakDeployment } from './soak-deployment.js'
import { wait } from '@eidermast/common'
import { expect } from 'vitest'
import { SoakClients } from './soak-clients.js'

const SERVICES = ['plain', 'model', 'encode']

/** A backend server that left; it serves on. */
export interface Leave {
  backend: StandInBackend
  /** Milliseconds of the test's clock. */
  at: number
}

/** A run in which backend servers leave. */
export interface LeavingPlay {
  deployment: SoakDeployment
  leaves: readonly Leave[]
  /** Steps, and milliseconds between the beginnings of two. */
  steps: number
  stepMs: number
  step: () => void
  /** Waits until nothing more can come late. */
  settle: () => Promise<void>
  lateArrivals: (clients: SoakClients) => string[]
}

/** Lets one of a service leave, with or without a word, where two or more stay. */
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

/** Plays the steps beside clients, and expects that servers left and got nothing late. */
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
