import type { StartedGateway } from '../platform/support/in-process-gateway.js'
import type { Draw } from './support/soak-clients.js'
import { wait } from '@eidermast/common'
import { describe, expect, test, vi } from 'vitest'
import { startGateway } from '../platform/support/in-process-gateway.js'
import { StandInStore } from '../platform/support/stand-in-store.js'
import { StoreProxy } from '../platform/support/store-proxy.js'
import { SoakDisruptions } from './support/soak-disruptions.js'
import { createDraw, readSeeds } from './support/soak-seeds.js'

/** Time after which a change must be in force at connected gateways (setting `configuration-ms`). */
const CONFIGURATION_MS = 2000
/** Time after a disruption until a gateway counts as connected again (setting `contact-ms`). */
const CONTACT_MS = 3000
/** Tolerance for a busy machine. */
const TOLERANCE_MS = 150
const SAMPLE_MS = 20
const STEPS = 24
const STEP_MS = 500
/** How long versions are compared after the last step. */
const SETTLE_MS = 5500
const GATEWAYS = 5
const CI_SEEDS = [100, 105]
/** A process that starts brings the newest version to its peers, so a lost read shows only while none does. */
const COORDINATOR_AWAY_MS = 5000
const OPERATOR_TOPIC = 'keyed.op'
const CONFIGURATION = {
  Routes: [{ Name: 'plain', Host: 'host.example', PathPrefix: '/plain/', Type: 'idempotent', Service: 'plain', TimeoutMs: 6000, TargetLatencyMs: 3000, MaxAttempts: 1 }],
  Services: [{ Name: 'plain', MaxConnections: 40 }],
  Limits: { MaxHeaderBytes: 8000, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 5000 },
}

/** Gateways that lose reads, are cut off from the store and end, while the configuration changes. */
class ConfigurationRun {
  private readonly store = new StandInStore()
  private proxies: StoreProxy[] = []
  /** By index; undefined while one is being replaced. */
  private readonly gateways: (StartedGateway | undefined)[] = []
  private readonly disruptions = new SoakDisruptions(CONTACT_MS + TOLERANCE_MS)
  private readonly published: { version: number, at: number }[] = []
  private readonly pending: Promise<void>[] = []
  private readonly late = new Set<string>()
  private readonly versions = new Map<StartedGateway, number>()

  constructor(private readonly draw: Draw) {}

  async play(): Promise<string[]> {
    const address = await this.store.start()
    this.publish()
    this.proxies = Array.from({ length: GATEWAYS }, () => new StoreProxy(address))
    const addresses = await Promise.all(this.proxies.map(proxy => proxy.start()))
    await Promise.all(addresses.map((_, index) => this.start(index, addresses)))
    await vi.waitFor(() => expect(this.gateways.map(started => started?.gateway.members.count)).toEqual(Array.from({ length: GATEWAYS }, () => GATEWAYS)), { timeout: 5000 })
    const sampling = setInterval(() => this.compareVersions(), SAMPLE_MS)
    for (let step = 0; step < STEPS; step++) {
      this.step(addresses)
      await wait(STEP_MS)
    }
    await Promise.all(this.pending)
    await wait(SETTLE_MS)
    clearInterval(sampling)
    await Promise.all(this.gateways.map(started => started?.gateway.close()))
    this.proxies.forEach(proxy => proxy.stop())
    await this.store.stop()
    return [...this.late]
  }

  private step(addresses: string[]): void {
    const gateway = this.draw(GATEWAYS)
    const kind = this.draw(10)
    if (kind < 4)
      this.publish()
    else if (kind < 6)
      this.silence([gateway])
    else if (kind === 6)
      this.pending.push(this.silenceAllAndReplaceCoordinator(addresses))
    else if (kind === 7)
      this.pending.push(this.disconnect(gateway))
    else
      this.pending.push(this.replace(gateway, addresses))
  }

  private publish(): void {
    const version = this.published.length + 1
    this.store.put(OPERATOR_TOPIC, 'config', { Version: version, ...CONFIGURATION })
    this.published.push({ version, at: performance.now() })
  }

  private silence(gateways: number[]): void {
    const now = performance.now()
    for (const gateway of gateways) {
      this.proxies[gateway].stallOpenConnections()
      this.disruptions.add(gateway, now, now)
    }
  }

  /** All connections to the store go silent, then the gateway ends that reads for the others. */
  private async silenceAllAndReplaceCoordinator(addresses: string[]): Promise<void> {
    this.silence(addresses.map((_, index) => index))
    const observer = this.gateways.find(started => started !== undefined)
    await wait(this.draw(1500))
    const coordinator = observer?.gateway.members.coordinator.name
    await this.replace(this.gateways.findIndex(started => started?.gateway.members.self.name === coordinator), addresses, COORDINATOR_AWAY_MS)
  }

  private async disconnect(gateway: number): Promise<void> {
    const disruption = this.disruptions.begin(gateway)
    this.proxies[gateway].isPartitioned = true
    this.proxies[gateway].stallOpenConnections()
    await wait(300 + this.draw(3000))
    this.proxies[gateway].isPartitioned = false
    disruption.to = performance.now()
  }

  private async replace(index: number, addresses: string[], awayMs = this.draw(500)): Promise<void> {
    const ending = this.gateways[index]
    if (!ending)
      return
    const disruption = this.disruptions.begin(index)
    this.gateways[index] = undefined
    await ending.gateway.close()
    await wait(awayMs)
    await this.start(index, addresses)
    disruption.to = performance.now()
  }

  private async start(index: number, addresses: string[]): Promise<void> {
    this.gateways[index] = await startGateway(`gateway-${index}`, addresses[index])
  }

  private compareVersions(): void {
    const now = performance.now()
    const due = this.published.filter(({ at }) => at < now - CONFIGURATION_MS - TOLERANCE_MS).at(-1)
    for (const [index, started] of this.gateways.entries()) {
      const version = started?.gateway.configuration.version ?? 0
      if (started && version < (this.versions.get(started) ?? 0))
        this.late.add(`gateway ${index} went back to version ${version}`)
      if (started)
        this.versions.set(started, version)
      if (started && due && version < due.version && this.disruptions.wasConnected(index, now))
        this.late.add(`gateway ${index} had version ${version} after version ${due.version} was due`)
    }
  }
}

describe('changes of the configuration while gateways lose reads, are cut off from the store and end', () => {
  test.each(readSeeds(CI_SEEDS))('are in force at connected gateways in time, and never go back (seed %i)', async (seed) => {
    expect(await new ConfigurationRun(createDraw(seed)).play()).toEqual([])
  })
})
