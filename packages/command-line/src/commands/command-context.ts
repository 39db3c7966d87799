/**
 * What every command needs: the options of the whole command line, checked
 * settings, an operator's connection for the time of the command, its output
 * and help, and the failures that more than one command ends with.
 */
import type { SettingsError } from '@eidermast/common'
import type { Configuration, Publication } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { CommandLineSettings } from '../settings.js'
import { formatSettingsError } from '@eidermast/common'
import { CommandFailure, ExitCode, PUBLISH_EXIT_CODES } from '../exit-codes.js'
import { Operator } from '../operator.js'
import { loadCommandLineSettings } from '../settings.js'

/** Options of the whole command line. */
export interface GlobalOptions {
  /** Whether one JSON value is printed in place of text. */
  json: boolean
  /** Name of the settings file. */
  settings: string
}

/** The options given before a subcommand's own. */
export function globalOptions(command: Command): GlobalOptions {
  return command.optsWithGlobals<GlobalOptions>()
}

/** The settings; ends the command where they are faulty. */
export function requireSettings(options: GlobalOptions): CommandLineSettings {
  const settings = loadCommandLineSettings(options.settings)
  return settings.isErr() ? failWithFaults(settings.error) : settings.value
}

/** Runs a command's work with an operator's connection, which is closed after it. */
export async function withOperator<Value>(options: GlobalOptions, work: (operator: Operator) => Promise<Value>): Promise<Value> {
  const operator = new Operator(requireSettings(options))
  try {
    return await work(operator)
  }
  finally {
    await operator.close()
  }
}

/** The configuration on the log; ends the command where the log does not answer. */
export async function requireConfiguration(operator: Operator): Promise<Configuration> {
  return await operator.configuration() ?? failUnreachable()
}

/** Prints what became of a change and sets the exit code. */
export function reportPublication(options: GlobalOptions, publication: Publication): void {
  const offset = publication.offset === undefined ? '' : ` at offset ${publication.offset}`
  print(options, publication, [`${publication.outcome}${offset} (record ${publication.recordId})`])
  process.exitCode = PUBLISH_EXIT_CODES[publication.outcome]
}

/** Ends a command because of faults in a file. */
export function failWithFaults(faults: SettingsError[]): never {
  throw new CommandFailure(ExitCode.BadInput, faults.map(formatSettingsError).join('\n'))
}

/** Ends a command because the platform's log does not answer. */
export function failUnreachable(): never {
  throw new CommandFailure(ExitCode.Unreachable, 'the platform\'s log does not answer, or does not hold the whole configuration now; try again later')
}

/** Prints a value as JSON, or as lines. */
export function print(options: GlobalOptions, value: unknown, lines: string[]): void {
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

/** Formats command lines as a part of a help text. */
export function formatExamples(...lines: string[]): string {
  const heading = lines.length === 1 ? 'Example:' : 'Examples:'
  return [heading, ...lines.map(line => `  $ ${line}`)].join('\n')
}

/** Formats command lines for commander's `addHelpText`, which begins on the last line of the text before. */
export function exampleHelp(...lines: string[]): string {
  return `\n${formatExamples(...lines)}`
}
