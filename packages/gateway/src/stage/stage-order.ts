/**
 * Order in which waiting stage tasks are begun.
 */
import type { StageTask } from './stage-task.js'

/** A way to order tasks: less goes first. */
export interface StageOrder {
  compare: (left: StageTask, right: StageTask, now: number) => number
}

/** The baseline: in the order of their targets. */
export class TargetFirstOrder implements StageOrder {
  compare(left: StageTask, right: StageTask): number {
    return left.targetAt - right.targetAt
  }
}

/** Tasks that can still be in time go first, then the more urgent, then the earlier target. */
export class AttainableFirstOrder implements StageOrder {
  compare(left: StageTask, right: StageTask, now: number): number {
    return Number(isLate(left, now)) - Number(isLate(right, now))
      || left.priority - right.priority
      || left.targetAt - right.targetAt
  }
}

function isLate(task: StageTask, now: number): boolean {
  return now + task.remainingMs > task.targetAt
}
