/**
 * Keeps the software version at which each stream began, for clients that resume
 * it at any gateway. While one version of a service serves, this gateway only
 * remembers its own streams. Once several serve, or it does not know whether they
 * do, it also reports each stream that begins to some peers (`stream-holders.ts`),
 * and those that began before. Until it has read the directory of gateways, it
 * reports to those that send it heartbeats, and then again. A resumed stream goes
 * on as `origin-decision.ts` says. State in memory; after a restart the peers have
 * the reports, and repeat theirs.
 */
import type { EventLog, RequestError } from '@eidermast/common'
import type { Result } from 'ts-results-es'
import type { Backend } from '../../connection/backends/backend.js'
import type { StreamAnswer, StreamMessage, StreamQuestion } from '../../connection/peers/stream-message.js'
import type { OriginDecision, OriginReply, VersionView } from '../../request/continuation/origin-decision.js'
import type { StreamContinuations } from '../../request/continuation/stream-continuations.js'
import type { StreamOrigin } from '../../request/continuation/stream-origin.js'
import type { RoutedRequest } from '../../request/routed-request.js'
import type { OriginFinder, OriginReplies } from './origin-finder.js'
import type { StreamReporter } from './stream-reporter.js'
import type { VersionHistory } from './version-history.js'
import { createError, ErrorKind } from '@eidermast/common'
import { Err, Ok } from 'ts-results-es'
import { decideOrigin, isConfirmed, OriginSource } from '../../request/continuation/origin-decision.js'
import { streamKeyOf } from '../../request/continuation/stream-key.js'
import { encodeVersion } from './origin-finder.js'
import { StreamMemory } from './stream-memory.js'
import { UNNAMED_VERSION } from './version-history.js'

/** Time in which all gateways have read a change of the list and reported their streams, unless they are cut off. */
const CHANGE_SPREADS_WITHIN_MS = 3000
/** Retry delay for clients whose stream may become known: time for a report, or for a peer that does not answer at the moment. */
const UNKNOWN_RETRY_AFTER_MS = 500
/** Used where the client names no request: no stream has this key, but peers tell which versions serve. */
const NO_KEY = ''

const NOBODY_ASKED: OriginReplies = { asked: 0, silent: 0, reachesOtherDomains: true, replies: [] }

/** Counts resumed streams for the metrics endpoint; implemented by the process. */
export interface StreamMetrics {
  countStreamResumed: (source: OriginSource) => void
}

/** What the records work with. Times are in milliseconds. */
export interface StreamVersionsDependencies {
  history: VersionHistory
  reporter: Pick<StreamReporter, 'report'>
  finder: Pick<OriginFinder, 'find'>
  /** Longest life of a stream of a service. */
  lifeMs: (service: string) => number
  /** Longest life of a stream of any service. */
  longestLifeMs: () => number
  /** Whether the versions that served before this process started are known. */
  isHistoryRead: () => boolean
  /** Age of the list of backend servers. */
  listAgeMs: () => number
  /** Reads the list of backend servers again, in a bounded time. */
  refreshList: () => Promise<void>
  /** Resolves once this process knows its peers, or after a bounded time. */
  whenPeersDiscovered: () => Promise<void>
  /** Whether there are gateways to which streams can be reported, listed or not. */
  knowsGateways: () => boolean
  /** Whether other gateways are listed. */
  listsGateways: () => boolean
  metrics: StreamMetrics
  log: EventLog
}

/** Streams of a service that have to be reported. */
interface UnreportedStreams {
  /** Reported to nobody. */
  unsent: StreamMemory
  /** Reported to gateways that may not be those that keep their records. */
  provisional: StreamMemory
}

/** Records and finds the versions of streams. */
export class StreamVersions implements StreamContinuations {
  private readonly memory = new StreamMemory()
  /** Streams that this gateway began and has to report, by service. */
  private readonly unreported = new Map<string, UnreportedStreams>()
  private readonly startedAt = performance.now()
  private isDiscoveryOver = false
  /** Whether streams have to be reported once other gateways are known. */
  private hasPending = false

