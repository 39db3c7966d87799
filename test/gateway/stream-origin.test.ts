import type { OriginInputs, OriginReply } from '@eidermast/gateway'
import { decideOrigin, OriginSource, streamKeyOf } from '@eidermast/gateway'
import { describe, expect, test } from 'vitest'

const V1 = { version: 'v1', ageMs: Number.POSITIVE_INFINITY }
const V2 = { version: 'v2', ageMs: 60_000 }
const NEW_V2 = { version: 'v2', ageMs: 500 }
const UNNAMED = { version: '', ageMs: Number.POSITIVE_INFINITY }
const ONE = { versions: [V1], isComplete: true }
const TWO = { versions: [V1, V2], isComplete: true }
const NEW = { versions: [V1, NEW_V2], isComplete: true }

/** Nobody knows the stream, all peers answered, and all know that only v1 has served. */
const INPUTS: OriginInputs = { record: undefined, replies: [createReply(), createReply()], silent: 0, reachesOtherDomains: true, view: ONE, listAgeMs: 100, hasJustChanged: false }

function createReply(change: Partial<OriginReply> = {}): OriginReply {
  return { peer: 'gateway-b', record: undefined, ...ONE, ...change }
}

const UNKNOWING_TWO = createReply(TWO)

describe('a stream that a client resumes', () => {
  test.each<{ title: string, change: Partial<OriginInputs>, source: OriginSource, version?: string }>([
    { title: 'goes on as recorded here', change: { record: { version: 'v2' }, view: TWO, replies: [] }, source: OriginSource.Recorded, version: 'v2' },
    { title: 'goes on as a peer reports', change: { view: TWO, replies: [UNKNOWING_TWO, createReply({ ...TWO, record: { version: 'v2' } })] }, source: OriginSource.Reported, version: 'v2' },
    { title: 'goes on as a peer reports though this process lists one version only', change: { replies: [createReply({ record: { version: 'v2' } })] }, source: OriginSource.Reported, version: 'v2' },
    { title: 'is lost if records contradict each other', change: { record: { version: 'v1' }, replies: [createReply({ record: { version: 'v2' } })] }, source: OriginSource.Lost },
    { title: 'is lost if a peer received contradicting records', change: { replies: [createReply({ record: { version: undefined } })] }, source: OriginSource.Lost },
    { title: 'goes on at the only version', change: {}, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'is not restricted in a service that names none', change: { view: { versions: [UNNAMED], isComplete: true }, replies: [] }, source: OriginSource.Unversioned },
    { title: 'is lost if two versions serve and all peers answered', change: { view: TWO }, source: OriginSource.Lost },
    { title: 'is lost if a peer knows of a second version', change: { replies: [createReply(), UNKNOWING_TWO] }, source: OriginSource.Lost },
    { title: 'is lost if an unnamed version serves besides a named one', change: { view: { versions: [UNNAMED, V1], isComplete: true } }, source: OriginSource.Lost },
    { title: 'may become known if a peer is silent', change: { view: TWO, replies: [UNKNOWING_TWO], silent: 1 }, source: OriginSource.Unknown },
    { title: 'may become known if versions have just changed', change: { view: TWO, hasJustChanged: true }, source: OriginSource.Unknown },
    { title: 'goes on at the only version if a peer knows the time before this process started', change: { view: { versions: [V1], isComplete: false } }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'is unknown if nobody knows the time before', change: { view: { versions: [V1], isComplete: false }, replies: [createReply({ isComplete: false })] }, source: OriginSource.Unknown },
    { title: 'is lost if two versions serve and nobody knows the time before', change: { view: { ...TWO, isComplete: false }, replies: [createReply({ ...TWO, isComplete: false })] }, source: OriginSource.Lost },
    { title: 'goes on at the only version of a recent list if all peers are silent', change: { replies: [], silent: 5 }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'is unconfirmed if all peers are silent and the list is old', change: { replies: [], silent: 5, listAgeMs: 15_000 }, source: OriginSource.Unconfirmed },
    { title: 'is unconfirmed if most peers are silent and the list is old', change: { replies: [createReply()], silent: 2, listAgeMs: 15_000 }, source: OriginSource.Unconfirmed },
    { title: 'is unconfirmed if all peers are silent and the list has missed the changes of some seconds', change: { replies: [], silent: 5, listAgeMs: 4000 }, source: OriginSource.Unconfirmed },
    { title: 'is unconfirmed if only peers of the same failure domain answer and the list is old', change: { replies: [createReply(), createReply(), createReply()], silent: 2, reachesOtherDomains: false, listAgeMs: 4000 }, source: OriginSource.Unconfirmed },
    { title: 'goes on at the only version of a recent list if only peers of the same failure domain answer', change: { silent: 2, reachesOtherDomains: false }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'is unconfirmed in a service that names none if all peers are silent and the list is old', change: { view: { versions: [UNNAMED], isComplete: true }, replies: [], silent: 5, listAgeMs: 4000 }, source: OriginSource.Unconfirmed },
    { title: 'is unknown if all peers are silent and two versions serve', change: { view: TWO, replies: [], silent: 5, listAgeMs: 15_000 }, source: OriginSource.Unknown },
    { title: 'goes on at the only version of an old list if most peers answer', change: { silent: 1, listAgeMs: 15_000 }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'goes on at the only version of an old list if no other gateway runs', change: { replies: [], listAgeMs: 15_000 }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'goes on at the older version while another one is too new for streams', change: { view: NEW, replies: [createReply(NEW)] }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'goes on at the older version if this process has not listed the new one yet', change: { replies: [createReply(NEW)] }, source: OriginSource.OnlyVersion, version: 'v1' },
    { title: 'is lost if a peer has listed the newer version for longer', change: { view: NEW, replies: [UNKNOWING_TWO] }, source: OriginSource.Lost },
    { title: 'may become known if all versions are new', change: { view: { versions: [{ ...V1, ageMs: 400 }, NEW_V2], isComplete: true }, replies: [], hasJustChanged: true }, source: OriginSource.Unknown },
    { title: 'may become known if no backend server is listed', change: { view: { versions: [], isComplete: true }, replies: [] }, source: OriginSource.Unknown },
  ])('$title', ({ change, source, version }) => {
    expect(decideOrigin({ ...INPUTS, ...change })).toEqual(version === undefined ? { source } : { source, version })
  })
})

