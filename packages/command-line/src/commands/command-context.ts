/**
 * Helpers shared by all commands: global options, validated settings, an
 * operator connection for the duration of a command, output and help
 * formatting, and common failures.
 */
import type { SettingsError } from '@eidermast/common'
import type { Configuration, Publication } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { CommandLineSettings } from '../settings.js'
import { formatSettingsError } from '@eidermast/common'
import { CommandFailure, ExitCode, PUBLISH_EXIT_CODES } from '../exit-codes.js'
import { Operator } from '../operator.js'
import { loadCommandLineSettings } from '../settings.js'

/** Options that apply to every command. */
export interface GlobalOptions {
  /** Print a single JSON value instead of text. */
  json: boolean
  /** Path of the settings file. */
  settings: string
}

/** Returns the global options of a command. */
export function globalOptions(command: Command): GlobalOptions {
  return command.optsWithGlobals<GlobalOptions>()
}

/** Loads the settings; fails the command if they are invalid. */
export function requireSettings(options: GlobalOptions): CommandLineSettings {
  const settings = loadCommandLineSettings(options.settings)
  return settings.isErr() ? failWithErrors(settings.error) : settings.value
}

/** Runs a callback with an operator connection and closes the connection afterwards. */
export async function withOperator<Value>(options: GlobalOptions, work: (operator: Operator) => Promise<Value>): Promise<Value> {
  const operator = new Operator(requireSettings(options))
  try {
    return await work(operator)
  }
  finally {
    await operator.close()
  }
}

/** Reads the configuration from the log; fails the command if the log does not answer. */
export async function requireConfiguration(operator: Operator): Promise<Configuration> {
  return await operator.configuration() ?? failUnreachable()
}

/** Prints the outcome of a published change and sets the exit code. */
export function reportPublication(options: GlobalOptions, publication: Publication): void {
  const offset = publication.offset === undefined ? '' : ` at offset ${publication.offset}`
  print(options, publication, [`${publication.outcome}${offset} (record ${publication.recordId})`])
  process.exitCode = PUBLISH_EXIT_CODES[publication.outcome]
}

/** Fails a command because a file has validation errors. */
export function failWithErrors(errors: SettingsError[]): never {
  throw new CommandFailure(ExitCode.BadInput, errors.map(formatSettingsError).join('\n'))
}

/** Fails a command because the platform's log does not answer. */
export function failUnreachable(): never {
  throw new CommandFailure(ExitCode.Unreachable, 'the platform\'s log does not answer, or does not contain the complete configuration at the moment; try again later')
}

/** Prints a value as JSON or as lines of text, depending on the options. */
export function print(options: GlobalOptions, value: unknown, lines: string[]): void {
  if (options.json)
    console.log(JSON.stringify(value))
  else
    console.log(lines.join('\n'))
}

/** Pads the cells of each column to the same width. */
export function formatTable(rows: string[][]): string[] {
  const widths = rows[0]?.map((_, column) => Math.max(...rows.map(row => row[column].length))) ?? []
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd())
}

/** Formats example command lines for a help text. */
export function formatExamples(...lines: string[]): string {
  const heading = lines.length === 1 ? 'Example:' : 'Examples:'
  return [heading, ...lines.map(line => `  $ ${line}`)].join('\n')
}

/** Formats example command lines for commander's `addHelpText`, which does not insert a line break before the text. */
export function exampleHelp(...lines: string[]): string {
  return `\n${formatExamples(...lines)}`
}
