/**
 * The command group `config`: validates files and shows the configuration and
 * its history.
 */
import type { SettingsError } from '@eidermast/common'
import type { Command } from 'commander'
import type { Result } from 'ts-results-es'
import type { HistoryLine } from '../configuration-history.js'
import { loadSettings, ObjectKind } from '@eidermast/daemon'
import { Option } from 'commander'
import { loadObjectFile } from '../object-file.js'
import { loadCommandLineSettings } from '../settings.js'
import {
  exampleHelp,
  failUnreachable,
  failWithErrors,
  formatTable,
  globalOptions,
  print,
  requireConfiguration,
  withOperator,
} from './command-context.js'

/** Records that `history` shows by default: about one screen. */
const DEFAULT_HISTORY_LIMIT = 50

/** Kinds of files that `config check` validates. */
enum CheckedFileKind {
  Template = 'template',
  Account = 'account',
  Daemon = 'daemon',
  CommandLine = 'command-line',
}

interface CheckOptions {
  kind: CheckedFileKind
}

interface HistoryOptions {
  limit: string
}

/** Adds the group `config`. */
export function addConfigCommands(program: Command): void {
  const group = program.command('config').description('validate files, show the configuration and its history')
  group.command('check <file>')
    .description('validate a file and report all errors; nothing is sent')
    .addOption(new Option('--kind <kind>', 'kind of the file').choices(Object.values(CheckedFileKind)).default(CheckedFileKind.Template))
    .addHelpText('after', exampleHelp('eidermast config check rider-answer.ini', 'eidermast config check entry-1.ini --kind daemon'))
    .action((file: string, options: CheckOptions, command: Command) => check(file, options.kind, command))
  group.command('show')
    .description('show the offsets of the configuration and of all objects in it')
    .action((_options: object, command: Command) => show(command))
  group.command('history')
    .description('show the records that the log still retains and the outcome of each')
    .option('--limit <n>', 'number of newest records to show', String(DEFAULT_HISTORY_LIMIT))
    .action((options: HistoryOptions, command: Command) => history(Number(options.limit), command))
  group.addHelpText('after', exampleHelp(
    'eidermast config check rider-answer.ini',
    'eidermast config history --limit 10',
  ))
}

function check(file: string, kind: CheckedFileKind, command: Command): void {
  const errors = findErrors(file, kind)
  if (errors.length > 0)
    failWithErrors(errors)
  print(globalOptions(command), { file, faults: errors }, [`${file} is valid`])
}

function findErrors(file: string, kind: CheckedFileKind): SettingsError[] {
  switch (kind) {
    case CheckedFileKind.Daemon:
      return errorsOf(loadSettings(file))
    case CheckedFileKind.CommandLine:
      return errorsOf(loadCommandLineSettings(file))
    case CheckedFileKind.Template:
      return errorsOf(loadObjectFile(ObjectKind.Template, file))
    case CheckedFileKind.Account:
      return errorsOf(loadObjectFile(ObjectKind.Account, file))
  }
}

function errorsOf(result: Result<unknown, SettingsError[]>): SettingsError[] {
  return result.isErr() ? result.error : []
}

async function show(command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const configuration = await requireConfiguration(operator)
    const objects = Object.values(ObjectKind).flatMap(kind => configuration.list(kind).map(object => ({ kind, ...object })))
    const rows = objects.map(object => [object.kind, object.name, String(object.offset)])
    const table = formatTable([['kind', 'name', 'offset'], ...rows])
    print(options, { offset: configuration.offset, objects }, [`offset ${configuration.offset}`, ...table])
  })
}

async function history(limit: number, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const lines = (await operator.history() ?? failUnreachable()).slice(-limit)
    print(options, lines, formatTable([['offset', 'time', 'kind', 'name', 'author', 'outcome'], ...lines.map(formatHistoryRow)]))
  })
}

function formatHistoryRow({ offset, time, kind, name, author, outcome }: HistoryLine): string[] {
  return [String(offset), new Date(time).toISOString(), kind, name, author || '-', outcome]
}
