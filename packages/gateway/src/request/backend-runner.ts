/**
 * Runs requests at the backend servers of their services.
 */
import type { RequestError } from '@eidermast/common'
import type { Backend } from '../connection/backend.js'
import type { ClientAnswer } from '../connection/client-answer.js'
import type { BackendChoice, ChoiceSubject } from './backend-choice.js'
import type { BackendRunParts, RunInputs } from './backend-run.js'
import type { RoutedRequest } from './routed-request.js'
import { BackendRun } from './backend-run.js'

/** What the runner works with. */
export interface BackendRunnerParts extends BackendRunParts {
  failureDomain: string
  plainChoice: BackendChoice
  engineChoice: BackendChoice
}

/** Inputs of a request that has no stages. */
export const NO_INPUTS: RunInputs = { handles: undefined, failureDomain: undefined, bytes: 0 }

/** Chooses backend servers and runs requests at them. */
export class BackendRunner {
  constructor(private readonly parts: BackendRunnerParts) {}

  /** Failure domain of the backend server that would be chosen now. */
  preferredFailureDomain(request: RoutedRequest): string {
    return this.choose(request, NO_INPUTS, new Set())?.failureDomain ?? this.parts.failureDomain
  }

  /** Answers the request, or says why there is no answer. */
  async run(request: RoutedRequest, inputs: RunInputs, answer: ClientAnswer, signal: AbortSignal): Promise<RequestError | undefined> {
    this.parts.budget.countRequest(request.service)
    return new BackendRun(this.parts, this.choose.bind(this), request, inputs, answer, signal).run()
  }

  /** The best backend server that was not tried. */
  private choose(request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>): Backend | undefined {
    const candidates = this.parts.registry.available(request.service).filter(backend => !tried.has(backend.id))
    const choice = this.parts.isEngine(request.service) ? this.parts.engineChoice : this.parts.plainChoice
    const subject: ChoiceSubject = { promptParts: request.head.promptParts, failureDomain: inputs.failureDomain ?? this.parts.failureDomain, bytes: inputs.bytes }
    return choice.order(candidates, subject)[0]
  }
}
