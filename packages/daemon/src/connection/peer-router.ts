/**
 * tRPC procedures between the system's processes. Their names and fields are part
 * of the wire format between two releases and must not change; the heartbeat
 * procedure is named `greet`. Inputs are validated by their schemas before a
 * service receives them. Stateless.
 */
import type { LogFields } from '@eidermast/common'
import type { ConfigurationDifference } from '../version/configuration.js'
import type {
  CancelReply,
  DifferenceRequest,
  ForwardedRequest,
  Heartbeat,
  HeartbeatReply,
  OutcomeQuery,
  OutcomeReply,
  ResultQuery,
  StageCall,
  StageReply,
  StreamMessage,
} from './messages.js'
import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import {
  differenceRequestSchema,
  differenceSchema,
  forwardedRequestSchema,
  heartbeatSchema,
  outcomeQuerySchema,
  resultQuerySchema,
  stageCallSchema,
} from './messages.js'

const trpc = initTRPC.create()

/** Status of a process, as reported to operators. */
export interface ProcessStatus {
  name: string
  role: string
  incarnation: string
  pid: number
  failureDomain: string
  /** Offset of its configuration. */
  offset: number
  /** Whether it should receive work. */
  ready: boolean
  detail: StatusDetail[]
}

/** One line of a process's status. */
export interface StatusDetail {
  subject: string
  text: string
}

/** One decision about a request, recorded by a process for `eidermast explain`. */
export interface Decision {
  /** Epoch milliseconds. */
  at: number
  /** Name of the process that made the decision. */
  by: string
  event: string
  requestId: string
  fields: LogFields
}

/** Operations that every process provides to its peers. */
export interface PeerService {
  heartbeat: (heartbeat: Heartbeat) => HeartbeatReply
  difference: (request: DifferenceRequest) => ConfigurationDifference
  /** Applies a difference; returns the resulting offset. */
  offer: (difference: ConfigurationDifference) => number
  status: () => ProcessStatus
  explain: (requestId: string) => Decision[]
}

/** Operations of a side. */
export interface SideService extends PeerService {
  run: (call: StageCall) => Promise<StageReply>
  stream: (call: StageCall, signal?: AbortSignal) => AsyncIterable<StreamMessage>
  cancel: (key: string) => CancelReply
  findResult: (query: ResultQuery) => StageReply | undefined
}

/** Operations of an entry. */
export interface EntryService extends PeerService {
  /** Runs a request under its ticket, or joins it if this entry holds its claim. Returns the answer as JSON text. */
  forward: (request: ForwardedRequest) => Promise<string>
  outcome: (query: OutcomeQuery) => OutcomeReply
}

function createCommonProcedures(service: PeerService) {
  return {
    greet: trpc.procedure.input(heartbeatSchema).mutation(({ input }) => service.heartbeat(input)),
    difference: trpc.procedure.input(differenceRequestSchema).query(({ input }) => service.difference(input)),
    offer: trpc.procedure.input(differenceSchema).mutation(({ input }) => service.offer(input as ConfigurationDifference)),
    status: trpc.procedure.query(() => service.status()),
    explain: trpc.procedure.input(z.object({ requestId: z.string() })).query(({ input }) => service.explain(input.requestId)),
  }
}

export function createSideRouter(service: SideService) {
  return trpc.router({
    ...createCommonProcedures(service),
    run: trpc.procedure.input(stageCallSchema).mutation(({ input }) => service.run(input)),
    stream: trpc.procedure.input(stageCallSchema).subscription(async function* ({ input, signal }) {
      yield* service.stream(input, signal)
    }),
    cancel: trpc.procedure.input(z.object({ key: z.string() })).mutation(({ input }) => service.cancel(input.key)),
    findResult: trpc.procedure.input(resultQuerySchema).query(({ input }) => service.findResult(input)),
  })
}

export function createEntryRouter(service: EntryService) {
  return trpc.router({
    ...createCommonProcedures(service),
    forward: trpc.procedure.input(forwardedRequestSchema).mutation(({ input }) => service.forward(input)),
    outcome: trpc.procedure.input(outcomeQuerySchema).query(({ input }) => service.outcome(input)),
  })
}

export type SideRouter = ReturnType<typeof createSideRouter>
export type EntryRouter = ReturnType<typeof createEntryRouter>
