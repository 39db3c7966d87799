/**
 * Reads what documentation pages may refer to: files of the repository, names in
 * sources, and the commands of the command line.
 */
import { execFileSync } from 'node:child_process'
import { existsSync, readdirSync } from 'node:fs'
import path from 'node:path'
import { readFromRoot, ROOT } from './pages.js'

const IGNORED_DIRECTORIES = new Set(['node_modules', 'dist', '.git', 'target'])

/** Subcommands and options listed in a help text. */
export interface CommandHelp {
  /** Subcommands; empty if there are none. */
  commands: string[]
  /** Options, such as `--json`. */
  options: string[]
}

/** Returns the paths of all files that are not installed or built, relative to the root. */
export function repositoryFiles(folder = ''): string[] {
  return readdirSync(path.join(ROOT, folder), { withFileTypes: true }).flatMap((entry) => {
    const file = path.posix.join(folder, entry.name)
    if (IGNORED_DIRECTORIES.has(entry.name))
      return []
    return entry.isDirectory() ? repositoryFiles(file) : [file]
  })
}

/** Returns the paths of all source modules, relative to the root. */
export function sourceModules(): string[] {
  return repositoryFiles().filter(file => /^(?:packages\/[^/]+|platform)\/src\/.*\.ts$/.test(file))
}

/** Returns the text of all modules, settings templates and deployment files. */
export function readSources(): string {
  const others = repositoryFiles().filter(file => /^(?:deploy|platform)\/[^/]+$|^[^/]*package\.json$/.test(file))
  return [...sourceModules(), ...others].map(readFromRoot).join('\n')
}

/** Whether a file or directory exists, by its path relative to the root. */
export function existsInRepository(file: string): boolean {
  return existsSync(path.join(ROOT, file))
}

const helpByCommand = new Map<string, CommandHelp>()

/** Returns the help of a command, such as `['template', 'publish']`; results are cached. */
export function readHelp(program: string, command: readonly string[]): CommandHelp {
  const key = [program, ...command].join(' ')
  const help = helpByCommand.get(key) ?? runHelp(program, command)
  helpByCommand.set(key, help)
  return help
}

function runHelp(program: string, command: readonly string[]): CommandHelp {
  const text = execFileSync(process.execPath, [path.join(ROOT, program), ...command, '--help'], { encoding: 'utf8' })
  const [, afterHeading = ''] = text.split('\nCommands:\n')
  const [list] = afterHeading.split('\n\n')
  return {
    commands: [...list.matchAll(/^ {2}([a-z]+)/gm)].map(match => match[1]),
    options: [...text.matchAll(/--[a-z]+(?:-[a-z]+)*/g)].map(match => match[0]),
  }
}
