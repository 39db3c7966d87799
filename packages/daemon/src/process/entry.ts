/**
 * The entry role: owns callers' requests from first byte to last. It keeps
 * nothing that must last.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ForwardedRequest, OutcomeQuestion, OutcomeReply } from '../connection/messages.js'
import type { EntryService, ProcessStatus } from '../connection/peer-router.js'
import type { PeerServer } from '../connection/peer-server.js'
import type { IncomingRequest } from '../request/incoming-request.js'
import type { Daemon } from './daemon.js'
import type { Settings } from './settings.js'
import { createError, createLogger, ErrorKind, wait } from '@eidermast/common'
import { Err } from 'ts-results-es'
import { formatAnswer } from '../connection/answer.js'
import { createCallerServer } from '../connection/caller-server.js'
import { EntryPeers } from '../connection/entry-peers.js'
import { createRequestKey, digestRequest } from '../connection/identity.js'
import { HttpLogClient } from '../connection/log-client.js'
import { OutcomeState } from '../connection/messages.js'
import { createEntryRouter } from '../connection/peer-router.js'
import { listen, startPeerServer } from '../connection/peer-server.js'
import { ClaimRegistry } from '../request/authority/claims.js'
import { NotRunProof } from '../request/authority/not-run-proof.js'
import { OutcomeFinder } from '../request/authority/outcome-finder.js'
import { TicketOffice } from '../request/authority/tickets.js'
import { OutcomeTable } from '../request/outcomes.js'
import { planPipeline, planService } from '../request/plan.js'
import { RequestRunner } from '../request/request-runner.js'
import { RequestService } from '../request/request-service.js'
import { StageCaller } from '../request/stages/stage-caller.js'
import { Checkpointer } from '../version/checkpointer.js'
import { Configuration } from '../version/configuration.js'
import { ConfigurationFollower } from '../version/follower.js'
import { ObjectKind } from '../version/objects.js'
import { NO_OFFSET } from '../version/record.js'
import { answerOperations } from './daemon.js'
import { DecisionLog } from './decision-log.js'
import { createIncarnation } from './incarnation.js'
import { Membership } from './membership.js'
import { EntryMetrics } from './metrics.js'
import { createAdmission, createChoice, createEjection, createRetry, createStageBudget } from './policies.js'
import { HttpVirtualMachineSource, VirtualMachineList } from './virtual-machine-list.js'

const log = createLogger('process')

/** How often members' states and an old configuration are looked at, in milliseconds. */
const TICK_MS = 250
/** Age of the configuration above which another entry is asked for it, in milliseconds. */
const STALE_CONFIGURATION_MS = 5000
/** Time between not being ready and taking nothing new, so that the balancer notices, in milliseconds. */
const LAME_DUCK_MS = 1500
/** Time by which keys of unrepeatable requests outlive what may be sent again, in milliseconds. */
const KEY_MARGIN_MS = 120_000

/** A running entry. */
export class Entry implements Daemon, EntryService {
  private readonly incarnation = createIncarnation()
  private readonly configuration = new Configuration()
  private readonly metrics = new EntryMetrics()
  private readonly stopping = new AbortController()
  private readonly logClient: HttpLogClient
  private readonly follower: ConfigurationFollower
  private readonly machines: VirtualMachineList
  private readonly membership: Membership
  private readonly peers: EntryPeers
  private readonly decisions: DecisionLog
  private readonly outcomes: OutcomeTable
  private claims!: ClaimRegistry
  private tickets!: TicketOffice
  private finder!: OutcomeFinder
  private pipelines!: RequestService
  private services!: RequestService
  private peerServer!: PeerServer
  private callerServer!: ReturnType<typeof createCallerServer>
  private callerAddress = ''
  private ready = true
  private refusing = false

  private constructor(private readonly settings: Settings) {
    const { process: identity, platform, peers, entry } = settings
    this.logClient = new HttpLogClient({ url: platform.log, timeoutMs: platform['log-timeout-ms'] })
    this.follower = new ConfigurationFollower(this.logClient, this.configuration)
    this.machines = new VirtualMachineList(new HttpVirtualMachineSource(platform['virtual-machines']), platform['list-interval-ms'], () => this.membership.logStates())
    this.decisions = new DecisionLog(identity.name)
    this.membership = new Membership(this.configuration, this.machines, {
      entryName: identity.name,
      entryIncarnation: this.incarnation,
      key: identity.key,
      heartbeatIntervalMs: peers['greet-interval-ms'],
      watchLimit: peers['watch-limit'],
      isFresh: () => this.isFresh(),
    })
    this.peers = new EntryPeers({ key: identity.key, entryName: identity.name, entryIncarnation: this.incarnation, offset: () => this.configuration.offset })
    this.outcomes = new OutcomeTable({
      entries: entry['outcome-memory-entries'],
      bytes: entry['outcome-memory-bytes'],
      lifetimeMs: entry['outcome-memory-ms'],
      unrepeatableLifetimeMs: Math.max(entry['claim-memory-ms'], entry['ticket-lifetime-ms']) + KEY_MARGIN_MS,
    })
  }

