import { createAdapter } from '@eidermast/platform'
import { describe, expect, test } from 'vitest'
import { createLog } from '../gateway/support/fakes.js'

const STORE = { store: '127.0.0.1:1' }

describe('the platform section of the settings', () => {
  test('has defaults for values that are empty', () => {
    const adapter = createAdapter({ ...STORE, 'evacuation-ms': '', 'cold-overshoot': '', 'cold-slack': '' }, createLog().log)
    expect(adapter.unwrap().coldAllowance).toEqual({ overshoot: 1, slack: 0 })
  })

  test('contains the allowance for cold backend servers', () => {
    const adapter = createAdapter({ ...STORE, 'cold-overshoot': '1.5', 'cold-slack': '5' }, createLog().log)
    expect(adapter.unwrap().coldAllowance).toEqual({ overshoot: 1.5, slack: 5 })
  })

  test.each([
    ['evacuation-ms', '5 s', 'a number of milliseconds'],
    ['evacuation-ms', '-1', 'a number of milliseconds'],
    ['cold-overshoot', 'much', 'a number of 0 or more'],
    ['cold-slack', '-5', 'a number of 0 or more'],
  ])('is rejected with the name of %s if its value is %j', (key, value, allowed) => {
    const adapter = createAdapter({ ...STORE, [key]: value }, createLog().log)
    expect(adapter.unwrapErr()).toBe(`[platform] ${key}: allowed is ${allowed}`)
  })
})
