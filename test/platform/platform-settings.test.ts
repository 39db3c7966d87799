import { readFileSync } from 'node:fs'
import { parseGatewaySettings } from '@eidermast/gateway'
import { createAdapter } from '@eidermast/platform'
import { describe, expect, test } from 'vitest'
import { createLog } from '../gateway/support/fakes.js'

const STORE = { store: '127.0.0.1:1' }

describe('the [platform] section of the settings', () => {
  test('has default values if the platform sets no limit', () => {
    const adapter = createAdapter({ ...STORE, 'evacuation-ms': '', 'cold-overshoot': '', 'cold-slack': '' }, createLog().log)
    expect(adapter.unwrap().coldAllowance).toEqual({ overshoot: 1, slack: 0 })
  })

  test('contains the limits on work for cold backend servers', () => {
    const adapter = createAdapter({ ...STORE, 'cold-overshoot': '1.5', 'cold-slack': '5' }, createLog().log)
    expect(adapter.unwrap().coldAllowance).toEqual({ overshoot: 1.5, slack: 5 })
  })

  test.each([
    ['evacuation-ms', '5 s', 'a number of milliseconds'],
    ['evacuation-ms', '-1', 'a number of milliseconds'],
    ['cold-overshoot', 'much', 'a number of 0 or more'],
    ['cold-slack', '-5', 'a number of 0 or more'],
  ])('reports %s with the invalid value %j', (key, value, allowed) => {
    const adapter = createAdapter({ ...STORE, [key]: value }, createLog().log)
    expect(adapter.unwrapErr()).toBe(`[platform] ${key}: allowed is ${allowed}`)
  })
})

test.each([
  ['250', '4100', 250_000_000, 4100],
  ['', '', undefined, undefined],
])('the template passes on the memory (%j MB) and the descriptors (%j) of the process', (memory, descriptors, memoryBytes, maxOpenFiles) => {
  const filled = readFileSync('platform/settings.ini', 'utf8')
    .replace('{{Limits.MaxOpenFiles}}', descriptors)
    .replace('{{Limits.MemoryMb}}', memory)
    .replaceAll(/\{\{Listen[^}]*\}\}/g, '127.0.0.1:1')
    .replaceAll(/\{\{Platform[^}]*\}\}/g, '127.0.0.1:1')
    .replaceAll(/\{\{[^}]*\}\}/g, '3')
  const settings = parseGatewaySettings(filled).unwrap()
  expect(settings.process.memoryBytes).toBe(memoryBytes)
  expect(settings.process.maxOpenFiles).toBe(maxOpenFiles)
  expect(settings.load.heldBytes).toBeUndefined()
  expect(createAdapter(settings.platform, createLog().log).isOk()).toBe(true)
})
