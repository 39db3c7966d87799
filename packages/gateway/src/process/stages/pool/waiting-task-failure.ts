/**
 * Decides which waiting tasks fail before any of their waiting items is sent.
 *
 * Inputs: deadline and inputs of the task; fixed time of a call (ms, configured);
 * which results can be read (accounted for in this process, current).
 * Rule: a task fails as late if a call could not end before its deadline, and as
 * without inputs if one of them can no longer be read. With the setting
 * `stage-sharing = fair`, it also fails as late if the tasks ahead of it, its own
 * call and what follows it end after its deadline, even if all backoffs end now.
 * Why: such a call takes its whole fixed time and produces nothing; without the
 * check, 804 items were sent without inputs in one run.
 * Log event: `stages-ended` (outcome `too-late`); a lost input shows as
 * further `stage-call` lines of the request.
 */
import type { StageTask } from '../../../request/stages/stage-task.js'
import type { ServiceThroughput } from '../stage-admission.js'
import type { PoolTask } from './pool-task.js'
import { estimateCallEnd } from '../stage-admission.js'

/** Whether a call that starts now could not end before the deadline. */
export function cannotMeetDeadline(task: StageTask, callMs: number, now: number): boolean {
  return now + callMs > task.deadlineAt
}

/** Whether an input can no longer be read. */
export function hasUnreadableInput(task: StageTask, now: number): boolean {
  return task.inputs.some(input => !input.holder.isReadable(input.handle, now))
}

/** The tasks that cannot end before their deadline behind those ahead of them; none while the service has no backend server, since one may return. */
export function findHopelessTasks(inOrder: readonly PoolTask[], throughput: ServiceThroughput, now: number): PoolTask[] {
  if (throughput.backends === 0)
    return []
  const hopeless: PoolTask[] = []
  let itemsAhead = 0
  for (const task of inOrder) {
    const { deadlineAt, remainingMs } = task.stageTask
    const endMs = estimateCallEnd(0, task.waiting.length, throughput, itemsAhead)
    if (now + endMs + remainingMs > deadlineAt)
      hopeless.push(task)
    else
      itemsAhead += task.waiting.length
  }
  return hopeless
}