  constructor(private readonly dependencies: StreamVersionsDependencies) {}

  /** Reports the streams that began before this process knew its peers, once it does. */
  async start(): Promise<void> {
    await this.dependencies.whenPeersDiscovered()
    this.isDiscoveryOver = true
    this.reportAll()
  }

  /** Reports streams that could not be reported, or not to the gateways that keep their records; called when other gateways become known. */
  reportPending(): void {
    if (this.hasPending)
      this.reportAll()
  }

  namesVersions(service: string): boolean {
    return this.dependencies.history.namesVersions(service)
  }

  versionAgeMs(backend: Backend): number {
    return this.dependencies.history.ageMs(backend, performance.now())
  }

  recordBegun(request: RoutedRequest, version: string = UNNAMED_VERSION): void {
    const { route, service } = request
    const key = streamKeyOf(request)
    if (!route.streaming || !route.resumable || key === undefined || !this.namesVersions(service))
      return
    const now = performance.now()
    this.remember({ key, version }, now)
    this.unreportedOf(service).unsent.record(key, version, now)
    this.reportIfNeeded(service)
  }

  /** Reports the streams of a service that began before, if several versions may serve. */
  reportIfNeeded(service: string): void {
    const now = performance.now()
    const { unsent, provisional } = this.unreportedOf(service)
    for (const streams of [unsent, provisional])
      streams.expire(this.dependencies.lifeMs(service), now)
    const { versions, isComplete } = this.viewOf(service, now)
    if (versions.length < 2 && isComplete)
      return
    this.hasPending ||= !this.isSettled
    if (!this.dependencies.knowsGateways())
      return
    const pending = [...unsent.entries(), ...this.isSettled ? provisional.entries() : []]
    for (const stream of pending)
      this.dependencies.reporter.report(stream)
    if (this.isSettled) {
      this.unreported.delete(service)
      return
    }
    for (const { key, version } of unsent.entries())
      provisional.record(key, version, now)
    unsent.clear()
  }

  async findOrigin(request: RoutedRequest): Promise<Result<StreamOrigin | undefined, RequestError>> {
    const { head, route } = request
    if (!route.streaming || !route.resumable || head.lastEventId === undefined)
      return Ok(undefined)
    const startedAt = performance.now()
    const replies = await this.ask(request)
    const decision = await this.decideByRecentList(request, replies)
    this.dependencies.metrics.countStreamResumed(decision.source)
    this.logResumed(request, decision, replies, performance.now() - startedAt)
    return this.toResult(request.service, decision)
  }

  /** Records the streams that a peer reports. */
  noteReported(streams: readonly StreamMessage[]): void {
    const now = performance.now()
    for (const stream of streams)
      this.remember(stream, now)
  }

  /** Answers a peer's question where a stream began. */
  answer({ key, service }: StreamQuestion): StreamAnswer {
    const record = this.memory.find(key)
    const { versions, isComplete } = this.viewOf(service, performance.now())
    return { known: record !== undefined, version: record?.version, versions: versions.map(encodeVersion), complete: isComplete }
  }

  /** Records a stream, whose service is not known if a peer reported it. */
  private remember({ key, version }: StreamMessage, now: number): void {
    this.memory.expire(this.dependencies.longestLifeMs(), now)
    this.memory.record(key, version, now)
  }

  /** Asks the peers, unless this gateway has a record of the stream. */
  private async ask(request: RoutedRequest): Promise<OriginReplies> {
    const key = streamKeyOf(request) ?? NO_KEY
    if (this.memory.find(key))
      return NOBODY_ASKED
    await this.dependencies.whenPeersDiscovered()
    return this.dependencies.finder.find({ key, service: request.service }, found => this.isEnough(request.service, found))
  }

