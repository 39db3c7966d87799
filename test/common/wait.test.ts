import type { JoinedSignal } from '@eidermast/common'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createTimeoutSignal, joinSignals, NEVER_ABORTED, TIMEOUT_ERROR, wait } from '@eidermast/common'
import { beforeAll, describe, expect, test, vi } from 'vitest'

const TIMEOUT_MS = 60

let collectGarbage: () => void

beforeAll(() => {
  setFlagsFromString('--expose-gc')
  collectGarbage = runInNewContext('gc') as () => void
})

/** Resolves with whether the signal is aborted within a second, with garbage collected meanwhile. */
async function isAbortedDespiteCollection(create: () => JoinedSignal): Promise<boolean> {
  const onAbort = vi.fn()
  create().signal.addEventListener('abort', onAbort)
  for (let passed = 0; passed < 1000 && onAbort.mock.calls.length === 0; passed += 20) {
    collectGarbage()
    await wait(20)
  }
  return onAbort.mock.calls.length > 0
}

describe('a signal that depends on others', () => {
  test.each([
    ['a timeout', () => createTimeoutSignal(TIMEOUT_MS)],
    ['a timeout beside a signal that is never aborted', () => createTimeoutSignal(TIMEOUT_MS, NEVER_ABORTED)],
    ['a timeout that was joined with another signal', () => joinSignals(createTimeoutSignal(TIMEOUT_MS).signal, NEVER_ABORTED)],
    ['a parent that is aborted', () => createTimeoutSignal(60_000, AbortSignal.timeout(TIMEOUT_MS))],
  ])('is aborted by %s, also after a garbage collection', async (_name, create) => {
    expect(await isAbortedDespiteCollection(create)).toBe(true)
  })

  test('has the reason of the parent that was aborted first', () => {
    const [first, second] = [new AbortController(), new AbortController()]
    const { signal } = joinSignals(first.signal, second.signal)
    first.abort('first')
    second.abort('second')
    expect(signal.reason).toBe('first')
  })

  test('is aborted at once if a parent is aborted already', () => {
    expect(joinSignals(NEVER_ABORTED, AbortSignal.abort('before')).signal.reason).toBe('before')
  })

  test('says that it timed out', async () => {
    const { signal } = createTimeoutSignal(1, NEVER_ABORTED)
    await wait(20)
    expect(signal.reason).toMatchObject({ name: TIMEOUT_ERROR })
  })

  test('is not aborted after it was disposed of', async () => {
    const parent = new AbortController()
    const { signal, dispose } = createTimeoutSignal(10, parent.signal)
    dispose()
    parent.abort()
    await wait(30)
    expect(signal.aborted).toBe(false)
  })
})
