/**
 * Runs requests at the backend servers of their services. It lives as long as
 * the process, owns nothing that changes, and relies on the registry for the
 * candidates and on `backend-choice` for their order.
 */
import type { EventLog } from '@eidermast/common'
import type { Backend } from '../../connection/backends/backend.js'
import type { IntakeState } from '../../connection/backends/intake-state.js'
import type { RoutedRequest } from '../routed-request.js'
import type { BackendChoice } from './backend-choice.js'
import type { BackendRunParts } from './backend-run.js'
import type { ColdPace } from './cold-pace.js'
import type { RunEnd, RunInputs, RunSubject } from './run-subject.js'
import { RequestLog } from '../request-log.js'
import { BackendRun, shortestWaitMs } from './backend-run.js'
import { NO_INPUTS } from './run-subject.js'

/**
 * Milliseconds after which a limit is asked about by a request in this gateway's
 * next turn. Half moves more requests from the engines that hold their prompts,
 * twice leaves a backend server without work that has ended its limit.
 */
const LIMIT_REFRESH_MS = 1000

/** What the runner works with. */
export interface BackendRunnerParts extends Omit<BackendRunParts, 'log'> {
  /** Failure domain of this process. */
  failureDomain: string
  plainChoice: BackendChoice
  engineChoice: BackendChoice
  /** How often this process may send to a cold backend server that no coordinator assigned. */
  coldPace: Pick<ColdPace, 'mayTake' | 'note'>
  log: EventLog
}

/** Chooses backend servers and runs requests at them. */
export class BackendRunner {
  private readonly runParts: BackendRunParts

  constructor(private readonly parts: BackendRunnerParts) {
    this.runParts = { ...parts, log: new RequestLog(parts.log) }
  }

  /** Failure domain of the backend server that would be chosen now. */
  preferredFailureDomain(request: RoutedRequest): string {
    return this.choose(request, NO_INPUTS, new Set())?.failureDomain ?? this.parts.failureDomain
  }

  /** Milliseconds until some backend server of the request's service takes a request, by their own word; Infinity where none takes work. */
  shortestWaitMs({ service }: RoutedRequest): number {
    return shortestWaitMs(this.parts, service)
  }

  /** Answers the request, or says why there is no answer. */
  async run(subject: RunSubject): Promise<RunEnd> {
    this.parts.budget.countRequest(subject.request.service)
    return new BackendRun(this.runParts, this.chooseForCall.bind(this), subject).run()
  }

  /** As `choose`, for a call that follows. */
  private chooseForCall(request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>): Backend | undefined {
    const backend = this.choose(request, inputs, tried)
    if (backend && backend.id !== inputs.engine)
      this.parts.coldPace.note(backend, performance.now())
    return backend
  }

  /** The best backend server that was not tried. */
  private choose(request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>): Backend | undefined {
    const candidates = this.parts.registry.available(request.service).filter(backend => !tried.has(backend.id))
    const now = performance.now()
    const taking = candidates.filter(backend => this.parts.intake.waitMs(backend) === 0)
    const usable = this.parts.ejection.filter(taking)
    const withOldLimit = usable.find(backend => isLimitOld(backend.intake, now) && this.parts.coldPace.mayTake(backend, now))
    const preferred = withOldLimit ?? usable.find(backend => backend.id === inputs.engine)
    if (preferred)
      return preferred
    const open = taking.filter(backend => this.parts.coldPace.mayTake(backend, now))
    const choice = this.parts.isEngine(request.service) ? this.parts.engineChoice : this.parts.plainChoice
    return choice.order(open, {
      promptParts: request.head.promptParts,
      failureDomain: inputs.failureDomain ?? this.parts.failureDomain,
      bytes: inputs.bytes,
    })[0]
  }
}

/** Whether it may have ended its limit since it named it: only the answer to a request tells. */
function isLimitOld({ limitPerSecond, limitNamedAt }: IntakeState, now: number): boolean {
  return limitPerSecond !== undefined && now - limitNamedAt > LIMIT_REFRESH_MS
}
