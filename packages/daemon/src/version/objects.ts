/**
 * The objects that operators publish: pipeline templates, client accounts and
 * backend servers. Each schema names what is allowed for every field.
 */
import * as z from 'zod'

/** Longest accepted object name, in characters. A bound that real names do not reach. */
const MAX_NAME_LENGTH = 100

/** Longest accepted deadline, in milliseconds. Claims are remembered for as long by default. */
export const MAX_DEADLINE_MS = 600_000

const nameSchema = z.string().regex(/^[a-z0-9][\w.-]*$/i, 'letters, digits, dots, underscores and hyphens').max(MAX_NAME_LENGTH)
const deadlineSchema = z.int().min(1).max(MAX_DEADLINE_MS)

/** What a record on the log can describe. */
export enum ObjectKind {
  Template = 'template',
  Account = 'account',
  Backend = 'backend',
}

/** The kinds of objects that sides hold; entries hold all. */
export const SIDE_OBJECT_KINDS = [ObjectKind.Template, ObjectKind.Backend] as const

/** The order in which waiting work is served; high goes first. */
export enum Priority {
  High = 'high',
  Normal = 'normal',
  Low = 'low',
}

/** Whether a backend server is ordered to take work. */
export enum BackendOrder {
  In = 'in',
  Out = 'out',
}

/** What a backend server does. */
export enum BackendRole {
  /** Runs stages of pipelines. */
  Stage = 'stage',
  /** A plain service that callers reach by path. */
  Plain = 'plain',
}

/** One stage of a pipeline template. */
export const stageTemplateSchema = z.strictObject({
  name: nameSchema,
  /** The pool of backend servers that runs the stage. */
  service: nameSchema,
  model: nameSchema.optional(),
  version: nameSchema.optional(),
  adapter: nameSchema.optional(),
  /** Cost of one call, in the operators' own unit. */
  costPerCall: z.number().min(0).default(0),
  /** Cost of one millisecond of service, in the operators' own unit. */
  costPerMillisecond: z.number().min(0).default(0),
  maxTokens: z.int().min(1).max(100_000).default(32),
})

/** A pipeline template. */
export const templateSchema = z.strictObject({
  stages: z.array(stageTemplateSchema).min(1).max(12),
  /** Milliseconds from arrival; a client account or a request may set its own. */
  deadlineMs: deadlineSchema,
  priority: z.enum(Priority).default(Priority.Normal),
  /** A pipeline whose requests run at most once. */
  unrepeatable: z.boolean().default(false),
}).refine(hasUniqueStages, { path: ['stages'], message: 'stage names must be unique' })

function hasUniqueStages(template: { stages: StageTemplate[] }): boolean {
  return new Set(template.stages.map(stage => stage.name)).size === template.stages.length
}

/** A client account and its parameters. */
export const accountSchema = z.strictObject({
  deadlineMs: deadlineSchema.optional(),
  priority: z.enum(Priority).optional(),
  /** Weight of the account when capacity is short. */
  share: z.number().positive().max(1000).default(1),
  /** Model versions by model name, in place of the template's. */
  versions: z.record(nameSchema, nameSchema).default({}),
  /** Adapters by model name, in place of the template's. */
  adapters: z.record(nameSchema, nameSchema).default({}),
  /** Pipelines and plain services whose calls may not be repeated. */
  unrepeatable: z.array(nameSchema).default([]),
  /** Lower-case hexadecimal SHA-256 of accepted bearer tokens; empty accepts callers without a token. */
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'a lower-case hexadecimal SHA-256')).default([]),
})

/** A backend server and the address of the side process beside it. */
export const backendSchema = z.strictObject({
  order: z.enum(BackendOrder),
  role: z.enum(BackendRole).default(BackendRole.Stage),
  service: nameSchema,
  virtualMachine: nameSchema,
  /** Address of the side process, as `host:port`. */
  address: z.string().regex(/^[^\s:]+:\d+$/, 'host:port'),
  failureDomain: nameSchema,
  /** Whether the backend server itself refuses orders with an old fence. */
  checksOrders: z.boolean().default(false),
  model: nameSchema.optional(),
  version: nameSchema.optional(),
  adapters: z.array(nameSchema).default([]),
})

export type StageTemplate = z.infer<typeof stageTemplateSchema>
export type Template = z.infer<typeof templateSchema>
export type Account = z.infer<typeof accountSchema>
export type Backend = z.infer<typeof backendSchema>

/** The value type of each object kind. */
export interface ObjectValues {
  [ObjectKind.Template]: Template
  [ObjectKind.Account]: Account
  [ObjectKind.Backend]: Backend
}

/** The schema of each object kind. */
export const objectSchemas: { [Kind in ObjectKind]: z.ZodType<ObjectValues[Kind]> } = {
  [ObjectKind.Template]: templateSchema,
  [ObjectKind.Account]: accountSchema,
  [ObjectKind.Backend]: backendSchema,
}
