import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { parseSettings } from '@eidermast/daemon'
import { parseGatewaySettings } from '@eidermast/gateway'
import { afterAll, describe, expect, test } from 'vitest'
import { codeBlocks, codeSpans, currentPages, readFromRoot, ROOT } from './support/pages.js'
import { existsInRepository, readHelp } from './support/sources.js'

const OPERATOR_TOOL = 'packages/command-line/bin/eidermast.js'
const DAEMON = 'packages/daemon/bin/eidermastd.js'

const shellLines = currentPages().flatMap(codeBlocks).filter(block => block.language === 'sh').flatMap(block => block.text.split('\n'))
const iniBlocks = currentPages().flatMap(codeBlocks).filter(block => block.language === 'ini')
/** All code on the pages that may be a command, without trailing comments. */
const commands = [...currentPages().flatMap(codeSpans).map(span => span.text), ...shellLines].map(text => text.replace(/\s+#.*$/, ''))

/** Words of the `eidermast` commands on the pages, such as `['template', 'publish', 'NAME', 'FILE']`. */
const operatorCommands = commands
  .map(text => /^(?:npx )?eidermast ((?:\[?--|[a-z]).*)$/.exec(text)?.[1])
  .filter(text => text !== undefined)
  .map(text => text.split(/\s+/).map(word => word.replaceAll(/[[\]]/g, '')))

const settingsFolder = mkdtempSync(path.join(tmpdir(), 'eidermast-pages-'))
afterAll(() => rmSync(settingsFolder, { recursive: true }))

/** Runs the operators' tool; throws if its exit code is not 0. */
function runOperatorTool(...words: string[]): void {
  execFileSync(process.execPath, [path.join(ROOT, OPERATOR_TOOL), ...words], { stdio: 'pipe' })
}

describe('commands on the pages', () => {
  test('run scripts of the package that exist', () => {
    const { scripts } = JSON.parse(readFromRoot('package.json')) as { scripts: Record<string, string> }
    const named = commands.flatMap(text => [...text.matchAll(/\bnpm (?:run ([\w:]+)|(test|start)\b)/g)].map(match => match[1] ?? match[2]))
    expect(named).toContain('demo')
    expect(named.filter(name => !(name in scripts))).toEqual([])
  })

  test('run files that exist', () => {
    const named = commands.flatMap(text => [...text.matchAll(/(?:^|\s)((?:\.ci|test|platform)\/[\w./-]+)/g)].map(match => match[1]))
    expect(named).toContain('platform/build.mjs')
    expect(named.filter(file => !existsInRepository(file))).toEqual([])
  })

  test('are commands of the operators\' tool, with options that it supports', () => {
    const { commands: topLevel, options } = readHelp(OPERATOR_TOOL, [])
    expect(operatorCommands.length).toBeGreaterThan(15)
    for (const words of operatorCommands) {
      const ownWords = skipGlobalOptions(words)
      const [command, below] = ownWords
      if (command === undefined || command === 'COMMAND')
        continue
      expect(topLevel).toContain(command)
      const help = readHelp(OPERATOR_TOOL, [command])
      const isGroup = help.commands.length > 0 && below !== undefined
      if (isGroup)
        expect(help.commands, words.join(' ')).toContain(below)
      const unknown = words.filter(word => word.startsWith('--') && !options.includes(word) && !help.options.includes(word))
      const known = isGroup && unknown.length > 0 ? readHelp(OPERATOR_TOOL, [command, below]).options : []
      expect(unknown.filter(word => !known.includes(word)), words.join(' ')).toEqual([])
    }
  })

  test('name every command of the operators\' tool', () => {
    const groups = readHelp(OPERATOR_TOOL, []).commands.filter(command => command !== 'help')
    const all = groups.flatMap((group) => {
      const below = readHelp(OPERATOR_TOOL, [group]).commands.filter(command => command !== 'help')
      return below.length === 0 ? [group] : below.map(command => `${group} ${command}`)
    })
    const named = operatorCommands.map(words => skipGlobalOptions(words).join(' '))
    expect(all.filter(command => !named.some(text => text === command || text.startsWith(`${command} `)))).toEqual([])
  })

  test('pass only options that the daemon supports', () => {
    const { options } = readHelp(DAEMON, [])
    const words = commands.filter(text => text.startsWith('eidermastd ')).flatMap(text => text.split(/\s+/))
    const named = words.filter(word => word.startsWith('--'))
    expect(named).toContain('--check')
    expect(named.filter(option => !options.includes(option))).toEqual([])
  })
})

describe('example files on the pages', () => {
  test('are settings that the daemon accepts', () => {
    const blocks = iniBlocks.filter(block => block.text.includes('[process]'))
    expect(blocks.length).toBeGreaterThan(0)
    for (const block of blocks)
      expect(parseSettings(block.text).isOk(), JSON.stringify(parseSettings(block.text))).toBe(true)
  })

  test('are templates and client accounts that the operators\' tool accepts', () => {
    const blocks = iniBlocks.filter(block => !block.text.includes('[process]'))
    expect(blocks.length).toBeGreaterThan(1)
    for (const [index, block] of blocks.entries()) {
      const kind = /^; (template|account)$/m.exec(block.text)?.[1]
      const file = path.join(settingsFolder, `${index}.ini`)
      writeFileSync(file, block.text)
      expect(kind, 'the first line states the kind of the file').toBeDefined()
      runOperatorTool('config', 'check', file, '--kind', kind!)
    }
  })

  test('include a settings template that a gateway accepts once it is filled in', () => {
    const filled = readFromRoot('platform/settings.ini')
      .replace(/^clients = .*$/m, 'clients = 127.0.0.1:1')
      .replace(/^readiness = .*$/m, 'readiness = 127.0.0.1:2')
      .replaceAll(/\{\{[^}]*\}\}/g, '3')
    const parsed = parseGatewaySettings(filled)
    expect(parsed.isOk(), JSON.stringify(parsed)).toBe(true)
  })
})

/** Removes the global options in front of a command. */
function skipGlobalOptions(words: readonly string[]): string[] {
  const rest = [...words]
  while (rest[0]?.startsWith('--'))
    rest.splice(0, rest[0] === '--json' ? 1 : 2)
  return rest
}
