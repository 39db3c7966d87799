import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { ExitCode } from '@eidermast/command-line'
import { DeploymentName, LogOutage, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callPipeline, DEFAULT_ACCOUNT } from '../support/caller.js'

const PROGRAMS = {
  eidermast: path.resolve('packages/command-line/bin/eidermast.js'),
  eidermastd: path.resolve('packages/daemon/bin/eidermastd.js'),
}

const TEMPLATE = `
deadline-ms = 900
priority = high
[stage.encode]
service = encoder
cost-per-call = 1
[stage.generate]
service = language-model
model = transit-writer
version = v1
max-tokens = 4
`

interface Finished {
  exitCode: number
  output: string
  errors: string
}

let system: RunningSystem
let directory: string

beforeAll(async () => {
  system = await RunningSystem.launch({ deployment: resolveDeployment(DeploymentName.Small) })
  directory = mkdtempSync(path.join(tmpdir(), 'eidermast-test-'))
})

afterAll(async () => {
  rmSync(directory, { recursive: true, force: true })
  await system.stop()
})

function run(program: keyof typeof PROGRAMS, parameters: string[]): Promise<Finished> {
  return new Promise((resolve) => {
    execFile(process.execPath, [PROGRAMS[program], ...parameters], (error, output, errors) => {
      resolve({ exitCode: error ? Number(error.code) : 0, output, errors })
    })
  })
}

function operate(...parameters: string[]): Promise<Finished> {
  return run('eidermast', ['--settings', system.commandLineSettings, ...parameters])
}

async function operateJson<Value>(...parameters: string[]): Promise<Value> {
  const { output } = await operate('--json', ...parameters)
  return JSON.parse(output) as Value
}

function writeFile(name: string, text: string): string {
  const file = path.join(directory, name)
  writeFileSync(file, text)
  return file
}

