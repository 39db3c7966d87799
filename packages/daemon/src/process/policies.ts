/**
 * Creates the policies that the settings select. The simple ones (all, random,
 * round-robin, whole, fifo, fixed, none) are baselines: an operator can switch
 * to them in the settings for comparison.
 */
import type { EjectionPolicy } from '@eidermast/common'
import type { AdmissionPolicy } from '../request/admission.js'
import type { StageQueue } from '../request/side/stage-queue.js'
import type { ChoicePolicy } from '../request/stages/choice.js'
import type { RetryPolicy } from '../request/stages/retry.js'
import type { StageBudgetPolicy } from '../request/stages/stage-budget.js'
import type { SideSettings } from './settings.js'
import { NoEjection, OutlierEjection } from '@eidermast/common'
import { AdmitAll, DeadlineAdmission } from '../request/admission.js'
import { DeadlineQueue, FifoQueue } from '../request/side/stage-queue.js'
import { PredictedChoice, RandomChoice, RoundRobinChoice } from '../request/stages/choice.js'
import { BudgetRetry, FixedRetry } from '../request/stages/retry.js'
import { ReservedBudget, WholeBudget } from '../request/stages/stage-budget.js'
import { AdmissionName, ChoiceName, EjectionName, QueueName, RetryName, StageBudgetName } from './settings.js'

/** Creates the policy by which an entry admits requests. */
export function createAdmission(name: AdmissionName): AdmissionPolicy {
  return name === AdmissionName.All ? new AdmitAll() : new DeadlineAdmission()
}

/** Creates the policy by which an entry selects a backend server for a stage call. */
export function createChoice(name: ChoiceName): ChoicePolicy {
  switch (name) {
    case ChoiceName.Random:
      return new RandomChoice()
    case ChoiceName.RoundRobin:
      return new RoundRobinChoice()
    case ChoiceName.Predicted:
      return new PredictedChoice()
  }
}

/** Creates the policy by which an entry ejects failing or slow backend servers. */
export function createEjection(name: EjectionName): EjectionPolicy {
  return name === EjectionName.None ? new NoEjection() : new OutlierEjection()
}

/** Creates the policy by which an entry limits retries. */
export function createRetry(name: RetryName): RetryPolicy {
  return name === RetryName.Fixed ? new FixedRetry() : new BudgetRetry()
}

/** Creates the policy by which an entry divides a deadline among the stages of a request. */
export function createStageBudget(name: StageBudgetName): StageBudgetPolicy {
  return name === StageBudgetName.Whole ? new WholeBudget() : new ReservedBudget()
}

/** Creates the queue that orders the waiting calls of a side. */
export function createQueue(settings: SideSettings): StageQueue {
  if (settings.queue === QueueName.Fifo)
    return new FifoQueue()
  return new DeadlineQueue({ limit: settings['queue-limit'], bytes: settings['queue-bytes'] })
}
