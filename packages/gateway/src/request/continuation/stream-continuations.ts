/**
 * What the request path needs to know of streams that go on in another answer;
 * implemented by the process.
 */
import type { RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { Backend } from '../../connection/backends/backend.js'
import type { RoutedRequest } from '../routed-request.js'
import type { StreamOrigin } from './stream-origin.js'

/** Records where streams begin, and finds it again when a client resumes them. */
export interface StreamContinuations {
  /** Whether an entry of a service has named a software version. */
  namesVersions: (service: string) => boolean
  /** Milliseconds for which the version of a backend server has been listed; Infinity if it was before this process started. */
  versionAgeMs: (backend: Backend) => number
  /** Records that the first event of a request's answer, written by this version (undefined if it is not named), is passed on. */
  recordBegun: (request: RoutedRequest, version: string | undefined) => void
  /** Finds where the stream began that a request resumes; undefined if it may go on anywhere. Returns an error if that is not known. */
  findOrigin: (request: RoutedRequest) => Promise<Result<StreamOrigin | undefined, RequestError>>
}