describe('eidermast', () => {
  test('publishes a template that entries then serve', async () => {
    const published = await operate('template', 'publish', 'short', writeFile('short.ini', TEMPLATE))
    expect(published).toMatchObject({ exitCode: ExitCode.Accepted })
    await expect.poll(async () => (await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'short', input: 'x' })).status, { timeout: 10_000 }).toBe(200)
  })

  test('reports the conflict to the second of two racing operators', async () => {
    const file = writeFile('race.ini', TEMPLATE)
    await operate('template', 'publish', 'race', file)
    const { offset } = await operateJson<{ offset: number }>('template', 'show', 'race')
    const both = await Promise.all([1, 2].map(() => operate('template', 'publish', 'race', file, '--base', String(offset))))
    expect(both.map(finished => finished.exitCode).sort()).toEqual([ExitCode.Accepted, ExitCode.Conflict])
  })

  test('publishes, lists, shows and deletes a client account', async () => {
    const file = writeFile('account.ini', 'share = 2\nunrepeatable = rider-answer\n[versions]\ntransit-writer = v1\n')
    expect((await operate('account', 'publish', 'new-council', file)).exitCode).toBe(ExitCode.Accepted)
    expect((await operate('account', 'list')).output).toContain('new-council')
    expect(await operateJson('account', 'show', 'new-council')).toMatchObject({ value: { share: 2, unrepeatable: ['rider-answer'], versions: { 'transit-writer': 'v1' } } })
    expect((await operate('account', 'delete', 'new-council')).exitCode).toBe(ExitCode.Accepted)
    expect((await operate('account', 'show', 'new-council')).exitCode).toBe(ExitCode.NotFound)
  })

  test('accepts the JSON that show prints as input', async () => {
    const { value } = await operateJson<{ value: unknown }>('template', 'show', 'rider-answer')
    const file = writeFile('shown.json', JSON.stringify(value))
    expect((await operate('template', 'publish', 'copy', file)).exitCode).toBe(ExitCode.Accepted)
    expect((await operateJson<{ value: unknown }>('template', 'show', 'copy')).value).toEqual(value)
  })

  test('orders a backend server out and in again', async () => {
    const stateSeen = async (): Promise<boolean> => (await operate('status')).output.includes('encoder-2=ordered-out')
    expect((await operate('backend', 'out', 'encoder-2')).exitCode).toBe(ExitCode.Accepted)
    await expect.poll(stateSeen, { timeout: 10_000 }).toBe(true)
    expect((await operate('backend', 'in', 'encoder-2')).exitCode).toBe(ExitCode.Accepted)
    await expect.poll(stateSeen, { timeout: 10_000 }).toBe(false)
    expect((await operate('backend', 'show', 'encoder-2')).output).toContain('"order": "in"')
  })

  test('shows status of every process, as text and JSON', async () => {
    const asked = await operateJson<{ name: string, status: { pid: number } }[]>('status')
    expect(asked.map(process => process.name)).toEqual(expect.arrayContaining(['entry-1', 'entry-2', 'encoder-1', 'language-model-2']))
    expect(new Set(asked.map(process => process.status.pid)).size).toBe(asked.length)
  })

  test('explains where a request went and why', async () => {
    const answer = await callPipeline({ entryUrl: system.entryUrls[0], pipeline: 'rider-answer', input: 'x', account: DEFAULT_ACCOUNT })
    const explained = await operate('explain', answer.requestId!)
    expect(explained.exitCode).toBe(ExitCode.Accepted)
    for (const part of ['event=admit', 'event=choose stage=encode', 'event=choose stage=generate', 'event=answer'])
      expect(explained.output).toContain(part)
  })

  test('shows the configuration and the outcome of each record', async () => {
    expect((await operate('config', 'show')).output).toContain('rider-answer')
    const lines = await operateJson<{ outcome: string, name: string }[]>('config', 'history', '--limit', '1000')
    expect(lines.some(line => line.name === 'race' && line.outcome === 'conflict')).toBe(true)
  })

  test('runs a load and reports attainment', async () => {
    const report = await operateJson<{ overall: { sent: number, wrong: number, lost: number } }>('load', '--rate', '30', '--seconds', '2')
    expect(report.overall.sent).toBeGreaterThan(0)
    expect(report.overall).toMatchObject({ wrong: 0, lost: 0 })
  })

  test.each<[string, string[], ExitCode, string]>([
    ['an unknown command', ['bogus'], ExitCode.BadInput, 'unknown command'],
    ['a missing argument', ['template', 'publish', 'x'], ExitCode.BadInput, 'missing required argument'],
    ['an invalid offset', ['template', 'delete', 'x', '--base', 'newest'], ExitCode.BadInput, 'An offset is a whole number'],
    ['a missing file', ['template', 'publish', 'x', 'nowhere.ini'], ExitCode.BadInput, 'nowhere.ini'],
    ['a missing template', ['template', 'show', 'nowhere'], ExitCode.NotFound, 'no template is named nowhere'],
    ['a missing account', ['account', 'delete', 'nowhere'], ExitCode.NotFound, 'no account is named nowhere'],
    ['a missing backend server', ['backend', 'out', 'nowhere'], ExitCode.NotFound, 'no backend server is named nowhere'],
    ['a new backend server without its description', ['backend', 'in', 'new-1', '--service', 'encoder'], ExitCode.BadInput, 'virtualMachine'],
    ['an unknown request', ['explain', 'nowhere'], ExitCode.NotFound, 'no process keeps a decision'],
    ['a rate of zero', ['load', '--rate', '0'], ExitCode.BadInput, 'above 0'],
  ])('reports %s', async (_name, parameters, exitCode, message) => {
    const finished = await operate(...parameters)
    expect(finished.exitCode).toBe(exitCode)
    expect(finished.errors).toContain(message)
  })

  test('reports all errors of a template file at once, and sends nothing', async () => {
    const file = writeFile('faulty.ini', 'deadline-ms = soon\ncolour = red\n[stage.encode]\nservice = encoder\nmax-tokens = few\n')
    const checked = await operate('config', 'check', file, '--kind', 'template')
    expect(checked.exitCode).toBe(ExitCode.BadInput)
    for (const part of ['deadline-ms', 'colour', 'max-tokens'])
      expect(checked.errors).toContain(part)
    expect((await operate('template', 'publish', 'faulty', file)).exitCode).toBe(ExitCode.BadInput)
    expect((await operate('template', 'show', 'faulty')).exitCode).toBe(ExitCode.NotFound)
  })

  test('reports an unreachable log, and changes nothing', async () => {
    await system.setFaults(system.logServiceUrl, { outage: LogOutage.Refuse })
    const finished = await operate('backend', 'out', 'encoder-1')
    await system.setFaults(system.logServiceUrl, {})
    expect(finished.exitCode).toBe(ExitCode.Unreachable)
    expect((await operate('backend', 'show', 'encoder-1')).output).toContain('"order": "in"')
  })
})

describe('eidermastd', () => {
  test('reports all errors of its settings, starts nothing and exits with 2', async () => {
    const file = writeFile('faulty-daemon.ini', '[process]\nrole = leader\nkey = short\n[platform]\nlog = nowhere\n')
    for (const parameters of [['--settings', file], ['--settings', file, '--check']]) {
      const finished = await run('eidermastd', parameters)
      expect(finished.exitCode).toBe(2)
      for (const part of ['[process] role = leader', '[process] key = (hidden)', '[platform] log = nowhere', '[platform] weight-store = (absent)'])
        expect(finished.errors).toContain(part)
    }
  })

  test('checks valid settings without starting', async () => {
    const finished = await run('eidermastd', ['--settings', path.join(system.directory, 'entry-1.ini'), '--check'])
    expect(finished).toMatchObject({ exitCode: 0, output: 'the settings are good\n' })
  })
})
