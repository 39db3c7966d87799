/**
 * What the tests may use of the command line; operators run its program.
 */
export { ExitCode, PUBLISH_EXIT_CODES } from './exit-codes.js'
export { formatStory, parseLogLine, readStory } from './request-story.js'
