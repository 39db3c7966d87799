/**
 * Wire format of the crash reports in heartbeats and their responses. Releases
 * that do not support them omit this part.
 */
import * as z from 'zod'

/** Reports of requests during which backend servers crashed, as exchanged by gateways. */
export const crashReportsSchema = z.object({
  crashes: z.array(z.object({
    fingerprint: z.string(),
    /** Incarnation of the backend server that crashed. */
    backend: z.string(),
    /** Epoch milliseconds. */
    at: z.number(),
    /** Name of the gateway that observed the crash. */
    gateway: z.string(),
  })).default([]),
  answers: z.array(z.object({ fingerprint: z.string(), at: z.number() })).default([]),
})

/** Crash reports from one gateway to another, with the sequence numbers that acknowledge them. */
export const crashExchangeSchema = z.object({
  /** Last report of the sender that the receiver has acknowledged; `reports` starts after it. */
  after: z.number(),
  /** Sequence number of the sender's newest report. */
  sequence: z.number(),
  /** Sequence number of the receiver's last report that the sender has received. */
  seen: z.number(),
  /** Reports of the sender that the receiver has not acknowledged; omitted if there are none. */
  reports: crashReportsSchema.optional(),
})

/** Crash reports from one gateway to another. */
export type CrashExchangeMessage = z.infer<typeof crashExchangeSchema>
