/**
 * Exports for the tests. Operators run the `eidermast` program instead.
 */
export { ExitCode, PUBLISH_EXIT_CODES } from './exit-codes.js'
export { formatStory, parseLogLine, readStory } from './request-story.js'
