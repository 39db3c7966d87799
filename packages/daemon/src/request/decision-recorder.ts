/**
 * Interface through which request handling records its decisions.
 */
import type { LogFields } from '@eidermast/common'

/** Records decisions about requests for `eidermast explain`. */
export interface DecisionRecorder {
  record: (event: string, requestId: string, fields: LogFields) => void
}
