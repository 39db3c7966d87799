/**
 * Admission of requests without stages: each one is admitted, waits for room or
 * is refused before it is sent to a backend server. Requests with stages are
 * admitted by the coordinator of their stage work (`process/stages`).
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { RoutedRequest } from '../routed-request.js'
import { Ok } from 'ts-results-es'

/** A request that was admitted. */
export interface AdmissionTicket {
  /** Returns the room that the request used. Called once, when it was answered or has failed. */
  release: () => void
  /** Waits for room again after a full backend server refused the request; absent if requests are not held. Resolves with the error of its refusal if there is none in time. */
  readmit?: () => Promise<Result<void, RequestError>>
}

/** Admission policy (setting `admission` in `[load]`). */
export interface RequestAdmission {
  /** Resolves once the request may be sent, or with the error of its refusal: it has not run. The signal ends the wait. */
  admit: (request: RoutedRequest, signal: AbortSignal) => Promise<Result<AdmissionTicket, RequestError>>
}

/** Admits every request at once (setting `admission = all`). */
export class AdmitAll implements RequestAdmission {
  async admit(): Promise<Result<AdmissionTicket, RequestError>> {
    return Ok({ release: () => {} })
  }
}