  /** Starts an entry; it listens when this returns. */
  static async start(settings: Settings): Promise<Entry> {
    const entry = new Entry(settings)
    await entry.listen()
    entry.runTasks()
    return entry
  }

  get addresses(): Daemon['addresses'] {
    const { name, role } = this.settings.process
    return { role, name, incarnation: this.incarnation, pid: process.pid, peer: this.peerServer.address, caller: this.callerAddress }
  }

  async stop(): Promise<void> {
    log('stopping', { name: this.settings.process.name, inFlight: this.inFlight })
    this.ready = false
    await wait(LAME_DUCK_MS)
    this.refusing = true
    const closed = new Promise<void>(resolve => this.callerServer.close(() => resolve()))
    this.callerServer.closeIdleConnections()
    await this.waitUntilIdle()
    this.callerServer.closeIdleConnections()
    await Promise.race([closed, wait(this.settings.entry['write-timeout-ms'])])
    this.callerServer.closeAllConnections()
    this.stopping.abort()
    this.membership.close()
    this.peers.close()
    await this.peerServer.close()
    await this.logClient.close()
    log('stopped', { name: this.settings.process.name })
  }

  heartbeat() {
    return { incarnation: this.incarnation, name: this.settings.process.name, offset: this.configuration.offset }
  }

  difference(request: { since: number, kinds: ObjectKind[] }) {
    return this.configuration.differenceSince(request.since, request.kinds)
  }

  /** Sides do not hold every kind of object, so entries take differences only by asking other entries. */
  offer(): number {
    return this.configuration.offset
  }

  status(): ProcessStatus {
    const { name, role, 'failure-domain': failureDomain } = this.settings.process
    const members = this.membership.list().map(member => ({ subject: member.backendName, text: member.state }))
    const detail = [
      { subject: 'in-flight', text: String(this.inFlight) },
      { subject: 'configuration-age-ms', text: String(this.follower.ageMs ?? 'never read') },
      { subject: 'claims', text: String(this.claims.size) },
      ...members,
    ]
    return { name, role, incarnation: this.incarnation, pid: process.pid, failureDomain, offset: this.configuration.offset, ready: this.isReady(), detail }
  }

  explain(requestId: string) {
    return this.decisions.explain(requestId)
  }

  async forward(request: ForwardedRequest): Promise<string> {
    if (request.ticket === undefined) {
      const { account, requestId, target, body, deadlineMs } = request
      return formatAnswer(await this.finder.answerForPeer({ account, requestId, digest: digestRequest(target, body), deadlineMs }))
    }
    const incoming = this.createForwarded(request, request.ticket)
    if (!incoming)
      return formatAnswer(Err(createError(ErrorKind.TicketInvalid, 'The entry that made the ticket does not know the account or the pipeline; check them.')))
    const service = request.serviceRequest ? this.services : this.pipelines
    return formatAnswer(await service.handle(incoming))
  }

  outcome(question: OutcomeQuestion): OutcomeReply {
    const key = createRequestKey(question.account, question.requestId)
    const known = this.outcomes.find(key)
    const claimed = this.claims.find(key) !== undefined
    if (!known)
      return { state: OutcomeState.Unknown, claimed }
    return { state: known.state, claimed, answer: known.finished && formatAnswer(known.finished) }
  }

  private get inFlight(): number {
    return this.pipelines.inFlight + this.services.inFlight
  }

  private isReady(): boolean {
    return this.ready && this.knowsConfiguration()
  }

  private knowsConfiguration(): boolean {
    return this.follower.hasRead || this.configuration.offset !== NO_OFFSET
  }

  /** Whether the log confirmed the configuration a short while ago. */
  private isFresh(): boolean {
    return (this.follower.ageMs ?? Number.POSITIVE_INFINITY) <= STALE_CONFIGURATION_MS
  }

  private async listen(): Promise<void> {
    const { process: identity, entry } = this.settings
    this.peerServer = await startPeerServer({
      router: createEntryRouter(this),
      key: identity.key,
      host: identity.host,
      port: identity['peer-port'],
      onRequest: (request, response) => void this.answerOperations(request, response).then((answered) => {
        if (!answered)
          response.writeHead(404).end()
      }),
    })
    const { address } = this.peerServer
    this.claims = new ClaimRegistry(this.logClient, {
      incarnation: this.incarnation,
      address,
      batchMs: entry['claim-batch-ms'],
      memoryMs: entry['claim-memory-ms'],
      doubtMs: this.settings.platform['log-timeout-ms'],
    })
    this.tickets = new TicketOffice({ key: identity.key, incarnation: this.incarnation, address, lifetimeMs: entry['ticket-lifetime-ms'] })
    const { incarnation, claims, outcomes, peers, membership, decisions } = this
    this.finder = new OutcomeFinder({ incarnation, claims, outcomes, peers, membership, decisions })
    this.pipelines = this.createRequestService(entry['max-requests'])
    this.services = this.createRequestService(entry['max-service-calls'])
    this.callerServer = createCallerServer({
      settings: entry,
      configuration: this.configuration,
      pipelines: this.pipelines,
      services: this.services,
      tickets: this.tickets,
      isReady: () => this.knowsConfiguration(),
      isStopping: () => this.refusing,
      knowsService: service => this.membership.knowsService(service),
      findOutcome: (account, requestId) => this.findOutcome(account, requestId),
      answerOperations: (request, response) => this.answerOperations(request, response),
    })
    this.callerAddress = await listen(this.callerServer, identity.host, identity['caller-port'])
  }

