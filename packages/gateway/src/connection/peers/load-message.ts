/**
 * Wire format of the load exchange between gateways: a report in each heartbeat,
 * and the answer of the coordinator in its reply. Releases without it ignore the
 * field; a part that says nothing is omitted.
 */
import * as z from 'zod'

/** Bounds of a message; what is beyond them is left out, the smallest or oldest first. */
export const MAX_SERVICES = 16
export const MAX_ACCOUNTS = 32
export const MAX_REFUSALS = 32
const MAX_IN_FLIGHT_BACKENDS = 64

const count = z.number().int().nonnegative()
const fraction = z.number().min(0).max(1)

const serviceDemandSchema = z.object({
  service: z.string(),
  /** Requests that were served in the last second. */
  served: count,
  /** Milliseconds since a request found no room; omitted if there was none in the last second. */
  quietMs: z.number().nonnegative().optional(),
  accounts: z.array(z.object({
    /** Name of the client account; omitted on public routes. */
    account: z.string().optional(),
    /** Requests of the last second; omitted if there were none. */
    new: count.optional(),
    /** Requests of the last second that returned after the retry delay that they were given; omitted if there were none. */
    returned: count.optional(),
  })).max(MAX_ACCOUNTS),
})

/** Demand for one service at one gateway. */
export type ServiceDemandMessage = z.infer<typeof serviceDemandSchema>

const serviceAllocationSchema = z.object({
  service: z.string(),
  /** Requests a second that are admitted. */
  capacity: z.number().nonnegative(),
  /** Client accounts of which not all new requests are admitted. */
  accounts: z.array(z.object({
    /** Name of the client account; omitted on public routes. */
    account: z.string().optional(),
    /** Admitted fraction of new requests. */
    fraction,
    /** Admitted fraction of requests that returned as told; omitted if it is 1. */
    returnedFraction: fraction.optional(),
  })).max(MAX_ACCOUNTS),
})

/** Admitted fractions of the client accounts of one service. */
export type ServiceAllocationMessage = z.infer<typeof serviceAllocationSchema>

const refusalSchema = z.object({
  fingerprint: z.string(),
  /** What is left of the retry delay that the client was given. */
  delayMs: z.number().nonnegative(),
})

/** A request that was refused. */
export type RefusalMessage = z.infer<typeof refusalSchema>

const callsInFlightSchema = z.object({
  /** Id of the backend server. */
  backend: z.string(),
  /** Incarnation of the backend server, see `incarnationOf`. */
  life: z.string(),
  calls: count,
})

/** Calls in flight at one backend server. */
export type CallsInFlight = z.infer<typeof callsInFlightSchema>

/** Validates the field `load` of a heartbeat or its reply. */
export const loadMessageSchema = z.object({
  /** In a heartbeat: the sender's demand for services that have no room for all. */
  demand: z.array(serviceDemandSchema).max(MAX_SERVICES).optional(),
  /** In a reply: the fractions for services that have no room for all; empty if all have room again. */
  shares: z.array(serviceAllocationSchema).max(MAX_SERVICES).optional(),
  /** Newest refusals: in a heartbeat those by the sender, in a reply those by all gateways but the receiver. */
  refusals: z.array(refusalSchema).max(MAX_REFUSALS).optional(),
  /** Calls in flight: in a heartbeat those of the sender, in a reply the sums of all gateways but the receiver. */
  inFlight: z.array(callsInFlightSchema).max(MAX_IN_FLIGHT_BACKENDS).optional(),
})

/** Field `load` of a heartbeat or its reply. */
export type LoadMessage = z.infer<typeof loadMessageSchema>
