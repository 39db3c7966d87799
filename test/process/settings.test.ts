import { formatLine, formatSettingsError } from '@eidermast/common'
import { parseSettings } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

const VALID = `
[process]
role = side
name = encoder-1
virtual-machine = vm-1
failure-domain = a
host = 127.0.0.1
key = a-key-of-sixteen-letters
[platform]
log = http://127.0.0.1:1
virtual-machines = http://127.0.0.1:2
weight-store = http://127.0.0.1:3
[side]
backend = http://127.0.0.1:4
`

function errorsOf(ini: string): string[] {
  const settings = parseSettings(ini)
  return settings.isErr() ? settings.error.map(formatSettingsError) : []
}

describe('daemon settings', () => {
  test('are completed with defaults', () => {
    const settings = parseSettings(VALID).unwrap()
    expect(settings.side).toMatchObject({ 'slots': 8, 'queue-limit': 64 })
    expect(settings.peers['greet-interval-ms']).toBe(500)
  })

  test.each([
    ['an unknown key', VALID.replace('[side]', '[side]\nslotz = 3'), '[side] slotz = 3: allowed is no key or section of this name'],
    ['an unknown section', `${VALID}\n[extra]\na = 1`, '[top level] extra = (section): allowed is no key or section of this name'],
    ['an unknown role', VALID.replace('role = side', 'role = leader'), '[process] role = leader: allowed is one of entry, side'],
    ['a number out of range', VALID.replace('[side]', '[side]\nslots = 0'), '[side] slots = 0: allowed is a whole number from 1 to 10000'],
    ['a value that is not a number', VALID.replace('[side]', '[side]\nslots = many'), '[side] slots = many: allowed is a whole number from 1 to 10000'],
    ['a URL with a path', VALID.replace('http://127.0.0.1:1', 'http://127.0.0.1:1/log'), '[platform] log = http://127.0.0.1:1/log: allowed is a URL such as http://10.0.0.1:8080, without a path'],
    ['a short key', VALID.replace('a-key-of-sixteen-letters', 'short'), '[process] key = (hidden): allowed is a secret of 16 characters or more'],
    ['a missing key', VALID.replace('failure-domain = a\n', ''), '[process] failure-domain = (absent): allowed is letters, digits, dots, underscores and hyphens'],
    ['a missing section', VALID.replace(/\[side\][\s\S]*/, ''), '[side] backend = (absent): allowed is the section [side] with a backend, since the role is side'],
    ['claims retained longer than the log retains records', `${VALID.replace('role = side', 'role = entry')}\n[entry]\nclaim-memory-ms = 86400000`.replace('[platform]', '[platform]\nlog-retention-ms = 60000'), '[entry] claim-memory-ms = 86400000: allowed is at most half of [platform] log-retention-ms'],
  ])('report %s', (_name, ini, fault) => {
    expect(errorsOf(ini)).toContain(fault)
  })

  test('report all errors at once', () => {
    const ini = VALID.replace('role = side', 'role = leader').replace('host = 127.0.0.1', 'host = not an address').replace('[side]', '[side]\nslots = -1\nqueue = lifo')
    expect(errorsOf(ini)).toHaveLength(4)
  })
})

describe('log lines', () => {
  test.each([
    ['plain values', { request: 'r', budgetMs: 12.34567 }, 'event=choose request=r budgetMs=12.346'],
    ['values with spaces or quotes', { message: 'say "no" now' }, 'event=choose message="say \\"no\\" now"'],
    ['absent values', { chosen: undefined, empty: '' }, 'event=choose empty=""'],
    ['line breaks, escaped on one line', { message: 'a\nb' }, 'event=choose message="a\\nb"'],
  ])('format %s', (_name, fields, line) => {
    expect(formatLine('choose', fields)).toBe(line)
  })
})
