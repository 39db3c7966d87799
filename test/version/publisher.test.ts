import type { LogClient } from '@eidermast/daemon'
import type { StandInService } from '@eidermast/stand-ins'
import { PUBLISH_EXIT_CODES } from '@eidermast/command-line'
import { wait } from '@eidermast/common'
import { CallFailure, Checkpointer, Configuration, CONFIGURATION_STREAM, foldPage, HttpLogClient, NO_OFFSET, ObjectKind, publishChange, PublishOutcome, readConfiguration, resolvePlacement } from '@eidermast/daemon'
import { LogOutage, LogService } from '@eidermast/stand-ins'
import { Err, Ok } from 'ts-results-es'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createBackend, createChange, createTemplate } from '../support/fixtures.js'

let log: LogService
let service: StandInService
let client: HttpLogClient
let clock = 0

const RETENTION_MS = 1000

async function startLog(): Promise<void> {
  log = new LogService({ retentionMs: RETENTION_MS, now: () => clock })
  service = await log.start()
  client = new HttpLogClient({ url: service.url, timeoutMs: 300 })
}

beforeEach(() => startLog())

afterEach(async () => {
  await client.close()
  await service.close()
})

function publish(deadlineMs: number, base?: number) {
  return publishChange(client, { kind: ObjectKind.Template, name: 'a', value: createTemplate(deadlineMs), base, timeoutMs: 1500 })
}

describe('publishing', () => {
  test('reports an accepted change and its offset', async () => {
    expect(await publish(100)).toMatchObject({ outcome: PublishOutcome.Accepted, offset: 0 })
  })

  test('accepts the first of two racing changes and reports a conflict for the second', async () => {
    await publish(100)
    const outcomes = await Promise.all([publish(200, 0), publish(300, 0)])
    expect(outcomes.map(publication => publication.outcome).sort()).toEqual([PublishOutcome.Accepted, PublishOutcome.Conflict])
  })

  test('finds its record if the acknowledgement was lost, and does not append it again', async () => {
    log.setFaults({ dropAcknowledgements: 1 })
    expect(await publish(100)).toMatchObject({ outcome: PublishOutcome.Accepted, offset: 0 })
    const page = await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: 10, waitMs: 0 })
    expect(page.unwrap().records).toHaveLength(1)
  })

  test('takes effect once if the log performs the append twice', async () => {
    log.setFaults({ repeatAppends: 1 })
    await publish(100)
    const second = await publish(200, 0)
    await wait(400)
    const configuration = await readConfiguration(client)
    expect(second.outcome).toBe(PublishOutcome.Accepted)
    expect(configuration?.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(200)
  })

  test.each([LogOutage.Refuse, LogOutage.Hang])('reports that nothing was changed while the log is unavailable (%s)', async (outage) => {
    log.setFaults({ outage })
    expect((await publish(100)).outcome).toBe(PublishOutcome.Unreachable)
  })

  test('reports that nothing was changed while the log enforces its rate limit', async () => {
    log.setFaults({ refuseAppends: true })
    expect((await publish(100)).outcome).toBe(PublishOutcome.Unreachable)
  })
})

describe('a change whose acknowledgement and read-back both fail', () => {
  test('is reported as unknown, with a distinct exit code', async () => {
    const appended: unknown[] = []
    const lostAfterAppend: LogClient = {
      append: async (_stream, values) => {
        appended.push(...values)
        return Err({ failure: CallFailure.InDoubt, message: 'lost' })
      },
      read: async () => appended.length === 0
        ? Ok({ records: [], firstOffset: 0, nextOffset: 0 })
        : Err({ failure: CallFailure.InDoubt, message: 'out' }),
      close: async () => {},
    }
    const publication = await publishChange(lostAfterAppend, { kind: ObjectKind.Template, name: 'a', value: createTemplate(), timeoutMs: 300 })
    expect(publication.outcome).toBe(PublishOutcome.Unknown)
    expect(appended).toHaveLength(1)
    expect(new Set(Object.values(PUBLISH_EXIT_CODES)).size).toBe(Object.values(PublishOutcome).length)
  })
})

