/**
 * Schemas of the calls that a side makes to its backend server. They are defined
 * here and not imported from the daemon, so that an incompatible change of the
 * daemon's messages shows up as a rejected call.
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

/** A side's request to run a stage. */
export type Run = z.infer<typeof runSchema>

export const orderSchema = z.object({
  /** Fencing token; increases with each order. An engine that checks fences rejects an order with a lower one. */
  fence: z.int(),
  model: z.string().optional(),
  version: z.string().optional(),
  adapters: z.array(z.string()),
})

/** An order to load a model with its version and adapters. */
export type Order = z.infer<typeof orderSchema>
