/**
 * Decides where a stream began that a client resumes.
 *
 * Inputs: what this process has recorded of the stream; the replies of the peers
 * to which beginning streams are reported (asked for this request); the versions
 * that serve, or did within the longest life of a stream, as this process and the
 * peers know them, how long each has been listed (ms), and whether they know that
 * period completely; the age of this process's list of backend servers (ms).
 * Rule: a recorded or reported version is taken. Without one, the version is
 * known where only one has served for as long as a stream lives, apart from those
 * that are too new for streams (`version-introduction.ts`). The own list has to be
 * recent for that, or no fewer peers answer than are silent, and not only those of
 * the own failure domain; otherwise the list has to be read again first.
 * Contradicting records and everything else leave the version unknown. It may
 * still become known while a peer is silent, while versions have just changed, or
 * while the period is not known in which one version only is known to have served.
 * Why: a stream that goes on at the wrong version looks like a good one,
 * while a refused one can be begun again. What the client says is no proof of
 * where its stream began. A few gateways, or those of one failure domain, that are
 * cut off together have lists of the same age. A version that was listed after the
 * last read of a recent list is too new for streams.
 * Log event: `stream-resumed`.
 */

import { TRUSTED_MS } from './version-introduction.js'

/** Whether a list of backend servers contains every version that can have streams. */
export function isListRecent(listAgeMs: number): boolean {
  return listAgeMs <= TRUSTED_MS
}

/** How the origin of a stream was found. */
export enum OriginSource {
  /** This process began it or received a report of it. */
  Recorded = 'recorded',
  /** A peer began it or received a report of it. */
  Reported = 'reported',
  /** No other version has served since it can have begun. */
  OnlyVersion = 'only-version',
  /** The service names no versions. */
  Unversioned = 'unversioned',
  /** As `OnlyVersion` or `Unversioned`, but the list of backend servers is not recent and most peers are silent. */
  Unconfirmed = 'unconfirmed',
  /** Unknown, and may become known. */
  Unknown = 'unknown',
  /** Unknown for good. */
  Lost = 'lost',
}

/** What is recorded of one stream. */
export interface StreamRecord {
  /** Version that began it, empty if it is not named; undefined if records contradict each other. */
  version: string | undefined
}

/** A software version of a service. */
export interface ServingVersion {
  /** Empty for backend servers whose version is not named. */
  version: string
  /** Milliseconds since it was first listed; Infinity if it was before the process started that tells. */
  ageMs: number
}

/** Versions of a service that serve, or did within the longest life of a stream. */
export interface VersionView {
  versions: readonly ServingVersion[]
  /** Whether the whole period is known. */
  isComplete: boolean
}

/** A peer's reply about a stream. */
export interface OriginReply extends VersionView {
  /** Name of the peer. */
  peer: string
  record: StreamRecord | undefined
}

/** Inputs of the decision. */
export interface OriginInputs {
  record: StreamRecord | undefined
  replies: readonly OriginReply[]
  /** Peers that were asked, run as far as known, and have not answered. */
  silent: number
  /** Whether a peer of another failure domain can be reached, or none was asked. */
  reachesOtherDomains: boolean
  view: VersionView
  /** Age of this process's list of backend servers, in milliseconds. */
  listAgeMs: number
  /** Whether another version was first listed so recently that reports may still be under way. */
  hasJustChanged: boolean
}

/** Where a stream began, and how that is known. */
export interface OriginDecision {
  source: OriginSource
  /** Set for the sources `Recorded`, `Reported` and `OnlyVersion`; empty if the version is not named. */
  version?: string
}

/** Decides where a stream began. */
export function decideOrigin(inputs: OriginInputs): OriginDecision {
  const { record, replies, silent, view } = inputs
  const records = [record, ...replies.map(reply => reply.record)].filter(known => known !== undefined)
  const recorded = new Set(records.map(({ version }) => version))
  if (recorded.size > 1 || recorded.has(undefined))
    return { source: OriginSource.Lost }
  if (recorded.size === 1)
    return { source: record ? OriginSource.Recorded : OriginSource.Reported, version: [...recorded][0] }
  const views = [view, ...replies]
  const serving = views.flatMap(({ versions }) => versions)
  const version = onlyVersionWithStreams(serving)
  const isComplete = views.some(known => known.isComplete)
  if (version !== undefined && isComplete)
    return isConfirmed(inputs) ? decideOnlyVersion(version) : { source: OriginSource.Unconfirmed }
  const mayBeOnlyVersion = version !== undefined || serving.length === 0
  const mayBecomeKnown = silent > 0 || inputs.hasJustChanged || mayBeOnlyVersion
  return { source: mayBecomeKnown ? OriginSource.Unknown : OriginSource.Lost }
}

/** What shows that this process is not cut off. */
type ContactInputs = Pick<OriginInputs, 'listAgeMs' | 'replies' | 'silent' | 'reachesOtherDomains'>

/** Whether the versions that are known are all that can have streams. */
export function isConfirmed({ listAgeMs, replies, silent, reachesOtherDomains }: ContactInputs): boolean {
  return isListRecent(listAgeMs) || (replies.length >= silent && reachesOtherDomains)
}

function decideOnlyVersion(version: string): OriginDecision {
  return version === '' ? { source: OriginSource.Unversioned } : { source: OriginSource.OnlyVersion, version }
}

/** The only version, or the only one that is old enough to have streams; undefined if there are several. */
function onlyVersionWithStreams(known: readonly ServingVersion[]): string | undefined {
  const versions = new Set(known.map(({ version }) => version))
  const withStreams = new Set(known.filter(({ ageMs }) => ageMs >= TRUSTED_MS).map(({ version }) => version))
  const [only, ...others] = versions.size === 1 ? versions : withStreams
  return others.length === 0 ? only : undefined
}
