/**
 * Procedures between gateways, by tRPC. It owns no state; the process that
 * implements `PeerService` does. Procedures and fields are on the wire between
 * releases: their names stay, and `peer-messages` decodes them.
 */
import type { Result } from 'ts-results-es'
import type { ConfigurationRecord } from '../../version/configuration-holder.js'
import type { ListedBackends } from '../backends/backend.js'
import type { Heartbeat, HeartbeatReply, PreparationReplyMessage } from './peer-messages.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import { NEVER_ABORTED } from '@eidermast/common'
import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import { encodeHeartbeatReply, encodeListedBackends, encodePreparationReply, heartbeatSchema, preparationRequestSchema } from './peer-messages.js'

const trpc = initTRPC.create()

/** What a gateway answers to its peers. */
export interface PeerService {
  heartbeat: (heartbeat: Heartbeat) => HeartbeatReply
  /** The configuration in force; undefined while none is known. */
  configuration: () => ConfigurationRecord | undefined
  /** The list of backend servers; its revision is 0 while none is known. */
  backends: () => ListedBackends
  /** Does the stage work of a request; the signal aborts when the calling gateway leaves or abandons the call. */
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  /** Frees the results of requests; ids that aren't known are ignored. */
  release: (requestIds: string[]) => void
}

/** The procedures of one gateway. */
export function createPeerRouter(service: PeerService) {
  return trpc.router({
    // The heartbeat's name on the wire since the first release.
    greet: trpc.procedure.input(heartbeatSchema).mutation(({ input }) => encodeHeartbeatReply(service.heartbeat(input))),
    configuration: trpc.procedure.query(() => service.configuration() ?? null),
    backends: trpc.procedure.query(() => encodeListedBackends(service.backends())),
    prepare: trpc.procedure.input(preparationRequestSchema).mutation(async ({ input, signal }): Promise<PreparationReplyMessage> => {
      const result = await service.prepare(input, signal ?? NEVER_ABORTED)
      return encodePreparationReply(result)
    }),
    release: trpc.procedure.input(z.array(z.string())).mutation(({ input }) => service.release(input)),
  })
}

/** The type that clients are made from. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
