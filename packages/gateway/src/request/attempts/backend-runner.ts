/**
 * Runs requests at the backend servers of their services. Lives as long as the
 * process and has no mutable state; takes the candidates from the registry and
 * their order from the policies in `load-balancing.ts`.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { IntakeState } from '../../connection/backends/intake-state.js'
import type { RoutedRequest } from '../routed-request.js'
import type { BackendFilter, BackendRunDependencies } from './backend-run.js'
import type { ColdStartLimiter } from './cold-start-limiter.js'
import type { LoadBalancingPolicy } from './load-balancing.js'
import type { RunInputs, RunResult, RunSubject } from './run-subject.js'
import { mayContinueAt } from '../continuation/stream-origin.js'
import { withoutNewVersions } from '../continuation/version-introduction.js'
import { RequestLog } from '../request-log.js'
import { BackendRun, shortestWaitMs } from './backend-run.js'
import { NO_INPUTS } from './run-subject.js'

/**
 * Age after which a known limit is refreshed by sending a request in this
 * gateway's next time slot. Limits how long a backend server stays idle after it
 * has lifted its limit, at the cost of requests that are moved away from the
 * engines that cache their prompts.
 */
const LIMIT_REFRESH_MS = 1000

/** What decides which backend servers may answer a request. */
export type RequestTarget = Pick<RoutedRequest, 'service' | 'origin'>

/** Dependencies of the runner. */
export interface BackendRunnerDependencies extends Omit<BackendRunDependencies, 'log'> {
  /** Failure domain of this process. */
  failureDomain: string
  plainPolicy: LoadBalancingPolicy
  enginePolicy: LoadBalancingPolicy
  /** Limits what this process sends to cold backend servers without an assignment by a coordinator. */
  coldStartLimiter: Pick<ColdStartLimiter, 'mayTake' | 'note'>
  log: EventLog
}

/** Selects backend servers and runs requests at them. */
export class BackendRunner {
  private readonly runDependencies: BackendRunDependencies

  constructor(private readonly dependencies: BackendRunnerDependencies) {
    this.runDependencies = { ...dependencies, log: new RequestLog(dependencies.log) }
  }

  /** Failure domain of the backend server that would be selected now. */
  preferredFailureDomain(request: RoutedRequest): string {
    return this.select(request, NO_INPUTS, this.filterFor(request))?.failureDomain ?? this.dependencies.failureDomain
  }

  /** Milliseconds until a backend server that may answer the request accepts it, as the servers report; Infinity if none accepts work. */
  shortestWaitMs(request: RequestTarget): number {
    return shortestWaitMs(this.dependencies, request.service, this.filterFor(request))
  }

  /** Whether a backend server that may answer the request accepts work, now or later. */
  hasBackend(request: RequestTarget): boolean {
    return this.dependencies.registry.available(request.service).some(this.filterFor(request))
  }

  /** Backend servers to which a request can be sent now. */
  candidates(request: RequestTarget): Backend[] {
    const { registry, intake, coldStartLimiter, ejection } = this.dependencies
    const now = performance.now()
    const eligible = registry.available(request.service).filter(this.filterFor(request))
    return ejection.filter(eligible.filter(backend => intake.waitMs(backend) === 0 && coldStartLimiter.mayTake(backend, now)))
  }

  /** Answers the request, or returns why it could not be answered. */
  async run(subject: RunSubject): Promise<RunResult> {
    this.dependencies.budget.countRequest(subject.request.service)
    return new BackendRun(this.runDependencies, this.selectForCall.bind(this), subject).run()
  }

  /** Selects a backend server for a call and counts the call against the cold start limit. */
  private selectForCall(request: RoutedRequest, inputs: RunInputs, isEligible: BackendFilter): Backend | undefined {
    const backend = this.select(request, inputs, isEligible)
    if (backend && backend.id !== inputs.engine)
      this.dependencies.coldStartLimiter.note(backend, performance.now())
    return backend
  }

  /** Accepts the backend servers that may answer a request, whichever were tried. */
  private filterFor({ origin }: RequestTarget): BackendFilter {
    return backend => mayContinueAt(origin, backend, service => this.dependencies.streams.namesVersions(service))
  }

  /** Keeps streams that clients can resume away from versions that were just listed. */
  private withoutNewVersions({ route }: RoutedRequest, accepting: readonly Backend[]): readonly Backend[] {
    return route.streaming && route.resumable ? withoutNewVersions(accepting, backend => this.dependencies.streams.versionAgeMs(backend)) : accepting
  }

  /** The preferred one of the eligible backend servers. */
  private select(request: RoutedRequest, inputs: RunInputs, isEligible: BackendFilter): Backend | undefined {
    const candidates = this.dependencies.registry.available(request.service).filter(isEligible)
    const now = performance.now()
    const accepting = this.withoutNewVersions(request, candidates.filter(backend => this.dependencies.intake.waitMs(backend) === 0))
    const usable = this.dependencies.ejection.filter(accepting)
    const withStaleLimit = usable.find(backend => isLimitStale(backend.intake, now) && this.dependencies.coldStartLimiter.mayTake(backend, now))
    const preferred = withStaleLimit ?? usable.find(backend => backend.id === inputs.engine)
    if (preferred)
      return preferred
    const eligible = accepting.filter(backend => this.dependencies.coldStartLimiter.mayTake(backend, now))
    const policy = this.dependencies.isEngine(request.service) ? this.dependencies.enginePolicy : this.dependencies.plainPolicy
    return policy.order(eligible, {
      promptParts: request.head.promptParts,
      failureDomain: inputs.failureDomain ?? this.dependencies.failureDomain,
      bytes: inputs.bytes,
    })[0]
  }
}

/** Whether the limit may have been lifted since it was reported; only the response to a request can tell. */
function isLimitStale({ limitPerSecond, limitReportedAt }: IntakeState, now: number): boolean {
  return limitPerSecond !== undefined && now - limitReportedAt > LIMIT_REFRESH_MS
}
