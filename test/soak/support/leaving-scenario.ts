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
export interface Departure {
  backend: StandInBackend
  /** Milliseconds of the test clock. */
  at: number
}

/** A scenario in which backend servers leave. */
export interface LeavingScenario {
  deployment: SoakDeployment
  departures: readonly Departure[]
  /** Number of steps, each started `stepMs` after the previous one. */
  steps: number
  stepMs: number
  step: () => void
  /** Waits until no late request can arrive any more. */
  settle: () => Promise<void>
  lateArrivals: (clients: SoakClients) => string[]
}

/** Makes a random backend server leave, with or without announcing it, if its service has at least two left. */
export function removeRandomBackend(deployment: SoakDeployment, departures: Departure[], draw: Draw): void {
  const departed = new Set(departures.map(({ backend }) => backend))
  const service = SERVICES[draw(SERVICES.length)]
  const remaining = deployment.backends.filter(backend => backend.service === service && !departed.has(backend))
  if (remaining.length < 2)
    return
  const backend = remaining[draw(remaining.length)]
  if (draw(2) === 0)
    deployment.list(backend, 'draining')
  else
    deployment.unlist(backend)
  departures.push({ backend, at: performance.now() })
}

/** Runs the steps under client load; expects that backend servers left and received no late requests. */
export async function runLeavingScenario(scenario: LeavingScenario, draw: Draw): Promise<void> {
  await scenario.deployment.start()
  const clients = new SoakClients(scenario.deployment.gateways, draw)
  try {
    await scenario.deployment.waitUntilReady()
    clients.start()
    for (let step = 0; step < scenario.steps; step++) {
      scenario.step()
      await wait(scenario.stepMs)
    }
    await scenario.settle()
    await clients.stop()
    expect(scenario.departures.length).toBeGreaterThan(0)
    expect(scenario.lateArrivals(clients)).toEqual([])
  }
  finally {
    await clients.stop()
    await scenario.deployment.stop()
  }
}
