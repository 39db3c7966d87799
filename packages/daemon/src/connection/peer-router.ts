/**
 * Procedures between the system's processes, by tRPC. Their names and fields are
 * on the wire between two releases and stay: a heartbeat is `greet` there.
 * Inputs are checked by their schemas before a service sees them. Keeps no
 * state.
 */
import type { LogFields } from '@eidermast/common'
import type { ConfigurationDifference } from '../version/configuration.js'
import type {
  CancelReply,
  DifferenceRequest,
  ForwardedRequest,
  Heartbeat,
  HeartbeatReply,
  OutcomeQuestion,
  OutcomeReply,
  ResultQuestion,
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
  outcomeQuestionSchema,
  resultQuestionSchema,
  stageCallSchema,
} from './messages.js'

const trpc = initTRPC.create()

/** A process's answer to an operator who asks for its status. */
export interface ProcessStatus {
  name: string
  role: string
  incarnation: string
  pid: number
  failureDomain: string
  /** Offset of the configuration that it holds. */
  offset: number
  /** Whether it should get work. */
  ready: boolean
  detail: StatusDetail[]
}

/** One line of a process's status. */
export interface StatusDetail {
  subject: string
  text: string
}

/** One decision about a request, as a process remembers it for `eidermast explain`. */
export interface Decision {
  /** Epoch milliseconds. */
  at: number
  /** Name of the process that decided. */
  by: string
  event: string
  requestId: string
  fields: LogFields
}

/** What every process answers to its peers. */
export interface PeerService {
  heartbeat: (heartbeat: Heartbeat) => HeartbeatReply
  difference: (request: DifferenceRequest) => ConfigurationDifference
  /** Applies a difference; returns the offset now held. */
  offer: (difference: ConfigurationDifference) => number
  status: () => ProcessStatus
  explain: (requestId: string) => Decision[]
}

/** What a side answers. */
export interface SideService extends PeerService {
  run: (call: StageCall) => Promise<StageReply>
  stream: (call: StageCall, signal?: AbortSignal) => AsyncIterable<StreamMessage>
  cancel: (key: string) => CancelReply
  findResult: (question: ResultQuestion) => StageReply | undefined
}

/** What an entry answers. */
export interface EntryService extends PeerService {
  /** Runs a request under its ticket, or joins it where it is claimed here. Returns the answer as JSON text. */
  forward: (request: ForwardedRequest) => Promise<string>
  outcome: (question: OutcomeQuestion) => OutcomeReply
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

/** Creates the procedures of a side. */
export function createSideRouter(service: SideService) {
  return trpc.router({
    ...createCommonProcedures(service),
    run: trpc.procedure.input(stageCallSchema).mutation(({ input }) => service.run(input)),
    stream: trpc.procedure.input(stageCallSchema).subscription(async function* ({ input, signal }) {
      yield* service.stream(input, signal)
    }),
    cancel: trpc.procedure.input(z.object({ key: z.string() })).mutation(({ input }) => service.cancel(input.key)),
    findResult: trpc.procedure.input(resultQuestionSchema).query(({ input }) => service.findResult(input)),
  })
}

/** Creates the procedures of an entry. */
export function createEntryRouter(service: EntryService) {
  return trpc.router({
    ...createCommonProcedures(service),
    forward: trpc.procedure.input(forwardedRequestSchema).mutation(({ input }) => service.forward(input)),
    outcome: trpc.procedure.input(outcomeQuestionSchema).query(({ input }) => service.outcome(input)),
  })
}

export type SideRouter = ReturnType<typeof createSideRouter>
export type EntryRouter = ReturnType<typeof createEntryRouter>
