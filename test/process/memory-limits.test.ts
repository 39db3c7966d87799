import { decideMemoryLimits } from '@eidermast/daemon'
import { expect, test } from 'vitest'

const MB = 1_000_000

test.each([
  ['parts of the heap', { sharedBytes: undefined, heldBodyBytes: undefined, maxBodyBytes: MB }, 800 * MB, { sharedBytes: 50 * MB, heldBodyBytes: 100 * MB }],
  ['as configured', { sharedBytes: 3 * MB, heldBodyBytes: 4 * MB, maxBodyBytes: MB }, 800 * MB, { sharedBytes: 3 * MB, heldBodyBytes: 4 * MB }],
  ['enough for single requests where the heap is small', { sharedBytes: undefined, heldBodyBytes: undefined, maxBodyBytes: 50 * MB }, 80 * MB, { sharedBytes: 8 * MB, heldBodyBytes: 100 * MB }],
])('limits of memory are %s', (_name, inputs, heapBytes, limits) => {
  expect(decideMemoryLimits(inputs, heapBytes)).toEqual(limits)
})
