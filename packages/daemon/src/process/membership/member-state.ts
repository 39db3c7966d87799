/**
 * Decides whether an entry sends stage calls to a backend server, or why not.
 *
 * Inputs: the order in the configuration (as old as this entry's
 * configuration), the VM's state on the platform's list (at most
 * `list-interval-ms` old while the platform answers), whether the side
 * answers heartbeats on an open connection (at most two heartbeat intervals
 * old), whether the side reports that it drains (its newest load report).
 * Rule: in force only if all four say so; the first of them that does not,
 * in this order, is the state.
 * Why not a majority: any one of them may be the first to know that the
 * backend server leaves, and a call sent there is refused or lost, while a
 * call less there costs only load elsewhere.
 * Log event: `member` (backend, service, state), at each change.
 */
import { BackendOrder } from '../../version/objects.js'
import { VirtualMachineState } from './virtual-machine-list.js'

/** Why a backend server takes no work, or that it does. Operators see the values. */
export enum MemberState {
  InForce = 'in-force',
  /** The configuration orders it out. */
  OrderedOut = 'ordered-out',
  /** Its VM is listed as leaving, or not listed. */
  MachineLeaving = 'machine-leaving',
  /** Its side does not answer. */
  Silent = 'silent',
  /** Its side reports that it takes no new work. */
  Draining = 'draining',
}

/** What is known of a backend server. */
export interface MemberSigns {
  order: BackendOrder
  virtualMachine: VirtualMachineState
  /** Whether its side answers heartbeats on an open connection. */
  answering: boolean
  /** Whether its side reported that it takes no new work. */
  draining: boolean
}

/** The first sign of leaving, or in force. */
export function decideMemberState(signs: MemberSigns): MemberState {
  if (signs.order === BackendOrder.Out)
    return MemberState.OrderedOut
  if (signs.virtualMachine === VirtualMachineState.Leaving)
    return MemberState.MachineLeaving
  if (!signs.answering)
    return MemberState.Silent
  return signs.draining ? MemberState.Draining : MemberState.InForce
}
