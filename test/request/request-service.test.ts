import type { ReadLateness } from '@eidermast/common'
import type { IncomingRequest, RequestServiceOptions } from '@eidermast/daemon'
import { ErrorKind, NEVER_ABORTED } from '@eidermast/common'
import { AdmitAll, OutcomeTable, RequestService } from '@eidermast/daemon'
import { Ok } from 'ts-results-es'
import { expect, test, vi } from 'vitest'

const DEADLINE_MS = 1000

function createIncoming(lateness: ReadLateness | undefined): IncomingRequest {
  const plan = { target: 'plain', stages: [], priority: 0, deadlineMs: DEADLINE_MS, unrepeatable: false }
  return { account: 'rider-app', share: 1, plan, body: '', arrivedAt: performance.now() - (lateness?.waitedMs ?? 0), lateness, callerSignal: NEVER_ABORTED } as unknown as IncomingRequest
}

test.each([
  ['is run if it was read in time', undefined, 1],
  ['is run if it was read late after a short pause of the entry', { waitedMs: 900, lateForMs: 500 }, 1],
  ['is run if half of its time is left', { waitedMs: 400, lateForMs: 3000 }, 1],
  ['is shed without being run if it has used up more, and the entry keeps reading late', { waitedMs: 600, lateForMs: 3000 }, 0],
])('a request %s', async (_name, lateness, runs) => {
  const run = vi.fn(async () => Ok({}))
  const service = new RequestService({
    inFlightLimit: 100,
    admission: new AdmitAll(),
    runner: { run },
    outcomes: new OutcomeTable({ entries: 10, bytes: 1000, lifetimeMs: 1000, unrepeatableLifetimeMs: 1000 }),
    membership: { candidates: () => [] },
    decisions: { record: () => {} },
    metrics: { setInFlight: () => {}, recordRequest: () => {}, recordError: () => {} },
  } as unknown as RequestServiceOptions)
  const answer = await service.handle(createIncoming(lateness))
  expect(run).toHaveBeenCalledTimes(runs)
  if (runs === 0)
    expect(answer.unwrapErr()).toMatchObject({ kind: ErrorKind.Overloaded, ran: 'none', retryAfterMs: 100 })
})
