import type { LinkedBackend, LinkResult } from '@eidermast/daemon'
import { LinkOutcome, NO_OFFSET, RefusalReason, StageReplyKind, TriedBackends } from '@eidermast/daemon'
import { describe, expect, test } from 'vitest'
import { createLoad, createStageCall } from '../../support/fixtures.js'

const [FIRST, SECOND] = ['encoder-1', 'encoder-2'].map(backendName => ({ backendName } as LinkedBackend))
const REPLY = { identity: createStageCall().identity, offset: NO_OFFSET, load: createLoad() }
const REFUSED: LinkResult = { outcome: LinkOutcome.Replied, reply: { ...REPLY, kind: StageReplyKind.Refused, reason: RefusalReason.Full, retryAfterMs: 1 } }

describe('the backend servers that a stage can be tried on', () => {
  test.each<[string, LinkResult, LinkedBackend[]]>([
    ['include one whose connection was lost before the call was sent', { outcome: LinkOutcome.NotSent, message: '' }, [FIRST]],
    ['include one whose reply was lost', { outcome: LinkOutcome.Lost, message: '' }, [FIRST]],
    ['exclude one that refused the call', REFUSED, []],
  ])('%s, if there is no other', (_name, result, expected) => {
    const tried = new TriedBackends()
    tried.add(FIRST, result)
    expect(tried.select([FIRST])).toEqual(expected)
    expect(tried.select([FIRST, SECOND])).toEqual([SECOND])
  })
})
