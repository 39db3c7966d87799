import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { ExitCode, formatTimeline, parseLogLine, readTimeline } from '@eidermast/command-line'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'

const TOOL = path.resolve('packages/command-line/bin/eidermast.js')
const COMMON = { process: 'gateway-a', zone: 'zone-a' }
const REFUSED = JSON.stringify({ ...COMMON, time: '2026-12-02T10:00:00.250Z', event: 'request-ended', request: 'id-1', outcome: 'overloaded', tookMs: 2 })
const ADMISSION = JSON.stringify({ ...COMMON, process: 'gateway-b', time: '2026-12-02T10:00:00.248Z', event: 'stages-admission', request: 'id-1', decision: 'refused' })
const CALL = JSON.stringify({ ...COMMON, time: '2026-12-02T10:00:01.000Z', event: 'stage-call', requests: 'id-0,id-1,id-2', pieces: 4 })
const OTHER = JSON.stringify({ ...COMMON, time: '2026-12-02T10:00:01.000Z', event: 'request-ended', request: 'id-10' })

async function* texts(...lines: string[]): AsyncGenerator<string> {
  yield* lines
}

let directory: string

beforeAll(() => {
  directory = mkdtempSync(path.join(tmpdir(), 'eidermast-timeline-'))
})
afterAll(() => rmSync(directory, { recursive: true, force: true }))

function explain(parameters: string[], input?: string): Promise<{ exitCode: number, output: string, errors: string }> {
  return new Promise((resolve) => {
    const child = execFile(process.execPath, [TOOL, ...parameters], (error, output, errors) => {
      resolve({ exitCode: error ? Number(error.code) : 0, output, errors })
    })
    child.stdin!.end(input)
  })
}

describe('a log line', () => {
  test.each([
    ['as it was written', REFUSED],
    ['after a prefix added by a log collector', `Dec  2 10:00:00 vm-17 gateway[12]: ${REFUSED}`],
  ])('is read %s', (_name, text) => {
    expect(parseLogLine(text)).toMatchObject({ at: Date.parse('2026-12-02T10:00:00.250Z'), process: 'gateway-a', event: 'request-ended', fields: { request: 'id-1', tookMs: 2 } })
  })

  test.each([
    ['plain text', 'listening on port 1'],
    ['a truncated line', REFUSED.slice(0, 40)],
    ['another program\'s JSON', '{"level":"info"}'],
    ['JSON with a nested value', REFUSED.replace('"tookMs":2', '"tookMs":{"value":2}')],
  ])('is skipped if it is %s', (_name, text) => {
    expect(parseLogLine(text)).toBeUndefined()
  })
})

describe('the timeline of a request', () => {
  test('contains the lines of a request that resumes its stream', async () => {
    const resumed = JSON.stringify({ ...COMMON, time: '2026-12-02T10:00:03.000Z', event: 'route', request: 'id-7', resumes: 'id-1', version: 'v1' })
    expect((await readTimeline('id-1', texts(REFUSED, OTHER, resumed))).lines.map(({ event }) => event)).toEqual(['request-ended', 'route'])
  })

  test('contains only the lines that name it, alone or in a batched call, sorted by time', async () => {
    const timeline = await readTimeline('id-1', texts(CALL, REFUSED, OTHER, 'noise', '', ADMISSION))
    expect(timeline).toMatchObject({ read: 5, skipped: 1 })
    expect(formatTimeline(timeline)).toEqual([
      '  0 ms  gateway-b  event=stages-admission decision=refused',
      '  2 ms  gateway-a  event=request-ended outcome=overloaded tookMs=2',
      '752 ms  gateway-a  event=stage-call pieces=4',
    ])
  })
})

describe('eidermast explain --logs', () => {
  test('reads several files, or standard input', async () => {
    const [first, second] = ['a.log', 'b.log'].map(name => path.join(directory, name))
    writeFileSync(first, `${REFUSED}\n${OTHER}\n`)
    writeFileSync(second, `${ADMISSION}\n`)
    const fromFiles = await explain(['explain', 'id-1', '--logs', first, second])
    expect(fromFiles.exitCode).toBe(ExitCode.Accepted)
    expect(fromFiles.output.trim().split('\n')).toHaveLength(2)
    const fromInput = await explain(['--json', 'explain', 'id-1', '--logs', '-'], `${REFUSED}\n${ADMISSION}\n`)
    expect(JSON.parse(fromInput.output).lines.map((line: { process: string }) => line.process)).toEqual(['gateway-b', 'gateway-a'])
  })

  test.each([
    ['no line names the request', ['id-404', '--logs', '-'], ExitCode.NotFound, 'none of the 1 lines mentions id-404'],
    ['a file cannot be read', ['id-1', '--logs', 'no-such.log'], ExitCode.BadInput, 'no-such.log'],
  ])('explains the error if %s', async (_name, parameters, exitCode, message) => {
    const result = await explain(['explain', ...parameters], `${OTHER}\n`)
    expect(result.exitCode).toBe(exitCode)
    expect(result.errors).toContain(message)
  })
})
