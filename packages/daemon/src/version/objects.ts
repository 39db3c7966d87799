/**
 * Objects published by operators: pipeline templates, client accounts and backend
 * servers. The schemas define the values allowed for each field.
 */
import * as z from 'zod'

/** In characters; longer than any real name. */
const MAX_NAME_LENGTH = 100

/** Equal to the default retention of claims. */
export const MAX_DEADLINE_MS = 600_000

const nameSchema = z.string().regex(/^[a-z0-9][\w.-]*$/i, 'letters, digits, dots, underscores and hyphens').max(MAX_NAME_LENGTH)
const deadlineSchema = z.int().min(1).max(MAX_DEADLINE_MS)

/** Kinds of objects that a log record can describe. */
export enum ObjectKind {
  Template = 'template',
  Account = 'account',
  Backend = 'backend',
}

/** Kinds of objects that sides store; entries store all kinds. */
export const SIDE_OBJECT_KINDS = [ObjectKind.Template, ObjectKind.Backend] as const

/** Scheduling priority of queued work; high is served first. */
export enum Priority {
  High = 'high',
  Normal = 'normal',
  Low = 'low',
}

/** Operator's order to a backend server: whether it should accept work. */
export enum BackendOrder {
  In = 'in',
  Out = 'out',
}

/** Role of a backend server. */
export enum BackendRole {
  /** Runs stages of pipelines. */
  Stage = 'stage',
  /** A plain service that callers address by path. */
  Plain = 'plain',
}

/** One stage of a pipeline template. */
export const stageTemplateSchema = z.strictObject({
  name: nameSchema,
  /** The service whose backend servers run the stage. */
  service: nameSchema,
  model: nameSchema.optional(),
  version: nameSchema.optional(),
  adapter: nameSchema.optional(),
  /** Cost of one call, in a unit chosen by the operators. */
  costPerCall: z.number().min(0).default(0),
  /** Cost of one millisecond of service time, in the same unit. */
  costPerMillisecond: z.number().min(0).default(0),
  maxTokens: z.int().min(1).max(100_000).default(32),
})

/** A pipeline template. */
export const templateSchema = z.strictObject({
  stages: z.array(stageTemplateSchema).min(1).max(12),
  /** Time from arrival; a client account or a request can override it. */
  deadlineMs: deadlineSchema,
  priority: z.enum(Priority).default(Priority.Normal),
  /** Whether requests to this pipeline run at most once. */
  unrepeatable: z.boolean().default(false),
}).refine(hasUniqueStages, { path: ['stages'], message: 'stage names must be unique' })

function hasUniqueStages(template: { stages: StageTemplate[] }): boolean {
  return new Set(template.stages.map(stage => stage.name)).size === template.stages.length
}

/** A client account. */
export const accountSchema = z.strictObject({
  deadlineMs: deadlineSchema.optional(),
  priority: z.enum(Priority).optional(),
  /** Weight of the account in the distribution of scarce capacity. */
  share: z.number().positive().max(1000).default(1),
  /** Model versions by model name, which override the template. */
  versions: z.record(nameSchema, nameSchema).default({}),
  /** Adapters by model name, which override the template. */
  adapters: z.record(nameSchema, nameSchema).default({}),
  /** Pipelines and plain services whose calls must run at most once. */
  unrepeatable: z.array(nameSchema).default([]),
  /** Lower-case hexadecimal SHA-256 hashes of accepted bearer tokens. If empty, no token is required. */
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'a lower-case hexadecimal SHA-256')).default([]),
})

/** A backend server and the address of its side process. */
export const backendSchema = z.strictObject({
  order: z.enum(BackendOrder),
  role: z.enum(BackendRole).default(BackendRole.Stage),
  service: nameSchema,
  virtualMachine: nameSchema,
  /** Address of the side process, as `host:port`. */
  address: z.string().regex(/^[^\s:]+:\d+$/, 'host:port'),
  failureDomain: nameSchema,
  /** Whether the backend server itself rejects orders with an outdated fencing token. */
  checksOrders: z.boolean().default(false),
  model: nameSchema.optional(),
  version: nameSchema.optional(),
  adapters: z.array(nameSchema).default([]),
})

export type StageTemplate = z.infer<typeof stageTemplateSchema>
export type Template = z.infer<typeof templateSchema>
export type Account = z.infer<typeof accountSchema>
export type Backend = z.infer<typeof backendSchema>

/** Value type of each object kind. */
export interface ObjectValues {
  [ObjectKind.Template]: Template
  [ObjectKind.Account]: Account
  [ObjectKind.Backend]: Backend
}

/** Schema of each object kind. */
export const objectSchemas: { [Kind in ObjectKind]: z.ZodType<ObjectValues[Kind]> } = {
  [ObjectKind.Template]: templateSchema,
  [ObjectKind.Account]: accountSchema,
  [ObjectKind.Backend]: backendSchema,
}
