/**
 * A process with many simulated sides, each on a port of its own, for the
 * slopes of an entry's links. Prints their addresses as one JSON line.
 */
import type { PeerService, SideService } from '@eidermast/daemon'
import { createSideRouter, NO_OFFSET, Priority, startPeerServer } from '@eidermast/daemon'
import { v7 as uuidv7 } from 'uuid'

const KEY = 'a key of the slopes alone'

function createSide(name: string): SideService {
  const incarnation = uuidv7()
  let offset = NO_OFFSET
  const load = { running: 2, queued: { [Priority.High]: 0, [Priority.Normal]: 1, [Priority.Low]: 0 }, slots: 8, meanServiceMs: 41.5, draining: false }
  const common: PeerService = {
    heartbeat: () => ({ incarnation, name, offset, load }),
    difference: () => ({ offset, objects: [] }),
    offer: difference => (offset = difference.offset),
    status: () => ({ name, role: 'side', incarnation, pid: process.pid, failureDomain: 'a', offset, ready: true, detail: [] }),
    explain: () => [],
  }
  const noCalls = (): never => {
    throw new Error('a simulated side takes no calls')
  }
  return { ...common, run: noCalls, stream: noCalls, cancel: () => ({ started: false }), findResult: () => undefined }
}

const count = Number(process.argv[2])
const servers = await Promise.all(Array.from({ length: count }, (_, index) => startPeerServer({
  router: createSideRouter(createSide(`side-${index}`)),
  key: KEY,
  host: '127.0.0.1',
  port: 0,
  onRequest: (_request, response) => response.writeHead(404).end(),
})))
process.stdout.write(`${JSON.stringify(servers.map(server => server.address))}\n`)
