import type { Gateway } from '@eidermast/gateway'
import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { startGateway } from './support/in-process-gateway.js'
import { StandInStore } from './support/stand-in-store.js'

const PAGE = readFileSync(path.resolve('docs/OPERATIONS.md'), 'utf8')
const GATEWAY_SECTION = PAGE.slice(PAGE.indexOf('## Gateways on the users\' platform'))
const SOURCE_FOLDERS = ['packages/gateway/src', 'platform/src']

/** Backticked names in the first column of the tables. */
function tableNames(section: string): string[] {
  return section.split('\n').filter(line => line.startsWith('| `')).flatMap(line => [...line.split('|')[1].matchAll(/`([^`]+)`/g)].map(match => match[1]))
}

/** Names of the log events that the sources write. */
function writtenEvents(): Set<string> {
  const files = SOURCE_FOLDERS.flatMap(folder => readdirSync(folder, { recursive: true }).map(name => path.join(folder, String(name))).filter(name => name.endsWith('.ts')))
  const calls = files.flatMap(file => [...readFileSync(file, 'utf8').matchAll(/log\.write\(([^,)]+)/g)].map(match => match[1]))
  return new Set(calls.flatMap(argument => [...argument.matchAll(/'([a-z-]+)'/g)].map(match => match[1])))
}

describe('the operations page', () => {
  let gateway: Gateway
  let store: StandInStore

  beforeAll(async () => {
    store = new StandInStore()
    gateway = (await startGateway('gateway-a', await store.start())).gateway
  })
  afterAll(async () => {
    await gateway.close()
    await store.stop()
  })

  test('lists exactly the metrics that the gateway serves', async () => {
    const text = await gateway.metrics.registry.metrics()
    const served = [...text.matchAll(/^# HELP (\S+)/gm)].map(match => match[1])
    const reported = tableNames(GATEWAY_SECTION).filter(name => name.startsWith('eidermast_'))
    expect(reported.sort()).toEqual(served.sort())
  })

  test('lists every log event', () => {
    const events = [...writtenEvents()]
    expect(events.length).toBeGreaterThan(20)
    expect(events.filter(event => !GATEWAY_SECTION.includes(`\`${event}\``))).toEqual([])
  })
})
