import { NoEjection, OutlierEjection } from '@eidermast/common'
import { describe, expect, test } from 'vitest'

describe('ejecting bad backend servers', () => {
  let clock = 0
  const pool = ['a', 'b', 'c'].map(backendName => ({ backendName, outstanding: 0 }))
  const names = (kept: { backendName: string }[]): string[] => kept.map(subject => subject.backendName)

  test('ejects after failures in a row, and lets one call probe after a while', () => {
    const ejection = new OutlierEjection(() => clock)
    for (let index = 0; index < 3; index++)
      ejection.recordFailure('b')
    expect(names(ejection.filter(pool))).toEqual(['a', 'c'])
    clock += 1001
    expect(names(ejection.filter(pool))).toEqual(['a', 'b', 'c'])
    expect(names(ejection.filter(pool.map(subject => ({ ...subject, outstanding: 1 }))))).toEqual(['a', 'c'])
    ejection.recordSuccess('b', 'pool', 10)
    expect(names(ejection.filter(pool.map(subject => ({ ...subject, outstanding: 1 }))))).toEqual(['a', 'b', 'c'])
  })

  test('ejects a backend server that fails half of its calls', () => {
    const ejection = new OutlierEjection(() => clock)
    for (let index = 0; index < 12; index++) {
      ejection.recordFailure('b')
      ejection.recordSuccess('b', 'pool', 10)
    }
    expect(names(ejection.filter(pool))).toEqual(['a', 'c'])
  })

  test('ejects a backend server ten times as slow as its pool', () => {
    const ejection = new OutlierEjection(() => clock)
    for (let index = 0; index < 10; index++) {
      for (const name of ['a', 'c'])
        ejection.recordSuccess(name, 'pool', 10)
      ejection.recordSuccess('b', 'pool', 100)
    }
    expect(names(ejection.filter(pool))).toEqual(['a', 'c'])
  })

  test('counts calls that were abandoned after far too long, and no others', () => {
    const ejection = new OutlierEjection(() => clock)
    for (let index = 0; index < 5; index++)
      ejection.recordSuccess('a', 'pool', 10)
    for (let index = 0; index < 3; index++) {
      ejection.recordAbandoned('b', 'pool', 500)
      ejection.recordAbandoned('c', 'pool', 30)
    }
    expect(names(ejection.filter(pool))).toEqual(['a', 'c'])
  })

  test('never ejects more than a third of a pool, and nobody in the baseline', () => {
    const ejection = new OutlierEjection(() => clock)
    const baseline = new NoEjection()
    for (const { backendName } of [...pool, ...pool, ...pool]) {
      ejection.recordFailure(backendName)
      baseline.recordFailure()
    }
    expect(ejection.filter(pool)).toHaveLength(2)
    expect(baseline.filter(pool)).toHaveLength(3)
  })
})
