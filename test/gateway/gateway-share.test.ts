import { countSharingGateways, shareOfConnections } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

describe('the share of a deployment-wide limit', () => {
  test.each([1, 3, 22])('reserves a share for one unlisted gateway in addition to %i listed ones', (listed) => {
    const limit = 100
    expect(shareOfConnections(limit, listed) * (listed + 1)).toBeLessThanOrEqual(limit)
    expect(countSharingGateways(listed)).toBe(listed + 1)
  })

  test('is a whole number of connections', () => {
    expect(shareOfConnections(10, 2)).toBe(3)
  })
})
