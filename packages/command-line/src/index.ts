/**
 * Exports for the tests. Operators run the `eidermast` program instead.
 */
export { ExitCode, PUBLISH_EXIT_CODES } from './exit-codes.js'
export { formatTimeline, parseLogLine, readTimeline } from './request-timeline.js'
