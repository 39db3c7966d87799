/**
 * The fault switches of every stand-in. A switch is set by `POST /faults` and
 * stays until the next such call, which turns off what it does not name.
 */
import * as z from 'zod'

/** How the log fails while it is out. */
export enum LogOutage {
  None = 'none',
  /** Answers 503 to everything. */
  Refuse = 'refuse',
  /** Answers nothing. */
  Hang = 'hang',
}

export const logFaultsSchema = z.strictObject({
  outage: z.enum(LogOutage).default(LogOutage.None),
  /** Milliseconds added to every answer. */
  delayMs: z.number().min(0).default(0),
  /** Number of appends whose acknowledgement is lost after the append. */
  dropAcknowledgements: z.int().min(0).default(0),
  /** Number of appends that are stored a second time, a while later. */
  repeatAppends: z.int().min(0).default(0),
  /** Whether every append is refused for its rate. */
  refuseAppends: z.boolean().default(false),
})

export const virtualMachineListFaultsSchema = z.strictObject({
  /** Whether every call is answered 503. */
  out: z.boolean().default(false),
})

export const weightStoreFaultsSchema = z.strictObject({
  /** Milliseconds added to every answer. */
  delayMs: z.number().min(0).default(0),
})

export const backendFaultsSchema = z.strictObject({
  /** Service times are multiplied by this. */
  slowFactor: z.number().min(0).default(1),
  /** Share of runs that fail after they started, from 0 to 1. */
  failShare: z.number().min(0).max(1).default(0),
  /** Number of runs that finish but whose reply is dropped. */
  dropReplies: z.int().min(0).default(0),
  /** Number of streams that are cut in the middle. */
  cutStreams: z.int().min(0).default(0),
  /** Whether the process ends at the next run, after it has started. */
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

/** What can be set at a stand-in; what is not named is off. */
export type StandInFaults = Partial<LogFaults> | Partial<VirtualMachineListFaults> | Partial<WeightStoreFaults> | Partial<BackendFaults>
