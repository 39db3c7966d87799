/**
 * The last gateway is stopped and started again, time after time, while users
 * go on using the connections that they have open.
 */
import { isTroubled, runCase } from '../support-2/case.mjs'
import { Connection } from '../support-2/client.mjs'
import { wait } from '../support-2/deployment.mjs'

const USERS = 60
const MIN_PAUSE_MS = 2600
const MAX_PAUSE_MS = 3300
const WORK_MS = 40
const DEADLINE_MS = 1500
/** `ContactMs` and a second more. */
const AFTER_LOSS_MS = 4000
const STOPS = 14
/** No further stop begins after that, on a slow machine. */
const LAST_STOP_MS = 92_000
/** Users have sent a request on their new connection by then. */
const BETWEEN_STOPS_MS = 3300
const RESTART_MS = 200
const GRACE_MS = 8000

const ROUTE = { Name: 'stop-lookup', Host: 'pages.example', PathPrefix: '/stop-lookup/', Type: 'non_idempotent', Service: 'rider-api', TimeoutMs: 1500, TargetLatencyMs: 121, MaxAttempts: 1, Priority: 2, Public: true }

async function answer(request, response) {
  await wait(WORK_MS)
  response.end('the nearest stop')
}

/** A user with one connection, who sends a request every few seconds. */
class User {
  constructor(gateway, number, requests) {
    Object.assign(this, { gateway, number, requests, sent: 0, isDone: false })
  }

  async run() {
    await wait(Math.random() * MAX_PAUSE_MS)
    while (!this.isDone) {
      await this.sendOne()
      await wait(MIN_PAUSE_MS + Math.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS))
    }
    this.connection?.destroy()
  }

  /** The balancer passes new connections only to a gateway that says it is ready. */
  async sendOne() {
    if (!this.connection?.isIdle) {
      this.connection?.destroy()
      this.connection = undefined
      if (!await this.gateway.isReady())
        return
      this.connection = new Connection(this.gateway.port)
    }
    const request = { method: 'POST', path: '/stop-lookup/x', id: `user-${this.number}-${this.sent++}`, headers: { 'Deadline-Ms': DEADLINE_MS } }
    this.requests.push(request)
    await this.connection.send(request)
  }
}

async function restart(gateway, record, stops) {
  stops.push(performance.now())
  record.add(`${gateway.name} gets SIGTERM`)
  gateway.signal('SIGTERM')
  await gateway.exited
  record.add(`${gateway.name} has ended`)
  await wait(RESTART_MS)
  gateway.start()
  await gateway.waitUntilReady()
  record.add(`${gateway.name} is ready`)
}

await runCase(import.meta.url, async (deployment, record) => {
  await deployment.start({
    zones: ['hall-a', 'hall-b'],
    routes: [ROUTE],
    services: [{ Name: 'rider-api', MaxConnections: 49 }],
    backends: ['hall-a', 'hall-b'].map(zone => ({ id: `rider-${zone}`, service: 'rider-api', zone, capacity: 6, answer })),
  })
  const [gateway, other] = deployment.gateways
  const requests = []
  const stops = []
  if (isTroubled) {
    record.add(`${other.name} is lost for good`)
    await other.end()
  }
  await wait(AFTER_LOSS_MS)
  const users = Array.from({ length: USERS }, (_, number) => new User(gateway, number, requests))
  const running = users.map(user => user.run())
  for (let stop = 0; stop < STOPS && performance.now() < LAST_STOP_MS; stop++) {
    await wait(BETWEEN_STOPS_MS)
    if (isTroubled)
      await restart(gateway, record, stops)
  }
  await wait(BETWEEN_STOPS_MS)
  for (const user of users)
    user.isDone = true
  await Promise.all(running)
  for (const request of requests)
    record.addRequest(request, deployment.findRun(request.id))
  const lost = requests.filter(({ id, outcome }) => outcome === 'closed' && deployment.findRun(id))
  return lost.map(({ id, sentAt }) => {
    const stoppedAt = stops.findLast(at => at <= sentAt)
    return `LOST: ${id} was sent ${Math.round(sentAt - stoppedAt)} ms after SIGTERM (grace period ${GRACE_MS} ms), was run, and its connection ended without an answer`
  })
})
