/**
 * Examples at the end of a command's help text.
 */

/** Formats command lines as a part of a help text. */
export function formatExamples(...lines: string[]): string {
  const heading = lines.length === 1 ? 'Example:' : 'Examples:'
  return [heading, ...lines.map(line => `  $ ${line}`)].join('\n')
}

/** Formats command lines for commander's `addHelpText`, which begins on the last line of the text before. */
export function exampleHelp(...lines: string[]): string {
  return `\n${formatExamples(...lines)}`
}
