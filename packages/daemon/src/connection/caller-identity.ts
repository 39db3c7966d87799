/**
 * Decides whether a caller's request is accepted, before its body is read.
 *
 * Inputs: whether the process is stopping, whether it has a configuration and
 * whether that is fresh (current state); the request's headers; the client
 * account (as of this process's configuration).
 *
 * Checked in this order: the process is stopping, the configuration is unknown,
 * the headers are invalid, the account is unknown, the account does not list the
 * token. An account without tokens accepts callers without a token. The last two
 * reject a request for good only if the configuration is fresh
 * (`configuration-denial.ts`).
 *
 * `stopping` and `not-ready` come first because they send the caller to another
 * entry and reveal nothing about the account.
 *
 * Log event: none; the error kind is in the response.
 */
import type { RequestError } from '@eidermast/common'
import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results-es'
import type { Configuration, UsableObject } from '../version/configuration.js'
import type { Account } from '../version/objects.js'
import type { CallerHeaders } from './caller-headers.js'
import type { Caller, CallerService } from './caller-service.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { ObjectKind } from '../version/objects.js'
import { parseCallerHeaders } from './caller-headers.js'
import { errorOfDenial } from './configuration-denial.js'
import { equalSecrets } from './peer-key.js'

/** Authenticates the caller of a request by its headers; an error describes how the caller can proceed. */
export function identifyCaller(
  headers: IncomingHttpHeaders,
  configuration: Configuration,
  service: CallerService,
): Result<Caller, RequestError> {
  if (service.isRefusing())
    return Err(errorOfStopping())
  if (!service.knowsConfiguration())
    return Err(createError(ErrorKind.NotReady, 'This entry has not loaded its configuration yet; retry after the indicated delay.'))
  const parsed = parseCallerHeaders(headers)
  if (parsed.isErr())
    return parsed
  return findAccount(parsed.value, configuration)
    .map(account => ({ headers: parsed.value, account }))
    .mapErr(denial => errorOfDenial(denial, service.configurationFreshness))
}

/** The error of a request to an entry that is stopping. */
export function errorOfStopping(): RequestError {
  return createError(ErrorKind.Stopping, 'This entry is stopping; send the request again, and the load balancer will route it to another entry.')
}

/** Finds the account that a request names and whose token it has. */
function findAccount({ account: name, tokenHash }: CallerHeaders, configuration: Configuration): Result<UsableObject<Account>, RequestError> {
  const account = configuration.get(ObjectKind.Account, name)
  if (!account)
    return Err(createError(ErrorKind.UnknownAccount, 'The client account is not configured; check Eidermast-Account.'))
  if (!acceptsToken(account.value, tokenHash))
    return Err(createError(ErrorKind.Unauthenticated, 'The client account requires a valid bearer token; send it in the Authorization header.'))
  return Ok(account)
}

function acceptsToken(account: Account, tokenHash: string | undefined): boolean {
  if (account.tokenHashes.length === 0)
    return true
  return tokenHash !== undefined && account.tokenHashes.some(accepted => equalSecrets(accepted, tokenHash))
}