describe('the key of a stream', () => {
  const account = { name: 'account-a' }
  const begun = { service: 'model', account, head: { requestId: 'id-1', lastEventId: undefined, resumedRequestId: undefined } }
  const resumed = { ...begun, head: { requestId: 'id-2', lastEventId: '7', resumedRequestId: 'id-1' } }

  test('is that of the request that began it, however often it is resumed', () => {
    expect(streamKeyOf(resumed)).toBe(streamKeyOf(begun))
    expect(streamKeyOf({ ...resumed, head: { ...resumed.head, requestId: 'id-3' } })).toBe(streamKeyOf(begun))
  })

  test.each([
    ['another client account', { ...resumed, account: { name: 'account-b' } }],
    ['no client account', { ...resumed, account: undefined }],
    ['another service', { ...resumed, service: 'other' }],
    ['a request that names a stream but no event', { ...resumed, head: { ...resumed.head, lastEventId: undefined } }],
  ])('differs for %s', (_name, request) => {
    expect(streamKeyOf(request)).not.toBe(streamKeyOf(begun))
  })

  test('is missing if the client names no request', () => {
    expect(streamKeyOf({ ...resumed, head: { ...resumed.head, resumedRequestId: undefined } })).toBeUndefined()
  })

  test('has the same length for ids of any length', () => {
    expect(streamKeyOf({ ...begun, head: { ...begun.head, requestId: 'x'.repeat(100_000) } })).toHaveLength(24)
  })
})
