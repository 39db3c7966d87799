/**
 * The part of the entry's membership that request handling depends on: the
 * backend servers it can call. The membership module owns the links and
 * determines which backend servers are available.
 */
import type { SideLink } from '../../connection/side-link.js'
import type { Backend } from '../../version/objects.js'
import type { PlannedStage } from '../plan.js'
import type { ChoiceCandidate } from './choice.js'

/** A backend server that this entry has a link to. */
export interface LinkedBackend extends ChoiceCandidate {
  readonly backend: Backend
  readonly link: SideLink
}

/** The backend servers that this entry has links to. */
export interface LinkedBackends {
  /** Returns all of them, regardless of state. */
  list: () => LinkedBackend[]
  /** Returns the available ones that can serve a stage. */
  candidates: (stage: PlannedStage) => LinkedBackend[]
  /** Whether one that can serve a stage does not respond, but is not known to have ended. */
  mayReturn: (stage: PlannedStage) => boolean
}
