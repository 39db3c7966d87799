/**
 * Streams wait in a gateway for a connection to their backend server, which has
 * room for them; their gateway is stopped.
 */
import { isTroubled, runCase } from '../support-2/case.mjs'
import { Connection } from '../support-2/client.mjs'
import { wait } from '../support-2/deployment.mjs'

/** Fewer than the engine runs at once. */
const USERS = 62
const ENGINE_SLOTS = 64
const EVENTS = 49
const EVENT_INTERVAL_MS = 148
const FIRST_EVENT_MS = 100
const DEADLINE_MS = 15_000
const STOP_BEFORE_MS = 600
/** `LossSlackMs`. */
const LOSS_SLACK_MS = 200

const ROUTE = { Name: 'rider-ask', Host: 'pages.example', PathPrefix: '/rider-ask/', Type: 'streaming', Service: 'lm-pool', TimeoutMs: 15_000, TargetLatencyMs: 2000, TargetGapMs: 400, MaxAttempts: 1, Priority: 0, StreamResume: false, Public: true }

async function answer(request, response) {
  await wait(FIRST_EVENT_MS)
  response.writeHead(200, { 'Content-Type': 'text/event-stream' })
  for (let event = 1; event <= EVENTS && !response.destroyed; event++) {
    response.write(`id: ${event}\ndata: words\n\n`)
    await wait(EVENT_INTERVAL_MS)
  }
  response.end()
}

await runCase(import.meta.url, async (deployment, record) => {
  await deployment.start({
    zones: ['hall-a', 'hall-b', 'hall-c', 'hall-d'],
    routes: [ROUTE],
    services: [{ Name: 'lm-pool', MaxConnections: 280, Engine: { Capacity: ENGINE_SLOTS, KvCapacityTokens: 509_358 } }],
    backends: [{ id: 'engine-1', service: 'lm-pool', zone: 'hall-a', capacity: ENGINE_SLOTS, answer }],
  })
  const [gateway] = deployment.gateways
  // All gateways know each other by then.
  await wait(3000)
  if (isTroubled) {
    record.add(`${gateway.name} gets SIGTERM`)
    gateway.signal('SIGTERM')
  }
  await wait(STOP_BEFORE_MS)
  const requests = Array.from({ length: USERS }, (_, user) => ({
    method: 'POST',
    path: '/rider-ask/x',
    id: `user-${user}`,
    headers: { 'Deadline-Ms': DEADLINE_MS, 'Model': 'm', 'Token-Usage': '826,294', 'Prompt-Prefix': `5c1e07a2:198,${(0x1000 + user).toString(16)}:628` },
  }))
  await Promise.all(requests.map(request => new Connection(gateway.port).send(request)))
  for (const request of requests)
    record.addRequest(request, deployment.findRun(request.id))
  // Those that were passed on are excused: their backend server is at work in the last sixth of the grace period.
  const lost = requests.filter(({ id, outcome, sentAt, endedAt }) => outcome === 'closed' && !deployment.findRun(id) && endedAt - sentAt > LOSS_SLACK_MS)
  return lost.map(({ id, sentAt, endedAt }) => `LOST: ${id} was never passed on, and its connection ended without an answer ${Math.round(endedAt - sentAt)} ms after it was sent`)
})
