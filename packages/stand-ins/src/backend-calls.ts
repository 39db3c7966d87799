/**
 * The calls that a side makes to its backend server, as the stand-in reads
 * them. They are spelled out here and not taken from the daemon, so that a
 * change of the daemon's own messages shows as a refused call.
 */
import { Priority } from '@eidermast/daemon'
import * as z from 'zod'

export const runSchema = z.object({
  requestId: z.string(),
  account: z.string(),
  stage: z.string(),
  input: z.string(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  priority: z.enum(Priority),
  maxTokens: z.int(),
  stream: z.boolean(),
})

/** A run of a stage that a side asks for. */
export type Run = z.infer<typeof runSchema>

export const orderSchema = z.object({
  /** Grows with each order; an engine that checks fences refuses an older one. */
  fence: z.int(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapters: z.array(z.string()),
})

/** An order to hold a model, its version and adapters. */
export type Order = z.infer<typeof orderSchema>
