import type { GatewayChild } from './support/gateway-child.js'
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { wait } from '@eidermast/common'
import { beforeAll, describe, expect, test, vi } from 'vitest'
import { findViolation } from './support/answer-violations.js'
import { buildLanded, hasLandedCommit, LANDED_COMMIT } from './support/landed-build.js'
import { RequestKind, SoakClients } from './support/soak-clients.js'
import { SoakDeployment } from './support/soak-deployment.js'
import { createDraw } from './support/soak-seeds.js'

/** How long both versions run side by side after each replacement. */
const SIDE_BY_SIDE_MS = 1500
const SEED = 1
/** Events that a version logs if it is incompatible with the other one. */
const FAULT_EVENTS = /"event":"(?:uncaught|unhandled|internal-error|configuration-rejected|crash-reports-rejected|backend-entry-rejected)"/
/** Minimum fraction of requests that succeed while VMs are replaced; each gateway is unavailable for about a second. */
const SERVED_SHARE = 0.8

function findFaultEvents({ directory, gateways }: SoakDeployment): string[] {
  return gateways.flatMap((_, number) => readFileSync(path.join(directory, `gateway-${number}.log`), 'utf8').split('\n'))
    .filter(line => FAULT_EVENTS.test(line))
}

/** Replaces the gateway processes one after the other and publishes a configuration during each replacement. */
async function replaceOneByOne(deployment: SoakDeployment, replaceOne: (gateway: GatewayChild) => Promise<void>): Promise<void> {
  for (const gateway of deployment.gateways) {
    const replaced = replaceOne(gateway)
    await wait(SIDE_BY_SIDE_MS)
    deployment.publish()
    await replaced
    await deployment.waitUntilReady()
    await wait(SIDE_BY_SIDE_MS)
  }
}

if (!hasLandedCommit())
  console.warn(`skipped: the history does not contain ${LANDED_COMMIT}, the last landed version`)

describe.runIf(hasLandedCommit())('the last landed version side by side with the current one', () => {
  let landed: string

  beforeAll(async () => {
    await import('../../platform/build.mjs' as string)
    landed = buildLanded()
  }, 120_000)

  test.each([
    ['is replaced by it, one VM at a time', () => landed, (gateway: GatewayChild) => gateway.upgrade()],
    ['replaces it again, one VM at a time', () => undefined, (gateway: GatewayChild) => {
      gateway.bundle = landed
      return gateway.replace('SIGTERM')
    }],
  ])('%s, and all guarantees hold', async (_way, first, replaceOne) => {
    const deployment = new SoakDeployment({ bundle: first() })
    await deployment.start()
    const clients = new SoakClients(deployment.gateways, createDraw(SEED))
    try {
      await deployment.waitUntilReady()
      clients.start()
      await replaceOneByOne(deployment, replaceOne)
      await clients.stop()
      expect(clients.requests.map(sent => findViolation(sent, deployment.countRuns(sent.id))).filter(Boolean)).toEqual([])
      expect(findFaultEvents(deployment)).toEqual([])
      for (const kind of Object.values(RequestKind)) {
        const answered = clients.requests.filter(sent => sent.kind === kind && sent.status !== undefined)
        expect(answered.filter(({ status }) => status === 200).length).toBeGreaterThan(answered.length * SERVED_SHARE)
      }
      await vi.waitFor(() => expect([...deployment.store.newestOf('keyed.eidermast-gateways').keys()]).toHaveLength(deployment.gateways.length))
    }
    finally {
      await clients.stop()
      await deployment.stop()
    }
  })
})
