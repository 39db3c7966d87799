/**
 * Makes one stage call over an open connection to a side, with or without
 * streaming. Stateless. Never retries: whether a lost call may be retried is
 * decided by the request that made it.
 */
import type { StageCall, StageReply } from './messages.js'
import type { PeerConnection, SideClient } from './peer-connection.js'
import { stageReplySchema, streamMessageSchema } from './messages.js'
import { callPeer, CallState } from './peer-connection.js'

/** Outcome of a stage call over a link. */
export enum LinkOutcome {
  Replied = 'replied',
  /** Nothing was sent: the link was not open, or its connection was lost before the call was written to it. */
  NotSent = 'not-sent',
  /** Sent and possibly received, but no reply arrived. */
  Lost = 'lost',
}

/** Result of a stage call over a link. */
export type LinkResult
  = { outcome: LinkOutcome.Replied, reply: StageReply }
    | { outcome: LinkOutcome.NotSent | LinkOutcome.Lost, message: string }

/** Receives streamed tokens. */
export type LinkTokenListener = (index: number, text: string) => void

/** Sends a stage call and waits until its reply arrives or the connection closes. */
export async function callStage(
  connection: PeerConnection<SideClient>,
  call: StageCall,
  onToken?: LinkTokenListener,
): Promise<LinkResult> {
  const result = await callPeer(connection, client => onToken ? readStream(client, call, onToken) : client.run.mutate(call))
  if (result.state !== CallState.Answered)
    return { outcome: result.state === CallState.NotSent ? LinkOutcome.NotSent : LinkOutcome.Lost, message: result.message }
  const reply = stageReplySchema.safeParse(result.value)
  if (!reply.success)
    return { outcome: LinkOutcome.Lost, message: 'the side sent a reply in an unknown format' }
  return { outcome: LinkOutcome.Replied, reply: reply.data }
}

/** Makes a streamed call; resolves with its final reply. */
function readStream(client: SideClient, call: StageCall, onToken: LinkTokenListener): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const subscription = client.stream.subscribe(call, {
      onData: (data) => {
        const message = streamMessageSchema.parse(data)
        if ('token' in message)
          return onToken(message.token.index, message.token.text)
        resolve(message.reply)
        subscription.unsubscribe()
      },
      onError: reject,
      onComplete: () => reject(new Error('the stream ended without a reply')),
    })
  })
}
