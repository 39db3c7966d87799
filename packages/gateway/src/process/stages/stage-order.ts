/**
 * Order in which waiting stage tasks are begun.
 */
import type { StageTask } from '../../request/stages/stage-task.js'

/** What a request's place in the order is made from. */
export interface RankSubject {
  /** 0 is the most urgent. */
  priority: number
  /** The client was told to come back, and did. */
  isRetry: boolean
  /** When the answer becomes late, on the process clock in milliseconds. */
  targetAt: number
}

/** A way to order requests: the least rank goes first. */
export interface StageOrder {
  rank: (subject: RankSubject) => number
}

/** The baseline: in the order of their targets. */
export class TargetFirstOrder implements StageOrder {
  rank(subject: RankSubject): number {
    return subject.targetAt
  }
}

/** One level of priority goes before targets that lie this much earlier, in milliseconds. */
const PRIORITY_STEP_MS = 300

/**
 * Targets, shifted by priority. A burst of urgent requests delays the others
 * by a bounded time, and whoever came back goes before its own kind.
 */
export class ShiftedTargetOrder implements StageOrder {
  rank(subject: RankSubject): number {
    const level = subject.priority - (subject.isRetry ? 1 : 0)
    return subject.targetAt + level * PRIORITY_STEP_MS
  }
}

/** Sorts tasks by rank. */
export function compareTasks(left: StageTask, right: StageTask): number {
  return left.rank - right.rank
}