describe('checkpoints', () => {
  test('keep the configuration readable after its records are dropped', async () => {
    await publish(100)
    const configuration = (await readConfiguration(client))!
    const checkpointer = new Checkpointer(client, configuration, { retentionMs: RETENTION_MS, now: () => clock })
    expect(await checkpointer.appendIfDue(), 'a young log needs no checkpoint').toBe(false)
    clock += RETENTION_MS * 0.6
    expect(await checkpointer.appendIfDue()).toBe(true)
    expect(await checkpointer.appendIfDue(), 'a recent checkpoint is sufficient').toBe(false)
    clock += RETENTION_MS * 0.6
    const page = (await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: 10, waitMs: 0 })).unwrap()
    expect(page.firstOffset).toBe(1)
    const reader = new Configuration()
    foldPage(reader, page)
    expect(reader.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(100)
  })
})

/**
 * Guards against a change that is reported as unknown and never takes effect when
 * it is published after a log outage longer than the retention. The log has then
 * dropped all records, including the last checkpoint, until an entry appends the
 * next one. A change based on the remaining records has no base and conflicts
 * everywhere, and its record cannot be found without a checkpoint before it.
 */
describe('a change published before the log has a checkpoint again', () => {
  let checkpointer: Checkpointer

  beforeEach(async () => {
    await publish(100)
    const configuration = (await readConfiguration(client))!
    checkpointer = new Checkpointer(client, configuration, { retentionMs: RETENTION_MS, now: () => clock })
    clock += 2 * RETENTION_MS
  })

  test('waits for the checkpoint and is accepted', async () => {
    const published = publish(200)
    await wait(300)
    expect(await checkpointer.appendIfDue()).toBe(true)
    expect(await published).toMatchObject({ outcome: PublishOutcome.Accepted })
    expect((await readConfiguration(client))?.get(ObjectKind.Template, 'a')?.value.deadlineMs).toBe(200)
  })

  test('is not appended if no checkpoint follows, and nothing was changed', async () => {
    expect((await publish(200)).outcome).toBe(PublishOutcome.Unreachable)
    const page = await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: 10, waitMs: 0 })
    expect(page.unwrap().records).toEqual([])
  })

  test.each([
    ['accepted', 0, PublishOutcome.Accepted],
    ['in conflict', NO_OFFSET, PublishOutcome.Conflict],
  ])('is determined to be %s from a later checkpoint if the earlier one is dropped in the meantime', async (_name, base, outcome) => {
    await checkpointer.appendIfDue()
    let reads = 0
    const delayedClient: LogClient = {
      append: (stream, values, signal) => {
        clock += RETENTION_MS * 0.6
        return client.append(stream, values, signal)
      },
      read: async (options, signal) => {
        if (++reads === 2)
          await dropRecordsBeforeChange()
        return client.read(options, signal)
      },
      close: async () => {},
    }
    const change = { kind: ObjectKind.Template, name: 'a', value: createTemplate(200), base, timeoutMs: 1500 }
    expect(await publishChange(delayedClient, change)).toMatchObject({ outcome, offset: 2 })
  })

  /** Lets the log drop the first checkpoint but not the change, then appends a checkpoint that includes both. */
  async function dropRecordsBeforeChange(): Promise<void> {
    const configuration = (await readConfiguration(client))!
    clock += RETENTION_MS * 0.6
    const page = (await client.read({ stream: CONFIGURATION_STREAM, from: 0, limit: 10, waitMs: 0 })).unwrap()
    expect(page.firstOffset).toBe(2)
    await client.append(CONFIGURATION_STREAM, [configuration.checkpoint()])
  }
})

describe('placement', () => {
  test('depends only on the configuration, and uses the offset of the backend server\'s record as its fencing token', () => {
    const configuration = new Configuration()
    configuration.fold(0, createChange(ObjectKind.Backend, 'b', NO_OFFSET, createBackend({ model: 'm', version: 'v1' })))
    configuration.fold(1, createChange(ObjectKind.Template, 'a', NO_OFFSET, createTemplate()))
    expect(resolvePlacement(configuration, 'b')).toMatchObject({ fence: 0, model: 'm', version: 'v1' })
    configuration.fold(2, createChange(ObjectKind.Backend, 'b', 0, createBackend({ model: 'm', version: 'v2' })))
    expect(resolvePlacement(configuration, 'b')).toMatchObject({ fence: 2, version: 'v2' })
  })
})
