import type { EntryService } from '@eidermast/daemon'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { MemoryPool } from '@eidermast/common'
import { Configuration, createEntryRouter, EntryPeers, ForwardState, OutcomeState, PeerServer } from '@eidermast/daemon'
import { v7 as uuidv7 } from 'uuid'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'

const KEY = 'a-key-of-sixteen-letters'
const INCARNATION = uuidv7()
const QUERY = { account: 'rider-app', requestId: uuidv7() }
const REQUEST = { ...QUERY, target: 'departure-alert', body: '{}', deadlineMs: 5000 }
const REPLY = { state: OutcomeState.NotRun, claimed: false }

let server: PeerServer
/** Forwards connections to the entry, so that they can be lost. */
let proxy: Server
const sockets = new Set<Socket>()
/** Address of the entry, through the proxy. */
let address: string
let peers: EntryPeers
let incarnation: string
/** Number of calls that the entry answers by closing the connection. */
let losses: number
let calls: number

/** Answers a call, or closes its connection while losses remain. */
async function answer<Value>(value: Value): Promise<Value> {
  calls++
  if (losses-- > 0)
    sockets.forEach(socket => socket.destroy())
  return value
}

beforeEach(async () => {
  incarnation = INCARNATION
  losses = 0
  calls = 0
  server = await PeerServer.listen({ key: KEY, host: '127.0.0.1', port: 0, connections: { maxConnections: 100, pool: new MemoryPool(1_000_000), metrics: { countConnectionsClosed: () => {} } } })
  const service = {
    heartbeat: () => ({ incarnation, name: 'entry-2', offset: 0 }),
    forward: () => answer('{}'),
    outcome: () => answer(REPLY),
  }
  server.serve(createEntryRouter(service as unknown as EntryService), (_, response) => response.end())
  const port = Number(server.address.split(':')[1])
  proxy = createServer((inbound) => {
    const outbound = connect(port, '127.0.0.1')
    inbound.pipe(outbound).pipe(inbound)
    for (const [socket, other] of [[inbound, outbound], [outbound, inbound]]) {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => other.destroy())
    }
  }).listen(0, '127.0.0.1')
  await once(proxy, 'listening')
  address = `127.0.0.1:${(proxy.address() as AddressInfo).port}`
  peers = new EntryPeers({ key: KEY, entryName: 'entry-1', entryIncarnation: uuidv7(), configuration: new Configuration() })
})

afterEach(async () => {
  peers.close()
  proxy.close()
  await server.close()
})

// Guards against outcomes that were reported as unknown although the entry that knew them could be asked again.
describe('a call to another entry whose connection is lost', () => {
  test('is answered by the same incarnation on a new connection', async () => {
    losses = 1
    expect(await peers.forward(address, INCARNATION, REQUEST)).toEqual({ state: ForwardState.Answered, answer: '{}' })
    losses = 1
    expect(await peers.queryOutcome(address, QUERY)).toEqual(REPLY)
    expect(calls).toBe(4)
  })

  test('is lost if the connection is lost again', async () => {
    losses = 2
    expect((await peers.forward(address, INCARNATION, REQUEST)).state).toBe(ForwardState.Lost)
    expect(calls).toBe(2)
  })

  test('is never forwarded to another incarnation', async () => {
    losses = 1
    const forwarded = peers.forward(address, INCARNATION, REQUEST)
    await expect.poll(() => calls, { interval: 1 }).toBe(1)
    incarnation = uuidv7()
    expect((await forwarded).state).toBe(ForwardState.Lost)
    expect(calls).toBe(1)
  })
})
