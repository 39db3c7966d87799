/**
 * Fault injection for the stand-ins. `POST /faults` sets the faults of a stand-in
 * until the next such call; faults that a call does not name are turned off.
 */
import * as z from 'zod'

/** Ways in which the log can be unavailable. */
export enum LogOutage {
  None = 'none',
  /** Answers every call with 503. */
  Refuse = 'refuse',
  /** Leaves calls unanswered. */
  Hang = 'hang',
}

export const logFaultsSchema = z.strictObject({
  outage: z.enum(LogOutage).default(LogOutage.None),
  /** Delay added to every answer. */
  delayMs: z.number().min(0).default(0),
  /** Number of appends that are stored but not acknowledged. */
  dropAcknowledgements: z.int().min(0).default(0),
  /** Number of appends that are stored again after a delay. */
  repeatAppends: z.int().min(0).default(0),
  /** Whether every append is rejected as exceeding the rate limit. */
  refuseAppends: z.boolean().default(false),
})

export const virtualMachineListFaultsSchema = z.strictObject({
  /** Whether every call is answered with 503. */
  out: z.boolean().default(false),
})

export const weightStoreFaultsSchema = z.strictObject({
  /** Delay added to every answer. */
  delayMs: z.number().min(0).default(0),
})

export const backendFaultsSchema = z.strictObject({
  /** Factor by which service times are multiplied. */
  slowFactor: z.number().min(0).default(1),
  /** Fraction of runs that fail after they have started. */
  failShare: z.number().min(0).max(1).default(0),
  /** Number of runs that complete but whose reply is dropped. */
  dropReplies: z.int().min(0).default(0),
  /** Number of streams that are truncated halfway. */
  cutStreams: z.int().min(0).default(0),
  /** Whether the process exits at the next run, after recording its start. */
  die: z.boolean().default(false),
})

/** Faults of the log. */
export type LogFaults = z.infer<typeof logFaultsSchema>

/** Faults of the VM list. */
export type VirtualMachineListFaults = z.infer<typeof virtualMachineListFaultsSchema>

/** Faults of the weight store. */
export type WeightStoreFaults = z.infer<typeof weightStoreFaultsSchema>

/** Faults of a backend server. */
export type BackendFaults = z.infer<typeof backendFaultsSchema>

/** Faults that can be set on a stand-in; omitted ones are off. */
export type StandInFaults = Partial<LogFaults> | Partial<VirtualMachineListFaults> | Partial<WeightStoreFaults> | Partial<BackendFaults>
