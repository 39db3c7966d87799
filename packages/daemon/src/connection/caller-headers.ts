/**
 * Parses and validates the headers of a caller's request. No unvalidated header
 * value reaches other processes. Pure: it does not check whether the account
 * exists.
 */
import type { RequestError } from '@eidermast/common'
import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'ts-results-es'
import { createHash } from 'node:crypto'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { MAX_DEADLINE_MS } from '../version/objects.js'
import { isRequestId } from './identity.js'

/** Validated headers of a caller's request. */
export interface CallerHeaders {
  account: string
  requestId?: string
  deadlineMs?: number
  unrepeatable: boolean
  ticket?: string
  /** Lower-case hexadecimal SHA-256 of the bearer token, if one was sent. */
  tokenHash?: string
  /** Whether the caller requests server-sent events. */
  stream: boolean
}

/** Matches the object names allowed by the configuration. */
const ACCOUNT_PATTERN = /^[a-z0-9][\w.-]{0,99}$/i
/** In characters. Several times the length of a ticket for the longest account name. */
const MAX_TICKET_LENGTH = 2000

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value.join(',') : value
}

function createInvalidRequest(message: string): Err<RequestError> {
  return Err(createError(ErrorKind.InvalidRequest, message))
}

/** Parses and validates the headers of a request. */
export function parseCallerHeaders(headers: IncomingHttpHeaders): Result<CallerHeaders, RequestError> {
  const account = readHeader(headers, 'eidermast-account')
  if (account === undefined || !ACCOUNT_PATTERN.test(account))
    return createInvalidRequest('Set the header Eidermast-Account to the name of your client account.')
  const requestId = readHeader(headers, 'eidermast-request-id')
  if (requestId !== undefined && !isRequestId(requestId))
    return createInvalidRequest('Eidermast-Request-Id must be a lower-case UUIDv7; omit it to have one generated.')
  const deadlineText = readHeader(headers, 'eidermast-deadline-ms')
  const deadlineMs = deadlineText === undefined ? undefined : parseDeadline(deadlineText)
  if (Number.isNaN(deadlineMs))
    return createInvalidRequest(`Eidermast-Deadline-Ms must be an integer number of milliseconds from 1 to ${MAX_DEADLINE_MS}.`)
  const unrepeatable = readHeader(headers, 'eidermast-unrepeatable') ?? 'false'
  if (unrepeatable !== 'true' && unrepeatable !== 'false')
    return createInvalidRequest('Eidermast-Unrepeatable must be true or false.')
  const ticket = readHeader(headers, 'eidermast-ticket')
  if (ticket !== undefined && ticket.length > MAX_TICKET_LENGTH)
    return createInvalidRequest('Eidermast-Ticket is too long; send it as returned by POST /v1/tickets.')
  if (ticket !== undefined && requestId !== undefined)
    return createInvalidRequest('Send either Eidermast-Ticket or Eidermast-Request-Id; a ticket contains its own request id.')
  return Ok({
    account,
    requestId,
    deadlineMs,
    unrepeatable: unrepeatable === 'true',
    ticket,
    tokenHash: hashBearerToken(readHeader(headers, 'authorization')),
    stream: (readHeader(headers, 'accept') ?? '').includes('text/event-stream'),
  })
}

function parseDeadline(text: string): number {
  if (!/^\d{1,9}$/.test(text))
    return Number.NaN
  const value = Number(text)
  return value >= 1 && value <= MAX_DEADLINE_MS ? value : Number.NaN
}

function hashBearerToken(authorization: string | undefined): string | undefined {
  const token = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1]
  return token === undefined ? undefined : createHash('sha256').update(token).digest('hex')
}
