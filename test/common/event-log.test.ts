import { EventLog } from '@eidermast/common'
import { describe, expect, test } from 'vitest'

describe('event log', () => {
  test('limits the rate of each event and logs how many lines were dropped', () => {
    const lines: string[] = []
    let now = 0
    const log = new EventLog({ write: line => lines.push(line) }, { process: 'p' }, 'eidermast:*', () => now)
    for (let index = 0; index < 1000; index++)
      log.write('route', { index })
    log.write('stop')
    expect(lines).toHaveLength(201)
    now = 1500
    log.write('route')
    expect(JSON.parse(lines.at(-2)!)).toMatchObject({ event: 'log-rate-limited', limited: 'route', count: 800 })
  })

  test('writes only events whose namespace is enabled', () => {
    const lines: string[] = []
    const log = new EventLog({ write: line => lines.push(line) }, {}, 'eidermast:*,-eidermast:route')
    log.write('route')
    log.write('stop')
    expect(lines).toHaveLength(1)
  })
})
