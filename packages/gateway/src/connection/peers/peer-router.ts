/**
 * tRPC procedures between gateways. Stateless; the process implements
 * `PeerService`. The names of procedures and fields are part of the protocol
 * between releases and must not change; `peer-messages.ts` maps the fields to
 * internal names.
 */
import type { Result } from 'ts-results-es'
import type { ConfigurationRecord } from '../../version/configuration-holder.js'
import type { ListedBackends } from '../backends/backend.js'
import type { Heartbeat, HeartbeatReply, PreparationReplyMessage } from './peer-messages.js'
import type { PreparationFailure, PreparationRequest, PreparedInputs } from './preparation.js'
import type { StreamAnswer, StreamMessage, StreamQuestion } from './stream-message.js'
import { NEVER_ABORTED } from '@eidermast/common'
import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import { encodeHeartbeatReply, encodeListedBackends, encodePreparationReply, heartbeatSchema, preparationRequestSchema } from './peer-messages.js'
import { streamQuestionSchema, streamReportSchema } from './stream-message.js'

const trpc = initTRPC.create()

/** What a gateway provides to its peers. */
export interface PeerService {
  heartbeat: (heartbeat: Heartbeat) => HeartbeatReply
  /** The configuration in force; undefined if there is none yet. */
  configuration: () => ConfigurationRecord | undefined
  /** The list of backend servers; its revision is 0 if the list is not known yet. */
  backends: () => ListedBackends
  /** Runs the stage work of a request; the signal is aborted when the calling gateway disconnects or cancels the call. */
  prepare: (request: PreparationRequest, signal: AbortSignal) => Promise<Result<PreparedInputs, PreparationFailure>>
  /** Releases the results of requests; unknown ids are ignored. */
  release: (requestIds: string[]) => void
  /** Records which software versions began streams of the calling gateway. */
  noteStreams: (streams: readonly StreamMessage[]) => void
  /** What this gateway knows of a stream. */
  findStream: (question: StreamQuestion) => StreamAnswer
}

/** Creates the router with the procedures of one gateway. */
export function createPeerRouter(service: PeerService) {
  return trpc.router({
    // Heartbeats have had this procedure name since the first release.
    greet: trpc.procedure.input(heartbeatSchema).mutation(({ input }) => encodeHeartbeatReply(service.heartbeat(input))),
    configuration: trpc.procedure.query(() => service.configuration() ?? null),
    backends: trpc.procedure.query(() => encodeListedBackends(service.backends())),
    prepare: trpc.procedure.input(preparationRequestSchema).mutation(async ({ input, signal }): Promise<PreparationReplyMessage> => {
      const result = await service.prepare(input, signal ?? NEVER_ABORTED)
      return encodePreparationReply(result)
    }),
    release: trpc.procedure.input(z.array(z.string())).mutation(({ input }) => service.release(input)),
    noteStreams: trpc.procedure.input(streamReportSchema).mutation(({ input }) => service.noteStreams(input)),
    findStream: trpc.procedure.input(streamQuestionSchema).mutation(({ input }) => service.findStream(input)),
  })
}

/** Router type from which the peer clients are derived. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
