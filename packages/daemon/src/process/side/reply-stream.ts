/**
 * Converts a stage call that reports tokens to a listener into the messages of a
 * streamed call. Buffers tokens that the peer has not read yet. If the stream is
 * cut they are lost, but the call continues, and its reply stays in the stage
 * table, where the entry can query it.
 */
import type { LinkTokenListener } from '../../connection/link-call.js'
import type { StageReply, StreamMessage } from '../../connection/messages.js'

/** Streams the tokens of a call, followed by its reply. */
export async function* streamReply(run: (onToken: LinkTokenListener) => Promise<StageReply>): AsyncIterable<StreamMessage> {
  const messages: StreamMessage[] = []
  let wake = (): void => {}
  const push = (message: StreamMessage): void => {
    messages.push(message)
    wake()
  }
  void run((index, text) => push({ token: { index, text } })).then(reply => push({ reply }))
  for (;;) {
    const message = messages.shift()
    if (!message) {
      await new Promise<void>((resolve) => {
        wake = resolve
      })
      continue
    }
    yield message
    if ('reply' in message)
      return
  }
}
