/**
 * Output of the command line: plain lines for people, one JSON value with
 * `--json`.
 */

/** Options that every command takes. */
export interface OutputOptions {
  json: boolean
}

/** Prints a value as JSON, or as lines. */
export function print(options: OutputOptions, value: unknown, lines: string[]): void {
  if (options.json)
    console.log(JSON.stringify(value))
  else
    console.log(lines.join('\n'))
}

/** Formats rows in columns. */
export function formatTable(rows: string[][]): string[] {
  const widths = rows[0]?.map((_, column) => Math.max(...rows.map(row => row[column].length))) ?? []
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd())
}
