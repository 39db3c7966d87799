/**
 * What request handling needs of the entry's membership: the backend servers
 * that it may call. The process keeps the links and decides which are in force.
 */
import type { SideLink } from '../../connection/side-link.js'
import type { Backend } from '../../version/objects.js'
import type { PlannedStage } from '../plan.js'
import type { ChoiceCandidate } from './choice.js'

/** A backend server to which this entry keeps a link. */
export interface LinkedBackend extends ChoiceCandidate {
  readonly backend: Backend
  readonly link: SideLink
}

/** The backend servers to which this entry keeps links. */
export interface LinkedBackends {
  /** Every one of them, whatever its state. */
  list: () => LinkedBackend[]
  /** Those in force that hold what a stage needs. */
  candidates: (stage: PlannedStage) => LinkedBackend[]
}
