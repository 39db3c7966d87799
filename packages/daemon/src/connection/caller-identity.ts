/**
 * Decides whether a caller's request is looked at before its body is read.
 *
 * Inputs: whether the process is stopping and knows a configuration (as of
 * now), the request's headers, the client account as configured (as old as
 * this process's configuration).
 * Rule: refuse while stopping, then while the configuration is unknown, then
 * faulty headers, an unknown account, and a token that the account does not
 * list. An account that lists no token takes callers without one.
 * Why in this order: `stopping` and `not-ready` send the caller to another
 * entry, and neither says anything of the account.
 * Log event: none; the error kind is in the answer.
 */
import type { RequestError } from '@eidermast/common'
import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results-es'
import type { Configuration } from '../version/configuration.js'
import type { Account } from '../version/objects.js'
import type { Caller, CallerService } from './caller-service.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { ObjectKind } from '../version/objects.js'
import { parseCallerHeaders } from './caller-headers.js'
import { equalSecrets } from './peer-key.js'

/** Finds the caller of a request by its headers; an error says what the caller can do. */
export function identifyCaller(
  headers: IncomingHttpHeaders,
  configuration: Configuration,
  service: CallerService,
): Result<Caller, RequestError> {
  if (service.isRefusing())
    return Err(createError(ErrorKind.Stopping, 'This entry is stopping; send the request again, the balancer knows others.'))
  if (!service.knowsConfiguration())
    return Err(createError(ErrorKind.NotReady, 'This entry does not know its configuration yet; come back after the given time.'))
  const parsed = parseCallerHeaders(headers)
  if (parsed.isErr())
    return parsed
  const account = configuration.get(ObjectKind.Account, parsed.value.account)
  if (!account)
    return Err(createError(ErrorKind.UnknownAccount, 'The client account is not configured; check Eidermast-Account.'))
  if (!acceptsToken(account.value, parsed.value.tokenHash))
    return Err(createError(ErrorKind.Unauthenticated, 'The client account asks for a bearer token; send it in Authorization.'))
  return Ok({ headers: parsed.value, account })
}

function acceptsToken(account: Account, tokenHash: string | undefined): boolean {
  if (account.tokenHashes.length === 0)
    return true
  return tokenHash !== undefined && account.tokenHashes.some(accepted => equalSecrets(accepted, tokenHash))
}
