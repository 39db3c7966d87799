/**
 * The command `config`: check files, show the configuration and its history.
 */
import type { SettingsFault } from '@eidermast/common'
import type { Command } from 'commander'
import type { Result } from 'ts-results-es'
import { loadSettings, ObjectKind } from '@eidermast/daemon'
import { Option } from 'commander'
import { failUnreachable, failWithFaults, globalOptions, withOperator } from './context.js'
import { loadObjectFile } from './object-file.js'
import { formatTable, print } from './output.js'
import { loadCommandLineSettings } from './settings.js'

/** What a file to check may hold. */
enum CheckedFile {
  Template = 'template',
  Account = 'account',
  Daemon = 'daemon',
  CommandLine = 'command-line',
}

interface CheckOptions {
  kind: CheckedFile
}

interface HistoryOptions {
  limit: string
}

/** Adds the command `config`. */
export function addConfigCommands(program: Command): void {
  const group = program.command('config').description('check files, show the configuration and its history')
  group.command('check <file>')
    .description('check a file without sending it')
    .addOption(new Option('--kind <kind>', 'what the file holds').choices(Object.values(CheckedFile)).default(CheckedFile.Template))
    .action((file: string, options: CheckOptions, command: Command) => check(file, options.kind, command))
  group.command('show').description('show the whole configuration').action((_options: object, command: Command) => show(command))
  group.command('history')
    .description('show the records that the log still holds, and what became of each')
    .option('--limit <n>', 'how many of the newest to show', '50')
    .action((options: HistoryOptions, command: Command) => history(Number(options.limit), command))
}

function check(file: string, kind: CheckedFile, command: Command): void {
  const faults = findFaults(file, kind)
  if (faults.length > 0)
    failWithFaults(faults)
  print(globalOptions(command), { file, faults }, [`${file} is good`])
}

function findFaults(file: string, kind: CheckedFile): SettingsFault[] {
  switch (kind) {
    case CheckedFile.Daemon:
      return faultsOf(loadSettings(file))
    case CheckedFile.CommandLine:
      return faultsOf(loadCommandLineSettings(file))
    case CheckedFile.Template:
      return faultsOf(loadObjectFile(ObjectKind.Template, file))
    case CheckedFile.Account:
      return faultsOf(loadObjectFile(ObjectKind.Account, file))
  }
}

function faultsOf(result: Result<unknown, SettingsFault[]>): SettingsFault[] {
  return result.isErr() ? result.error : []
}

async function show(command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const configuration = await operator.configuration() ?? failUnreachable()
    const objects = Object.values(ObjectKind).flatMap(kind => configuration.list(kind).map(object => ({ kind, ...object })))
    const rows = objects.map(object => [object.kind, object.name, String(object.offset)])
    print(options, { offset: configuration.offset, objects }, [`offset ${configuration.offset}`, ...formatTable([['kind', 'name', 'offset'], ...rows])])
  })
}

async function history(limit: number, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const lines = (await operator.history() ?? failUnreachable()).slice(-limit)
    const rows = lines.map(line => [String(line.offset), new Date(line.time).toISOString(), line.kind, line.name, line.author || '-', line.outcome])
    print(options, lines, formatTable([['offset', 'time', 'kind', 'name', 'author', 'outcome'], ...rows]))
  })
}
