/**
 * The part of a heartbeat and of its answer that tells crashes, as it stands on
 * the wire. Releases that do not know it leave it out.
 */
import * as z from 'zod'

/** Reports of requests under which backend servers ended, as gateways write them for each other. */
export const crashReportsSchema = z.object({
  crashes: z.array(z.object({
    fingerprint: z.string(),
    /** The life of the backend server that ended. */
    backend: z.string(),
    /** Epoch milliseconds. */
    at: z.number(),
    /** Name of the gateway that saw it. */
    gateway: z.string(),
  })).default([]),
  answers: z.array(z.object({ fingerprint: z.string(), at: z.number() })).default([]),
})

/** What a gateway tells a peer of crashes. */
export const crashExchangeSchema = z.object({
  /** Up to which number the receiver has the sender's reports, as the sender knows it: those below begin after it. */
  after: z.number(),
  /** Number of the newest report that the sender knows. */
  sequence: z.number(),
  /** Up to which number the sender has the receiver's reports. */
  seen: z.number(),
  /** The sender's reports that the receiver has not confirmed; absent where there are none. */
  reports: crashReportsSchema.optional(),
})

/** What a gateway tells a peer of crashes. */
export type CrashExchangeMessage = z.infer<typeof crashExchangeSchema>
