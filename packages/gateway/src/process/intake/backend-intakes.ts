/**
 * Notes what backend servers say in their answers of the requests that they
 * take. What each said lives with the registry's entry of it; this module owns
 * nothing.
 */
import type { AnswerHead, NoticeSink, ReadNotice } from '../../connection/backends/backend-notice.js'
import type { Backend } from '../../connection/backends/backend.js'
import type { GatewayLog } from '../gateway-log.js'

/** Takes the notices of all backend servers. */
export class BackendIntakes implements NoticeSink {
  constructor(private readonly readNotice: ReadNotice, private readonly log: GatewayLog) {}

  noteAnswer(backend: Backend, head: AnswerHead): void {
    const notice = this.readNotice(head.status, head.headers)
    const previous = backend.intake.limitPerSecond
    if (backend.intake.takeLimit(notice, head, performance.now()))
      this.log.backendLimitChanged(backend.record, notice.limitPerSecond, previous)
  }
}
