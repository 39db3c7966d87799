/**
 * Slopes of one process: memory and time by accounts, backend servers, claims
 * and links.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { accountSchema, backendSchema, ClaimRecordKind, ClaimRegistry, Configuration, HttpLogClient, Membership, NO_OFFSET, ObjectKind, RecordKind, SideLink, VirtualMachineList } from '@eidermast/daemon'
import { v7 as uuidv7 } from 'uuid'
import { delay } from './http-service.js'
import { LogService } from './log-service.js'

/** One measured figure. */
export interface Slope {
  subject: string
  size: string
  figure: string
}

const KEY = 'a key of the slopes alone'
const ACCOUNT_COUNTS = [100, 1000, 10_000, 34_000]
const CLAIM_COUNTS = [10_000, 100_000]
const LINK_COUNTS = [10, 50, 100, 200, 300]
const BACKEND_COUNTS = [60, 600]
const LINK_SECONDS = 8
const HEARTBEAT_INTERVAL_MS = 500
const CLAIM_BURST = 5000
const MICROSECONDS_PER_MILLISECOND = 1000
const BYTES_PER_MEGABYTE = 1_000_000

function collectedHeap(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function timeOf(work: () => void): number {
  const startedAt = performance.now()
  work()
  return performance.now() - startedAt
}

function createChange(kind: ObjectKind, name: string, value: unknown, base = NO_OFFSET) {
  return { record: RecordKind.Change, id: uuidv7(), kind, name, base, value, author: 'slopes' }
}

/** Accounts of the configuration: memory, folding, checkpoint and difference. */
export async function measureConfiguration(): Promise<Slope[]> {
  return ACCOUNT_COUNTS.flatMap((count) => {
    const value = accountSchema.parse({ share: 2, deadlineMs: 900, versions: { 'transit-writer': 'v1' } })
    const before = collectedHeap()
    const configuration = new Configuration()
    const foldMs = timeOf(() => {
      for (let index = 0; index < count; index++)
        configuration.fold(index, createChange(ObjectKind.Account, `account-${index}`, value))
    })
    const heap = collectedHeap() - before
    let checkpoint = ''
    const checkpointMs = timeOf(() => (checkpoint = JSON.stringify(configuration.checkpoint())))
    const differenceMs = timeOf(() => configuration.differenceSince(count - 2, Object.values(ObjectKind)))
    const size = `${count} accounts`
    return [
      { subject: 'heap of the configuration', size, figure: `${(heap / BYTES_PER_MEGABYTE).toFixed(2)} MB, ${(heap / count).toFixed(0)} bytes an account` },
      { subject: 'folding', size, figure: `${(foldMs * MICROSECONDS_PER_MILLISECOND / count).toFixed(1)} µs a record` },
      { subject: 'checkpoint', size, figure: `${(checkpoint.length / BYTES_PER_MEGABYTE).toFixed(2)} MB of JSON, made in ${checkpointMs.toFixed(1)} ms` },
      { subject: 'difference of one object', size, figure: `${differenceMs.toFixed(2)} ms` },
    ]
  })
}

/** Backend servers of an entry's membership: time to bring links in line after a change. */
export async function measurePlacementUpdate(): Promise<Slope[]> {
  return BACKEND_COUNTS.map((count) => {
    const configuration = new Configuration()
    for (let index = 0; index < count; index++)
      configuration.fold(index, createChange(ObjectKind.Backend, `backend-${index}`, backendSchema.parse({ order: 'in', service: `service-${index % 20}`, virtualMachine: `vm-${index}`, address: '127.0.0.1:9', failureDomain: 'a' })))
    const machines = new VirtualMachineList({ read: async () => undefined }, 1000)
    const membership = new Membership(configuration, machines, { entryName: 'entry', entryIncarnation: uuidv7(), key: KEY, heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, watchLimit: 8, isFresh: () => true })
    membership.update()
    const updateMs = timeOf(() => membership.update())
    const watched = membership.list().length
    membership.close()
    return { subject: 'membership after a change', size: `${count} backend servers, ${watched} watched`, figure: `${updateMs.toFixed(2)} ms` }
  })
}

/** Claims: memory, time to apply, and claims a second through a log of 100 appends a second. */
export async function measureClaims(): Promise<Slope[]> {
  const slopes = CLAIM_COUNTS.flatMap((count) => {
    const client = new HttpLogClient({ url: 'http://127.0.0.1:9' })
    const before = collectedHeap()
    const registry = createRegistry(client)
    const applyMs = timeOf(() => {
      for (let offset = 0; offset < count; offset++)
        registry.apply({ records: [{ offset, time: 0, value: { record: ClaimRecordKind.Claim, claimId: uuidv7(), account: 'medidores-sur', requestId: uuidv7(), incarnation: INCARNATION, address: ADDRESS } }], firstOffset: 0, nextOffset: count })
    })
    const heap = collectedHeap() - before
    const size = `${registry.size} claims`
    return [
      { subject: 'heap of claims', size, figure: `${(heap / BYTES_PER_MEGABYTE).toFixed(1)} MB, ${(heap / count).toFixed(0)} bytes a claim` },
      { subject: 'applying a claim', size, figure: `${(applyMs * MICROSECONDS_PER_MILLISECOND / count).toFixed(1)} µs` },
    ]
  })
  return [...slopes, await measureClaimRate()]
}

const INCARNATION = uuidv7()
const ADDRESS = '127.0.0.1:9'

function createRegistry(client: HttpLogClient): ClaimRegistry {
  return new ClaimRegistry(client, { incarnation: INCARNATION, address: ADDRESS, batchMs: 10, memoryMs: 600_000, doubtMs: 5000 })
}

async function measureClaimRate(): Promise<Slope> {
  const log = await new LogService().start()
  const client = new HttpLogClient({ url: log.url, timeoutMs: 5000 })
  const registry = createRegistry(client)
  const stop = new AbortController()
  void registry.run(stop.signal)
  const startedAt = performance.now()
  const waves = 10
  for (let wave = 0; wave < waves; wave++)
    await Promise.all(Array.from({ length: CLAIM_BURST / waves }, () => registry.claim('medidores-sur', uuidv7()).result))
  const seconds = (performance.now() - startedAt) / 1000
  stop.abort()
  const { appends } = await (await fetch(`${log.url}/statistics`)).json() as { appends: number }
  await client.close()
  await log.close()
  return { subject: 'claims through the log', size: `${CLAIM_BURST} claims, 500 at once, one entry`, figure: `${(CLAIM_BURST / seconds).toFixed(0)} claims a second with ${(appends / seconds).toFixed(1)} appends a second` }
}

/** Links of an entry that only carry heartbeats: processor time and memory for each side watched. */
export async function measureLinks(): Promise<Slope[]> {
  const slopes: Slope[] = []
  for (const count of LINK_COUNTS)
    slopes.push(await measureLinkCount(count))
  return slopes
}

async function measureLinkCount(count: number): Promise<Slope> {
  const program = fileURLToPath(new URL('./simulated-sides.js', import.meta.url))
  const child = spawn(process.execPath, [program, String(count)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [line] = await once(createInterface({ input: child.stdout }), 'line') as [string]
  const configuration = new Configuration()
  const before = collectedHeap()
  const links = (JSON.parse(line) as string[]).map((address, index) => new SideLink({
    backendName: `side-${index}`,
    address,
    key: KEY,
    entryName: 'entry-1',
    entryIncarnation: INCARNATION,
    configuration,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    isFresh: () => true,
    onChange: () => {},
  }))
  links.forEach(link => void link.run())
  while (links.some(link => !link.ready))
    await delay(20)
  const heap = collectedHeap() - before
  const cpuBefore = process.cpuUsage()
  await delay(LINK_SECONDS * 1000)
  const cpu = process.cpuUsage(cpuBefore)
  links.forEach(link => link.close())
  process.kill(child.pid!, 'SIGKILL')
  const corePercent = (cpu.user + cpu.system) / (LINK_SECONDS * 10_000)
  return { subject: 'links that carry heartbeats twice a second', size: `${count} sides`, figure: `${corePercent.toFixed(2)}% of a core, ${(heap / 1000 / count).toFixed(1)} kB of heap a side` }
}
