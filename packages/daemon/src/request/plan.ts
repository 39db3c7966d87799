/**
 * Decides how a request is run: its stages with the model versions and adapters of
 * the client account, its deadline and priority, and whether it runs at most once.
 *
 * Inputs: the template of the pipeline, or the plain service; the client account;
 * the options set by the caller. Template and account are taken from the
 * configuration that is active when the request arrives. The plan does not change
 * afterwards, so that a configuration change does not affect running requests.
 *
 * The account's version and adapter take precedence over the template's. The
 * caller's deadline takes precedence over the account's, which takes precedence
 * over the template's. A request is unrepeatable if the caller, the template or the
 * account marks it so, or if it is a service call with a non-idempotent HTTP method.
 *
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
  /** In an operator-defined unit. */
  costPerCall: number
  costPerMillisecond: number
  maxTokens: number
  /** Set for plain services. */
  serviceRequest?: ServiceRequest
}

/** Execution plan of a request. */
export interface RequestPlan {
  /** Name of the pipeline or plain service. */
  target: string
  stages: PlannedStage[]
  /** Milliseconds from arrival. */
  deadlineMs: number
  priority: Priority
  /** Whether the request runs at most once. */
  unrepeatable: boolean
}

/** Options of a request set by the caller. */
export interface PlanOptions {
  /** Milliseconds from arrival, if the caller set a deadline. */
  deadlineMs?: number
  unrepeatable: boolean
}

/** Name of the only stage of a plain service in logs, metrics and stage identities. */
const SERVICE_STAGE = 'call'
/** Default deadline for plain services: long enough for slow ones, short enough for callers of a dead one. */
const DEFAULT_SERVICE_DEADLINE_MS = 1000

/** Idempotent methods (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

/** Plans a pipeline request. */
export function planPipeline(name: string, template: Template, account: Account, request: PlanOptions): RequestPlan {
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

/** Plans a plain service call: a single stage with high priority, so that it never queues behind model work. */
export function planService(name: string, serviceRequest: ServiceRequest, account: Account, request: PlanOptions): RequestPlan {
  const stage: PlannedStage = { name: SERVICE_STAGE, service: name, costPerCall: 0, costPerMillisecond: 0, maxTokens: 1, serviceRequest }
  return {
    target: name,
    stages: [stage],
    deadlineMs: request.deadlineMs ?? DEFAULT_SERVICE_DEADLINE_MS,
    priority: Priority.High,
    unrepeatable: request.unrepeatable || account.unrepeatable.includes(name) || !IDEMPOTENT_METHODS.has(serviceRequest.method),
  }
}
