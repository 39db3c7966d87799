import { execFileSync } from 'node:child_process'
import path from 'node:path'
import { ExitCode } from '@eidermast/command-line'
import { describe, expect, test } from 'vitest'

const TOOL = path.resolve('packages/command-line/bin/eidermast.js')

function readHelp(...command: string[]): string {
  return execFileSync(process.execPath, [TOOL, ...command, '--help'], { encoding: 'utf8' })
}

describe('the help text', () => {
  test('lists every exit code', () => {
    const listed = [...readHelp().matchAll(/^ {2}(\d) {2}\S/gm)].map(match => Number(match[1]))
    expect(listed).toEqual(Object.values(ExitCode).filter(code => typeof code === 'number'))
  })

  test.each(['template', 'account', 'backend', 'config', 'status', 'explain', 'load'])('of %s shows an example that calls it', (command) => {
    const examples = [...readHelp(command).matchAll(/^ {2}\$ eidermast (?:--json )?(\S+)/gm)].map(match => match[1])
    expect(examples.length).toBeGreaterThan(0)
    expect(new Set(examples)).toEqual(new Set([command]))
  })
})
