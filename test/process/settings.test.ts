import { formatLine, formatSettingsError } from '@eidermast/common'
import { parseSettings } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'

const GOOD = `
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

function faultsOf(ini: string): string[] {
  const settings = parseSettings(ini)
  return settings.isErr() ? settings.error.map(formatSettingsError) : []
}

describe('daemon settings', () => {
  test('resolve defaults', () => {
    const settings = parseSettings(GOOD).unwrap()
    expect(settings.side).toMatchObject({ 'slots': 8, 'queue-limit': 64 })
    expect(settings.peers['greet-interval-ms']).toBe(500)
  })

  test.each([
    ['an unknown key', GOOD.replace('[side]', '[side]\nslotz = 3'), '[side] slotz = 3: allowed is no key or section of this name'],
    ['an unknown section', `${GOOD}\n[extra]\na = 1`, '[top level] extra = (section): allowed is no key or section of this name'],
    ['a role that is none', GOOD.replace('role = side', 'role = leader'), '[process] role = leader: allowed is one of entry, side'],
    ['a number out of range', GOOD.replace('[side]', '[side]\nslots = 0'), '[side] slots = 0: allowed is a whole number from 1 to 10000'],
    ['a number that is none', GOOD.replace('[side]', '[side]\nslots = many'), '[side] slots = many: allowed is a whole number from 1 to 10000'],
    ['a URL with a path', GOOD.replace('http://127.0.0.1:1', 'http://127.0.0.1:1/log'), '[platform] log = http://127.0.0.1:1/log: allowed is a URL such as http://10.0.0.1:8080, without a path'],
    ['a short key', GOOD.replace('a-key-of-sixteen-letters', 'short'), '[process] key = (hidden): allowed is a secret of 16 characters or more'],
    ['a missing key', GOOD.replace('failure-domain = a\n', ''), '[process] failure-domain = (absent): allowed is letters, digits, dots, underscores and hyphens'],
    ['a missing section', GOOD.replace(/\[side\][\s\S]*/, ''), '[side] backend = (absent): allowed is the section [side] with a backend, since the role is side'],
    ['claims remembered longer than the log keeps them', `${GOOD.replace('role = side', 'role = entry')}\n[entry]\nclaim-memory-ms = 86400000`.replace('[platform]', '[platform]\nlog-retention-ms = 60000'), '[entry] claim-memory-ms = 86400000: allowed is at most half of [platform] log-retention-ms'],
  ])('name %s', (_name, ini, fault) => {
    expect(faultsOf(ini)).toContain(fault)
  })

  test('name every fault in one run', () => {
    const ini = GOOD.replace('role = side', 'role = leader').replace('host = 127.0.0.1', 'host = not an address').replace('[side]', '[side]\nslots = -1\nqueue = lifo')
    expect(faultsOf(ini)).toHaveLength(4)
  })
})

describe('log lines', () => {
  test.each([
    ['plain values', { request: 'r', budgetMs: 12.34567 }, 'event=choose request=r budgetMs=12.346'],
    ['values with spaces or quotes', { message: 'say "no" now' }, 'event=choose message="say \\"no\\" now"'],
    ['absent values', { chosen: undefined, empty: '' }, 'event=choose empty=""'],
    ['line breaks, in one line', { message: 'a\nb' }, 'event=choose message="a\\nb"'],
  ])('hold %s', (_name, fields, line) => {
    expect(formatLine('choose', fields)).toBe(line)
  })
})
