/**
 * Decides when a request is ended whose work has not ended by its deadline, or
 * when the process ends, and how it is answered.
 *
 * Inputs: the request's deadline (monotonic clock, ms); the step that it has
 * reached; whether its response was started, as of the deadline.
 * Rule: OVERDUE_MS after the deadline, its work is aborted and it is answered,
 * whatever the work waits for: before the attempts as one that has not run, from
 * then on as one that may have. A started response is cut off. When the process
 * ends, aborted work has ABORT_MS to end by itself before it is answered in the
 * same way.
 * Why: each step has a limit of its own, which leaves time for an answer that
 * says more. A step whose limit is missing or does not act would hold the client
 * beyond the time-out of the route, or until its connection is cut off.
 * Log event: `request-overdue` (`step`); `request-ended` when the process ends.
 *
 * Owns the signal of the work; what the work still sends afterwards is discarded.
 */
import type { RequestError } from '@eidermast/common'
import type { HeaderList } from '../connection/backends/backend-client.js'
import type { AnswerRoom, ClientResponse } from '../connection/clients/client-response.js'
import { createError, createTimeoutSignal, ErrorKind, Ran, TIMEOUT_ERROR } from '@eidermast/common'
import { errorOfStopped, isStopping } from '../connection/clients/stopping-error.js'

/** Time for the limits of the steps to act first. Clients wait that much longer than the time-out of the route. */
const OVERDUE_MS = 150

/** Time for aborted work to end by itself, which tells exactly whether a request has run. */
const ABORT_MS = 50

/** Steps of the work on a request. */
export enum RequestStep {
  /** Whether and where it may run is found out. */
  Accept = 'accept',
  /** It waits for room. */
  Admission = 'admission',
  Stages = 'stages',
  /** It is sent to backend servers. */
  Attempts = 'attempts',
}

/** What the work on a request gets. */
export interface GuardedWork {
  /** Aborts when the client disconnects, when the request is overdue, and when the process ends. */
  signal: AbortSignal
  clientResponse: ClientResponse
  /** Records that the work has reached a step. */
  reach: (step: RequestStep) => void
}

/** A request that was ended because it was overdue. */
export interface OverdueRequest {
  step: RequestStep
  error: RequestError
}

/** A request whose work is to be ended at its deadline. */
export interface LimitedRequest {
  /** On the monotonic clock, in milliseconds. */
  deadlineAt: number
  clientResponse: ClientResponse
  /** Aborts when the client disconnects, and when the process ends. */
  signal: AbortSignal
}

/** How the work on a request ended: by itself, at the deadline, or with the process. */
export type EndOfWork<Value> = { result: Value } | { overdue: OverdueRequest } | { stopped: RequestError }

/** Runs the work on a request; resolves with its result, or with how the request ends once it is overdue or the process ends. */
export async function runUntilOverdue<Value>(
  { deadlineAt, clientResponse, signal }: LimitedRequest,
  work: (guarded: GuardedWork) => Promise<Value>,
): Promise<EndOfWork<Value>> {
  const limited = createTimeoutSignal(Math.max(1, deadlineAt + OVERDUE_MS - performance.now()), signal)
  const response = new ClosableResponse(clientResponse)
  let step = RequestStep.Accept
  let abortTimer: NodeJS.Timeout | undefined
  const ended = new Promise<EndOfWork<Value>>((resolve) => {
    const end = (how: EndOfWork<Value>): void => {
      response.close()
      resolve(how)
    }
    const handleAbort = (): void => {
      if (limited.signal.reason?.name === TIMEOUT_ERROR)
        end({ overdue: { step, error: errorOfOverdue(step) } })
      else if (isStopping(limited.signal))
        abortTimer = setTimeout(() => end({ stopped: errorOfStopped(step === RequestStep.Attempts ? Ran.Unknown : Ran.None) }), ABORT_MS)
    }
    if (limited.signal.aborted)
      handleAbort()
    limited.signal.addEventListener('abort', handleAbort)
  })
  const working = work({ signal: limited.signal, clientResponse: response, reach: reached => void (step = reached) })
  try {
    return await Promise.race([working.then(result => ({ result })), ended])
  }
  finally {
    clearTimeout(abortTimer)
    limited.dispose()
  }
}

function errorOfOverdue(step: RequestStep): RequestError {
  if (step === RequestStep.Attempts)
    return createError(ErrorKind.DeadlineExceeded, 'the time-out of the route or the client passed', { ran: Ran.Unknown })
  const message = `the time-out of the route or the client passed before the request was sent on (step ${step})`
  return createError(ErrorKind.DeadlineUnreachable, message, { ran: Ran.None })
}

/** Forwards a response until it is closed, and discards it from then on. */
class ClosableResponse implements ClientResponse {
  private isClosed = false

  constructor(private readonly inner: ClientResponse) {}

  get started(): boolean {
    return this.inner.started
  }

  get room(): AnswerRoom | undefined {
    return this.inner.room
  }

  close(): void {
    this.isClosed = true
  }

  sendComplete(status: number, headers: HeaderList, body: readonly Buffer[]): void {
    if (!this.isClosed)
      this.inner.sendComplete(status, headers, body)
  }

  begin(status: number, headers: HeaderList): void {
    if (!this.isClosed)
      this.inner.begin(status, headers)
  }

  async send(bytes: Buffer): Promise<void> {
    if (this.isClosed)
      throw new Error('the request was ended at its deadline')
    await this.inner.send(bytes)
  }

  end(): void {
    if (!this.isClosed)
      this.inner.end()
  }

  cutOff(): void {
    if (!this.isClosed)
      this.inner.cutOff()
  }

  fail(error: RequestError): void {
    if (!this.isClosed)
      this.inner.fail(error)
  }
}