  /** Pipelines and plain services each have limits, load counts and policies of their own. */
  private createRequestService(inFlightLimit: number): RequestService {
    const { entry, process: identity } = this.settings
    const { incarnation, membership, decisions, metrics, claims, outcomes, peers } = this
    const stageCaller = new StageCaller({
      entryIncarnation: incarnation,
      failureDomain: identity['failure-domain'],
      membership,
      choice: createChoice(entry.choice),
      ejection: createEjection(entry.ejection),
      retry: createRetry(entry.retry),
      decisions,
      metrics,
      offset: () => this.configuration.offset,
    })
    return new RequestService({
      incarnation,
      inFlightLimit,
      claimMemoryMs: entry['claim-memory-ms'],
      admission: createAdmission(entry.admission),
      runner: new RequestRunner({ stageCaller, stageBudget: createStageBudget(entry['stage-budget']), metrics }),
      claims,
      outcomes,
      proof: new NotRunProof({ claims, peers, machines: this.machines, address: this.peerServer.address }),
      finder: this.finder,
      membership,
      decisions,
      metrics,
    })
  }

  private runTasks(): void {
    const { signal } = this.stopping
    void this.follower.run(signal)
    void this.claims.run(signal)
    void this.machines.run(signal)
    void new Checkpointer(this.logClient, this.configuration, { retentionMs: this.settings.platform['log-retention-ms'] }).run(signal)
    void this.watchConfiguration(signal)
  }

  /** While the log does not answer, takes newer configuration from another entry. */
  private async watchConfiguration(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await wait(TICK_MS, signal)
      this.membership.logStates()
      if (!this.isFresh())
        await this.askPeersForConfiguration()
    }
  }

  private async askPeersForConfiguration(): Promise<void> {
    const addresses = new Set([...this.settings.peers.addresses, ...this.machines.entryAddresses()])
    addresses.delete(this.peerServer.address)
    for (const address of addresses) {
      const difference = await this.peers.difference(address, this.configuration.offset)
      if (!difference || difference.offset <= this.configuration.offset)
        continue
      this.configuration.apply(difference)
      createLogger('configuration')('from-peer', { address, offset: difference.offset })
    }
  }

  /** Answer of a request as JSON text, empty while it runs; undefined where no entry knows it. */
  private async findOutcome(account: string, requestId: string): Promise<string | undefined> {
    const own = this.outcome({ account, requestId })
    const others = this.machines.entryAddresses().filter(address => address !== this.peerServer.address)
    const replies = own.state === OutcomeState.Unknown
      ? await Promise.all(others.map(address => this.peers.askOutcome(address, { account, requestId })))
      : [own]
    const finished = replies.find(reply => reply?.answer !== undefined)
    if (finished)
      return finished.answer
    return replies.some(reply => reply?.state === OutcomeState.Running) ? '' : undefined
  }

  private createForwarded(request: ForwardedRequest, ticketText: string): IncomingRequest | undefined {
    const ticket = this.tickets.verify(ticketText)
    const account = this.configuration.get(ObjectKind.Account, request.account)
    if (ticket.isErr() || !account || ticket.value.account !== request.account)
      return undefined
    const template = request.pipeline === undefined ? undefined : this.configuration.get(ObjectKind.Template, request.pipeline)
    const asked = { deadlineMs: Math.max(1, request.deadlineMs), unrepeatable: true }
    const plan = template
      ? planPipeline(request.pipeline!, template.value, account.value, asked)
      : request.service && request.serviceRequest && planService(request.service, request.serviceRequest, account.value, asked)
    if (!plan)
      return undefined
    return {
      account: request.account,
      share: account.value.share,
      ticket: ticket.value,
      ticketText,
      plan,
      body: request.body,
      arrivedAt: performance.now(),
      callerGone: new AbortController().signal,
    }
  }

  private async answerOperations(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const connections = await new Promise<number>(resolve => this.callerServer.getConnections((_error, count) => resolve(count ?? 0)))
    const refresh = (): void => {
      this.metrics.setConfiguration(this.configuration.offset, this.follower.ageMs)
      this.metrics.setCallerConnections(connections)
    }
    return answerOperations({ registry: this.metrics.registry, isReady: () => this.isReady(), refresh }, request, response)
  }

  private async waitUntilIdle(): Promise<void> {
    const giveUpAt = performance.now() + this.settings.process['stop-timeout-ms']
    while (this.inFlight > 0 && performance.now() < giveUpAt)
      await wait(20)
  }
}
