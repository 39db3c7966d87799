import { afterEach, beforeAll, describe, expect, test, vi } from 'vitest'
import { VersionedDeployment } from './support/versioned-deployment.js'

const GATEWAYS = 3
/** Levels of arrays, which overflow the stack of a recursive reader. */
const DEEP = 100_000
const NESTED = '['.repeat(DEEP) + ']'.repeat(DEEP)
const ENTRY: Record<string, string> = { Service: '"model"', Address: '"127.0.0.1:9"', Zone: '"zone-a"', Version: '"v1"', Capacity: '4', State: '"ready"', ColdRemainingMs: '0', born: '1700000000000' }
const NUMBERS = ['1e999', '-1e999', '1e308', '-1e308', '9007199254740993', '4294967296000', '-1', '-0', '0.5', '5e-324']
const ADDRESSES = ['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:-1', '999.1.1.1:80', '....:80', '1:80', '127.0.0.1', '[::1]:80']
const TEXTS = ['"__proto__"', '""', '"\\ud800"', '"\\u0000"']

/** Entries of backend servers as JSON, some of which are valid but odd. */
const ODD_ENTRIES: readonly string[] = [
  NESTED,
  '['.repeat(DEEP),
  ...[...Object.keys(ENTRY), 'Unknown'].map(field => encodeWith(field, NESTED)),
  ...['Capacity', 'ColdRemainingMs', 'born', 'Sequence'].flatMap(field => NUMBERS.map(number => encodeWith(field, number))),
  ...ADDRESSES.map(address => encodeWith('Address', JSON.stringify(address))),
  ...['Service', 'Zone', 'Version'].flatMap(field => TEXTS.map(text => encodeWith(field, text))),
]
/** Values that another writer may leave in the topics of the gateways. */
const ODD_VALUES = ['x', NESTED, '127.0.0.1:99999 zone-a 0.5', '999.1.1.1:80 zone-a 1e999', 'null', '[1e999]']

let deployment: VersionedDeployment

beforeAll(async () => {
  await import('../../platform/build.mjs' as string)
}, 60_000)
afterEach(() => deployment.stop())

function encodeWith(field: string, value: string): string {
  return `{${Object.entries({ ...ENTRY, [field]: value }).map(([name, text]) => `"${name}":${text}`).join(',')}}`
}

/** Lists one more backend server, and waits until all gateways know it. */
async function expectFollowed(): Promise<void> {
  const [added] = await deployment.addBackends('v1', 1)
  await vi.waitFor(() => {
    expect(deployment.gateways.filter(gateway => !gateway.readLog().includes(added.id))).toEqual([])
  }, { timeout: 10_000, interval: 50 })
  expect(await Promise.all(deployment.gateways.map(gateway => gateway.isReady()))).not.toContain(false)
}

// Guards against processes that end, or stop following a list, because of one entry that another writer left in it.
describe.each<[string, () => void]>([
  ['odd entries among those of the backend servers', () => ODD_ENTRIES.forEach((entry, number) => deployment.store.put('keyed.servers', `odd-${number}`, entry))],
  ['odd entries among those of the gateways', () => ODD_VALUES.forEach((value, number) => deployment.store.put('keyed.eidermast-gateways', `odd-${number}`, value))],
  ['odd records of versions and crashes', () => {
    ODD_VALUES.forEach((value, number) => deployment.store.put('keyed.eidermast-crashes', `odd-${number}`, value))
    ODD_VALUES.forEach(value => deployment.store.put('keyed.eidermast-versions', 'model', value))
  }],
])('%s', (_name, leave) => {
  test('leave all gateways running and following the list, also if they start with them', async () => {
    deployment = new VersionedDeployment(GATEWAYS)
    await deployment.start({ v1: 2 })
    leave()
    await expectFollowed()
    expect(deployment.gateways.map(gateway => gateway.isRunning)).not.toContain(false)
    await deployment.killAndRestart([0, 1, 2])
    await vi.waitFor(async () => expect(await Promise.all(deployment.gateways.map(gateway => gateway.isReady()))).not.toContain(false), { timeout: 10_000, interval: 50 })
    await expectFollowed()
    expect(deployment.gateways.map(gateway => gateway.isRunning)).not.toContain(false)
  }, 60_000)
})
