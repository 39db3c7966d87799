/**
 * What request handling needs of the process's memory of decisions.
 */
import type { LogFields } from '@eidermast/common'

/** Keeps decisions about requests, so that `eidermast explain` can show them. */
export interface DecisionRecorder {
  record: (event: string, requestId: string, fields: LogFields) => void
}
