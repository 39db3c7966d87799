import type { PreparationStage } from '@eidermast/gateway'
import { decideStageDelay, StageGraph } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const CALL_MS = 400

function stage(items: number, dependsOn: number[] = []): PreparationStage {
  return { service: 'encode', dependsOn, resultBytes: 10, items }
}

/** The delay of the first stage; `left` is the time left of other stages' calls in milliseconds, by stage. */
function delayOfFirst(stages: PreparationStage[], left: Record<number, number> = {}): number {
  const callMs = (number: number): number => stages[number].items === 0 ? 0 : CALL_MS
  return decideStageDelay(0, new StageGraph(stages), { callMs, remainingMs: number => left[number] ?? callMs(number) })
}

describe('the delay of a stage', () => {
  test.each([
    ['is 0 if it is the only one', [stage(1)], {}, 0],
    ['is 0 if the others take no longer', [stage(1), stage(1)], {}, 0],
    ['is 0 if other stages read its results', [stage(1), stage(1, [0]), stage(1, [1]), stage(1, [2])], {}, 0],
    ['is 0 if it has no items', [stage(0), stage(1), stage(1, [1]), stage(1, [2])], {}, 0],
    ['makes it end before the last stage of a longer chain', [stage(1), stage(1), stage(1, [1]), stage(1, [2])], {}, 1200 - 640],
    ['accounts for the progress of a running chain', [stage(1), stage(1), stage(1, [1]), stage(1, [2])], { 1: 100 }, 900 - 640],
    ['is 0 once the chain is close to its end', [stage(1), stage(1), stage(1, [1]), stage(1, [2])], { 1: 0, 2: 200 }, 0],
  ])('%s', (_name, stages, left, delayMs) => {
    expect(delayOfFirst(stages, left)).toBe(delayMs)
  })
})
