/**
 * Procedures between gateways, by tRPC.
 */
import type { Result } from 'ts-results-es'
import type { GreetingReply } from '../process/membership/members.js'
import type { ConfigurationRecord } from '../version/configuration-holder.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import { preparationRequestSchema } from './preparation.js'

const trpc = initTRPC.create()

const greetingSchema = z.object({
  name: z.string(),
  address: z.string(),
  version: z.number(),
})

/** A gateway's greeting to another. */
export type Greeting = z.infer<typeof greetingSchema>

/** How stage work ended, as it goes between processes. */
export type PreparationReply = { prepared: PreparedInputs } | { failure: PreparationFailure }

/** What a gateway answers to its peers. */
export interface PeerService {
  greet: (greeting: Greeting) => GreetingReply
  configuration: () => ConfigurationRecord | undefined
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  release: (requestIds: string[]) => void
}

const NEVER_ABORTED = new AbortController().signal

/** The procedures of one gateway. */
export function createPeerRouter(service: PeerService) {
  return trpc.router({
    greet: trpc.procedure.input(greetingSchema).mutation(({ input }) => service.greet(input)),
    configuration: trpc.procedure.query(() => service.configuration() ?? null),
    prepare: trpc.procedure.input(preparationRequestSchema).mutation(async ({ input, signal }): Promise<PreparationReply> => {
      const result = await service.prepare(input, signal ?? NEVER_ABORTED)
      return result.isOk() ? { prepared: result.value } : { failure: result.error }
    }),
    release: trpc.procedure.input(z.array(z.string())).mutation(({ input }) => service.release(input)),
  })
}

/** The type that clients are made from. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
