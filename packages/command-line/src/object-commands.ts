/**
 * The commands `template` and `account`: publish, show, list and delete.
 */
import type { ObjectKind } from '@eidermast/daemon'
import type { Command } from 'commander'
import type { FileKind } from './object-file.js'
import { InvalidArgumentError } from 'commander'
import { CommandFailure, failUnreachable, failWithFaults, globalOptions, reportPublication, withOperator } from './context.js'
import { ExitCode } from './exit-codes.js'
import { loadObjectFile } from './object-file.js'
import { formatTable, print } from './output.js'

interface ChangeOptions {
  base?: number
}

/** Parses an offset. */
export function parseOffset(text: string): number {
  if (!/^-1$|^\d+$/.test(text))
    throw new InvalidArgumentError('An offset is a whole number; -1 stands for an object that does not exist yet.')
  return Number(text)
}

const BASE_HELP = 'offset of the version that this change is based on; the newest where absent'

/** Adds the commands of one kind of object. */
export function addObjectCommands(program: Command, kind: FileKind, description: string): void {
  const group = program.command(kind).description(description)
  group.command('publish <name> <file>')
    .description('publish an INI file, or a JSON file as show prints it')
    .option('--base <offset>', BASE_HELP, parseOffset)
    .action((name: string, file: string, options: ChangeOptions, command: Command) => publish(kind, name, file, options, command))
  group.command('delete <name>')
    .description('delete it')
    .option('--base <offset>', BASE_HELP, parseOffset)
    .action((name: string, options: ChangeOptions, command: Command) => remove(kind, name, options, command))
  group.command('show <name>')
    .description('show its newest version')
    .action((name: string, _options: object, command: Command) => showObject(kind, name, command))
  group.command('list')
    .description('list all')
    .action((_options: object, command: Command) => listObjects(kind, command))
}

async function publish(kind: FileKind, name: string, file: string, change: ChangeOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  const value = loadObjectFile(kind, file)
  if (value.isErr())
    failWithFaults(value.error)
  await withOperator(options, async operator => reportPublication(options, await operator.publish({ kind, name, value: value.value, base: change.base })))
}

async function remove(kind: FileKind, name: string, change: ChangeOptions, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const configuration = await operator.configuration() ?? failUnreachable()
    if (!configuration.get(kind, name))
      throw new CommandFailure(ExitCode.NotFound, `no ${kind} is named ${name}`)
    reportPublication(options, await operator.publish({ kind, name, value: null, base: change.base }))
  })
}

/** Shows one object of any kind. */
export async function showObject(kind: ObjectKind, name: string, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const configuration = await operator.configuration() ?? failUnreachable()
    const object = configuration.get(kind, name)
    if (!object)
      throw new CommandFailure(ExitCode.NotFound, `no ${kind} is named ${name}`)
    print(options, object, [`${kind} ${name} at offset ${object.offset}`, JSON.stringify(object.value, undefined, 2)])
  })
}

/** Lists the objects of a kind. */
export async function listObjects(kind: ObjectKind, command: Command): Promise<void> {
  const options = globalOptions(command)
  await withOperator(options, async (operator) => {
    const configuration = await operator.configuration() ?? failUnreachable()
    const objects = configuration.list(kind)
    print(options, objects, formatTable([['name', 'offset'], ...objects.map(object => [object.name, String(object.offset)])]))
  })
}
