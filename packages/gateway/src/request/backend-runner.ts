/**
 * Runs requests at the backend servers of their services.
 */
import type { RequestError } from '@eidermast/common'
import type { Replica } from '../connection/backend.js'
import type { ClientAnswer } from '../connection/client-answer.js'
import type { ChoiceSubject, ReplicaChoice } from './backend-choice.js'
import type { ReplicaRunParts, RunInputs } from './backend-run.js'
import type { RoutedRequest } from './pass-through.js'
import { ReplicaRun } from './backend-run.js'

/** What the runner works with. */
export interface ReplicaRunnerParts extends ReplicaRunParts {
  zone: string
  plainChoice: ReplicaChoice
  engineChoice: ReplicaChoice
}

/** Inputs of a request that has no stages. */
export const NO_INPUTS: RunInputs = { handles: undefined, zone: undefined, bytes: 0 }

/** Chooses backend servers and runs requests at them. */
export class ReplicaRunner {
  constructor(private readonly parts: ReplicaRunnerParts) {}

  /** Zone of the backend server that would be chosen now. */
  preferredZone(request: RoutedRequest): string {
    return this.choose(request, NO_INPUTS, new Set())?.zone ?? this.parts.zone
  }

  /** Answers the request, or says why there is no answer. */
  async run(request: RoutedRequest, inputs: RunInputs, answer: ClientAnswer, signal: AbortSignal): Promise<RequestError | undefined> {
    this.parts.budget.countRequest(request.service)
    return new ReplicaRun(this.parts, this.choose.bind(this), request, inputs, answer, signal).run()
  }

  /** The best backend server that was not tried. */
  private choose(request: RoutedRequest, inputs: RunInputs, tried: ReadonlySet<string>): Replica | undefined {
    const candidates = this.parts.registry.available(request.service).filter(replica => !tried.has(replica.id))
    const choice = this.parts.isEngine(request.service) ? this.parts.engineChoice : this.parts.plainChoice
    const subject: ChoiceSubject = { promptParts: request.head.promptParts, zone: inputs.zone ?? this.parts.zone, bytes: inputs.bytes }
    return choice.order(candidates, subject)[0]
  }
}
