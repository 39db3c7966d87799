/**
 * Decides how a request is rejected that the configuration of this entry does not
 * allow, because it lacks the client account, the token or the pipeline.
 *
 * Inputs: the error that denies the request; whether the log has confirmed the
 * configuration recently (`ConfigurationFreshness`, as of now).
 * Rule: a configuration that may have been replaced denies nothing. The caller is
 * told to retry, as by an entry without a configuration.
 * Why: callers do not retry after a denial, and what this entry lacks may have
 * been added since.
 * Log event: none; the error kind is in the response.
 */
import type { RequestError } from '@eidermast/common'
import type { ConfigurationFreshness } from './side-heartbeats.js'
import { createError, ErrorKind } from '@eidermast/common'

/** Returns the error with which to reject a request that the configuration does not allow. */
export function errorOfDenial(denial: RequestError, configuration: ConfigurationFreshness): RequestError {
  if (configuration.isFresh)
    return denial
  return createError(ErrorKind.NotReady, `This entry may lack recent changes of the configuration; retry after the indicated delay. Without them: ${denial.message}`)
}
