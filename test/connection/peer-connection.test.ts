import type { PeerConnection, SideClient } from '@eidermast/daemon'
import type { WebSocket } from 'ws'
import { once } from 'node:events'
import { callPeer, CallState, connectSide } from '@eidermast/daemon'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { WebSocketServer } from 'ws'

const KEY = 'a-key-of-sixteen-letters'

let server: WebSocketServer
let connection: PeerConnection<SideClient>
/** The peer's end of the connection. It answers no call. */
let peer: WebSocket

beforeEach(async () => {
  server = new WebSocketServer({ host: '127.0.0.1', port: 0 })
  await once(server, 'listening')
  const { port } = server.address() as { port: number }
  const connected = once(server, 'connection')
  connection = (await connectSide({ address: `127.0.0.1:${port}`, key: KEY })).unwrap();
  [peer] = await connected as [WebSocket]
})

afterEach(() => {
  connection.close()
  server.clients.forEach(client => client.terminate())
  server.close()
})

function call(timeoutMs?: number) {
  return callPeer(connection, client => client.cancel.mutate({ key: 'call' }), timeoutMs)
}

describe('a call to a peer that brings no reply', () => {
  // Guards against calls that never left the process but were reported as possibly executed.
  test('is reported as not sent if the connection closes before the call is written', async () => {
    const result = call()
    connection.close()
    expect((await result).state).toBe(CallState.NotSent)
  })

  test('is reported as not sent if the connection has closed', async () => {
    peer.terminate()
    await once(connection.closed, 'abort')
    expect((await call()).state).toBe(CallState.NotSent)
  })

  test('is reported as lost if the connection closes after the call was written', async () => {
    const received = once(peer, 'message')
    const result = call()
    await received
    peer.terminate()
    expect((await result).state).toBe(CallState.Lost)
  })

  test('is reported as lost if the connection closes while the peer has not read it', async () => {
    const messagesBefore = connection.messagesSent()
    peer.pause()
    const result = call()
    await expect.poll(() => connection.messagesSent(), { interval: 1 }).toBe(messagesBefore + 1)
    connection.close()
    expect((await result).state).toBe(CallState.Lost)
  })

  test('is reported as lost if it times out on an open connection', async () => {
    expect((await call(20)).state).toBe(CallState.Lost)
  })
})
