/**
 * What the repository holds that a page may name: files, names in sources,
 * and the commands of the command line.
 */
import { execFileSync } from 'node:child_process'
import { existsSync, readdirSync } from 'node:fs'
import path from 'node:path'
import { readFromRoot, ROOT } from './pages.js'

const LEFT_OUT = new Set(['node_modules', 'dist', '.git', 'target'])

/** A command of the command line, with what follows it. */
export interface CommandHelp {
  /** Commands below it; empty where it has none. */
  commands: string[]
  /** Options, such as `--json`. */
  options: string[]
}

/** Paths, from the root, of every file that is not installed or built. */
export function repositoryFiles(folder = ''): string[] {
  return readdirSync(path.join(ROOT, folder), { withFileTypes: true }).flatMap((entry) => {
    const file = path.posix.join(folder, entry.name)
    if (LEFT_OUT.has(entry.name))
      return []
    return entry.isDirectory() ? repositoryFiles(file) : [file]
  })
}

/** Paths, from the root, of every module of the programs. */
export function sourceModules(): string[] {
  return repositoryFiles().filter(file => /^(?:packages\/[^/]+|platform)\/src\/.*\.ts$/.test(file))
}

/** The text of all modules, settings templates and deployment files. */
export function readSources(): string {
  const others = repositoryFiles().filter(file => /^(?:deploy|platform)\/[^/]+$|^[^/]*package\.json$/.test(file))
  return [...sourceModules(), ...others].map(readFromRoot).join('\n')
}

/** Whether a file or folder exists, by its path from the root. */
export function existsInRepository(file: string): boolean {
  return existsSync(path.join(ROOT, file))
}

const helpByCommand = new Map<string, CommandHelp>()

/** The help of a command of the command line, such as `['template', 'publish']`; each is asked for once. */
export function readHelp(program: string, command: readonly string[]): CommandHelp {
  const key = [program, ...command].join(' ')
  const help = helpByCommand.get(key) ?? askForHelp(program, command)
  helpByCommand.set(key, help)
  return help
}

function askForHelp(program: string, command: readonly string[]): CommandHelp {
  const text = execFileSync(process.execPath, [path.join(ROOT, program), ...command, '--help'], { encoding: 'utf8' })
  const [, afterHeading = ''] = text.split('\nCommands:\n')
  const [list] = afterHeading.split('\n\n')
  return {
    commands: [...list.matchAll(/^ {2}([a-z]+)/gm)].map(match => match[1]),
    options: [...text.matchAll(/--[a-z]+(?:-[a-z]+)*/g)].map(match => match[0]),
  }
}
