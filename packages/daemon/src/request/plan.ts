/**
 * Decides what a request will do: its stages with the client account's versions
 * and adapters, its deadline and priority, and whether it runs at most once.
 *
 * Inputs: the pipeline's template or the plain service, the client account (both
 * of the configuration in force when the request came), what the caller asked.
 * Rule: the account's version and adapter go before the template's; the
 * caller's deadline before the account's before the template's. A request is
 * unrepeatable if the caller, the template or the account says so, or if it is a
 * service call whose HTTP method is not idempotent.
 * Why: the plan is fixed once, so that a change of the configuration never
 * changes a request that has begun.
 * Log event: `admit`, fields `target` and `deadlineMs`.
 */
import type { ServiceRequest } from '../connection/messages.js'
import type { Account, StageTemplate, Template } from '../version/objects.js'
import { Priority } from '../version/objects.js'

/** One stage of a planned request. */
export interface PlannedStage {
  name: string
  service: string
  model?: string
  version?: string
  adapter?: string
  /** In the operators' own unit. */
  costPerCall: number
  costPerMillisecond: number
  maxTokens: number
  /** Set for plain services. */
  serviceRequest?: ServiceRequest
}

/** What a request will do. */
export interface RequestPlan {
  /** Pipeline or plain service, for logs and metrics. */
  target: string
  stages: PlannedStage[]
  /** Milliseconds from arrival. */
  deadlineMs: number
  priority: Priority
  /** Whether the request runs at most once. */
  unrepeatable: boolean
}

/** What the caller asked for beside the body. */
export interface PlanRequest {
  /** Milliseconds, where the caller set a deadline. */
  deadlineMs?: number
  unrepeatable: boolean
}

/** Name of a plain service's one stage, in logs, metrics and stage identities. */
const SERVICE_STAGE = 'call'
/** Milliseconds, where a plain service's caller set none. Half fails slow services, twice holds callers of a dead one. */
const SERVICE_DEADLINE_MS = 1000

/** Idempotent methods (RFC 9110, section 9.2.2). */
const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

/** Plans a pipeline request. */
export function planPipeline(name: string, template: Template, account: Account, request: PlanRequest): RequestPlan {
  return {
    target: name,
    stages: template.stages.map(stage => planStage(stage, account)),
    deadlineMs: request.deadlineMs ?? account.deadlineMs ?? template.deadlineMs,
    priority: account.priority ?? template.priority,
    unrepeatable: request.unrepeatable || template.unrepeatable || account.unrepeatable.includes(name),
  }
}

function planStage(stage: StageTemplate, account: Account): PlannedStage {
  const { model } = stage
  if (model === undefined)
    return { ...stage }
  return {
    ...stage,
    version: account.versions[model] ?? stage.version,
    adapter: account.adapters[model] ?? stage.adapter,
  }
}

/** Plans a call of a plain service: one stage, at high priority, so that it never waits behind model work. */
export function planService(name: string, serviceRequest: ServiceRequest, account: Account, request: PlanRequest): RequestPlan {
  const stage: PlannedStage = { name: SERVICE_STAGE, service: name, costPerCall: 0, costPerMillisecond: 0, maxTokens: 1, serviceRequest }
  return {
    target: name,
    stages: [stage],
    deadlineMs: request.deadlineMs ?? SERVICE_DEADLINE_MS,
    priority: Priority.High,
    unrepeatable: request.unrepeatable || account.unrepeatable.includes(name) || !REPEATABLE_METHODS.has(serviceRequest.method),
  }
}
