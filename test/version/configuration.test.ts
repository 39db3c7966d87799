import type { LogRecord } from '@eidermast/daemon'
import { Configuration, FoldOutcome, foldPage, NO_OFFSET, ObjectKind, RecordKind } from '@eidermast/daemon'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createBackend, createChange, createTemplate } from '../support/fixtures.js'

function record(offset: number, value: unknown): LogRecord {
  return { offset, time: 0, value }
}

describe('folding records', () => {
  test('accepts a change based on the newest version', () => {
    const configuration = new Configuration()
    expect(configuration.fold(0, createChange(ObjectKind.Template, 'a', NO_OFFSET, createTemplate(100)))).toBe(FoldOutcome.Accepted)
    expect(configuration.fold(1, createChange(ObjectKind.Template, 'a', 0, createTemplate(200)))).toBe(FoldOutcome.Accepted)
    expect(configuration.get(ObjectKind.Template, 'a')).toMatchObject({ offset: 1, value: { deadlineMs: 200 } })
  })

  test('rejects the second of two racing changes', () => {
    const configuration = new Configuration()
    configuration.fold(0, createChange(ObjectKind.Template, 'a', NO_OFFSET, createTemplate(100)))
    configuration.fold(1, createChange(ObjectKind.Template, 'a', 0, createTemplate(200)))
    expect(configuration.fold(2, createChange(ObjectKind.Template, 'a', 0, createTemplate(300)))).toBe(FoldOutcome.Conflict)
    expect(configuration.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(200)
  })

  test('applies a record that was appended twice only once', () => {
    const configuration = new Configuration()
    const change = createChange(ObjectKind.Template, 'a', NO_OFFSET, createTemplate(100))
    configuration.fold(0, change)
    configuration.fold(1, createChange(ObjectKind.Template, 'a', 0, createTemplate(200)))
    expect(configuration.fold(2, change)).toBe(FoldOutcome.Conflict)
    expect(configuration.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(200)
  })

  test('does not restore a deleted object from a delayed copy of its creation', () => {
    const configuration = new Configuration()
    const creation = createChange(ObjectKind.Template, 'a', NO_OFFSET, createTemplate(100))
    configuration.fold(0, creation)
    configuration.fold(1, createChange(ObjectKind.Template, 'a', 0, null))
    expect(configuration.fold(2, creation)).toBe(FoldOutcome.Conflict)
    expect(configuration.get(ObjectKind.Template, 'a')).toBeUndefined()
    expect(configuration.baseOffset(ObjectKind.Template, 'a')).toBe(1)
  })

  test.each([
    ['a number', 7],
    ['a record of another kind', { record: 'other' }],
    ['a change without an id', { record: RecordKind.Change, kind: 'template', name: 'a', base: -1, value: {} }],
  ])('skips %s and advances its offset', (_name, value) => {
    const configuration = new Configuration()
    expect(configuration.fold(0, value)).toBe(FoldOutcome.Malformed)
    expect(configuration.offset).toBe(0)
  })

  test('accepts a change whose value does not match its schema, but does not return the object', () => {
    const configuration = new Configuration()
    expect(configuration.fold(0, createChange(ObjectKind.Template, 'a', NO_OFFSET, { stages: [] }))).toBe(FoldOutcome.Accepted)
    expect(configuration.get(ObjectKind.Template, 'a')).toBeUndefined()
    expect(configuration.baseOffset(ObjectKind.Template, 'a')).toBe(0)
  })
})

describe('reading beyond the log\'s retention', () => {
  const changes = [
    createChange(ObjectKind.Template, 'a', NO_OFFSET, createTemplate(100)),
    createChange(ObjectKind.Backend, 'b', NO_OFFSET, createBackend()),
    createChange(ObjectKind.Template, 'a', 0, createTemplate(200)),
  ]

  function createFull(): Configuration {
    const configuration = new Configuration()
    changes.forEach((change, offset) => configuration.fold(offset, change))
    return configuration
  }

  test('applies a checkpoint and folds the records after it', () => {
    const checkpoint = createFull().checkpoint()
    const late = createChange(ObjectKind.Template, 'a', 2, createTemplate(300))
    const configuration = new Configuration()
    foldPage(configuration, { records: [record(3, checkpoint), record(4, late)], firstOffset: 3, nextOffset: 5 })
    expect(configuration.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(300)
    expect(configuration.get(ObjectKind.Backend, 'b')).toBeDefined()
  })

  test('folds records between the offset that a checkpoint includes and its own offset', () => {
    const checkpoint = createFull().checkpoint()
    const between = createChange(ObjectKind.Template, 'a', 2, createTemplate(300))
    const configuration = new Configuration()
    foldPage(configuration, { records: [record(3, between), record(4, checkpoint)], firstOffset: 3, nextOffset: 5 })
    expect(configuration.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(300)
  })

  test('does not fold past records that the log dropped without a checkpoint', () => {
    const configuration = new Configuration()
    foldPage(configuration, { records: [record(2, changes[2])], firstOffset: 2, nextOffset: 3 })
    expect(configuration.offset).toBe(NO_OFFSET)
  })

  test('does not revert to an older checkpoint', () => {
    const configuration = createFull()
    const old = new Configuration()
    old.fold(0, changes[0])
    configuration.applyCheckpoint(old.checkpoint())
    expect(configuration.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(200)
  })
})

describe('any combination of log records, differences and checkpoints', () => {
  const names = ['a', 'b', 'c']
  const historyArbitrary = fc.array(fc.record({
    name: fc.constantFrom(...names),
    deadlineMs: fc.integer({ min: 1, max: 1000 }),
    /** Number of offsets by which the writer's base is outdated; 0 is current. */
    behind: fc.constantFrom(0, 0, 0, 1),
    deletes: fc.boolean(),
  }), { minLength: 1, maxLength: 25 })
  const stepArbitrary = fc.array(fc.record({ kind: fc.constantFrom('log', 'difference', 'checkpoint'), upTo: fc.nat(24) }), { maxLength: 12 })

  test('leads to the same state and never reverts', () => {
    fc.assert(fc.property(historyArbitrary, stepArbitrary, (history, steps) => {
      const writer = new Configuration()
      const states: Configuration[] = []
      const records = history.map((change, offset) => {
        const base = writer.baseOffset(ObjectKind.Template, change.name) - change.behind
        const value = createChange(ObjectKind.Template, change.name, Math.max(NO_OFFSET, base), change.deletes ? null : createTemplate(change.deadlineMs))
        writer.fold(offset, value)
        const state = new Configuration()
        state.apply(writer.differenceSince(NO_OFFSET, [ObjectKind.Template]))
        states.push(state)
        return record(offset, value)
      })
      const reader = new Configuration()
      for (const { kind, upTo } of steps) {
        const last = Math.min(upTo, records.length - 1)
        const before = reader.offset
        if (kind === 'log')
          foldPage(reader, { records: records.slice(reader.offset + 1, last + 1), firstOffset: 0, nextOffset: records.length })
        else if (kind === 'difference')
          reader.apply(states[last].differenceSince(reader.offset, [ObjectKind.Template]))
        else
          reader.applyCheckpoint(states[last].checkpoint())
        expect(reader.offset).toBeGreaterThanOrEqual(before)
        if (reader.offset !== NO_OFFSET)
          expect(snapshot(reader)).toEqual(snapshot(states[reader.offset]))
      }
    }), { seed: 20261202, numRuns: 300 })
  })

  function snapshot(configuration: Configuration) {
    return names.map(name => [configuration.baseOffset(ObjectKind.Template, name), configuration.get(ObjectKind.Template, name)?.value.deadlineMs])
  }
})