  /** Whether the peers that have answered know the same only version as this process, and confirm it. */
  private isEnough(service: string, found: OriginReplies): boolean {
    const own = this.viewOf(service, performance.now()).versions
    const agrees = ({ versions, isComplete }: OriginReply): boolean => isComplete && versions.length === 1 && versions[0].version === own[0].version
    return own.length === 1 && found.replies.every(agrees) && isConfirmed({ ...found, listAgeMs: this.dependencies.listAgeMs() })
  }

  /** Decides where a stream began; if that depends on an old list of backend servers, once it was read again. */
  private async decideByRecentList(request: RoutedRequest, found: OriginReplies): Promise<OriginDecision> {
    const decision = this.decide(request, found)
    if (decision.source !== OriginSource.Unconfirmed)
      return decision
    await this.dependencies.refreshList()
    return this.decide(request, found)
  }

  private decide(request: RoutedRequest, found: OriginReplies): OriginDecision {
    const now = performance.now()
    return decideOrigin({
      ...found,
      record: this.memory.find(streamKeyOf(request) ?? NO_KEY),
      view: this.viewOf(request.service, now),
      listAgeMs: this.dependencies.listAgeMs(),
      hasJustChanged: this.dependencies.history.changedForMs(request.service, now) <= CHANGE_SPREADS_WITHIN_MS,
    })
  }

  private viewOf(service: string, now: number): VersionView {
    const lifeMs = this.dependencies.lifeMs(service)
    return {
      versions: this.dependencies.history.serving(service, lifeMs, now),
      isComplete: this.dependencies.isHistoryRead() || now - this.startedAt > lifeMs,
    }
  }

  /** Whether the gateways that keep the records are known. */
  private get isSettled(): boolean {
    return this.isDiscoveryOver && this.dependencies.listsGateways()
  }

  private reportAll(): void {
    this.hasPending = false
    for (const service of [...this.unreported.keys()])
      this.reportIfNeeded(service)
  }

  private unreportedOf(service: string): UnreportedStreams {
    const known = this.unreported.get(service)
    if (known)
      return known
    const created = { unsent: new StreamMemory(), provisional: new StreamMemory() }
    this.unreported.set(service, created)
    return created
  }

  private logResumed({ head, service }: RoutedRequest, { source, version }: OriginDecision, { asked, silent, replies }: OriginReplies, tookMs: number): void {
    this.dependencies.log.write('stream-resumed', {
      request: head.requestId,
      resumes: head.resumedRequestId,
      lastEventId: head.lastEventId,
      service,
      source,
      version,
      reportedBy: replies.find(({ record }) => record)?.peer,
      asked,
      answered: replies.length,
      silent,
      versions: this.describeVersions(service),
      tookMs: Math.round(tookMs),
    })
  }

  private toResult(service: string, { source, version }: OriginDecision): Result<StreamOrigin | undefined, RequestError> {
    switch (source) {
      case OriginSource.Recorded:
      case OriginSource.Reported:
      case OriginSource.OnlyVersion:
        return Ok({ version: version === UNNAMED_VERSION ? undefined : version })
      case OriginSource.Unversioned:
        return Ok(undefined)
      case OriginSource.Unconfirmed:
      case OriginSource.Unknown: {
        const message = `it is not known yet which software version of service ${service} began the stream (${this.describeVersions(service)})`
        return Err(createError(ErrorKind.StreamVersionUnknown, message, { retryAfterMs: UNKNOWN_RETRY_AFTER_MS }))
      }
      case OriginSource.Lost: {
        const message = `no gateway knows which software version of service ${service} began the stream (${this.describeVersions(service)}): begin it again`
        return Err(createError(ErrorKind.StreamVersionLost, message))
      }
    }
  }

  /** The versions that serve, or did within the longest life of a stream, for logs and messages. */
  private describeVersions(service: string): string {
    const { versions } = this.viewOf(service, performance.now())
    return versions.map(({ version }) => version || 'unnamed').join(', ') || 'none listed'
  }
}
