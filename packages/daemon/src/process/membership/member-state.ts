/**
 * Decides whether an entry sends stage calls to a backend server, and if not,
 * why.
 *
 * Inputs: the order in the configuration (as old as this entry's
 * configuration), the VM's state in the platform's list (at most
 * `list-interval-ms` old while the platform responds), whether the side
 * answers heartbeats on an open connection (at most two heartbeat intervals
 * old), and whether the side reports that it is draining (its latest load
 * report).
 * Rule: available only if all four inputs agree; otherwise the first one that
 * disagrees, in this order, determines the state.
 * Why not a majority: any one input can be the first to show that the backend
 * server is shutting down. A call sent to it is then refused or lost, whereas
 * not sending it one only shifts load to others.
 * Log event: `member` (backend, service, state), at each change.
 */
import { BackendOrder } from '../../version/objects.js'
import { VirtualMachineState } from './virtual-machine-list.js'

/** State of a backend server from the view of an entry. The values are visible to operators. */
export enum MemberState {
  Available = 'in-force',
  /** The configuration orders it out of service. */
  OrderedOut = 'ordered-out',
  /** Its VM is listed as leaving, or not listed. */
  MachineLeaving = 'machine-leaving',
  /** Its side does not respond. */
  Silent = 'silent',
  /** Its side reports that it accepts no new work. */
  Draining = 'draining',
}

/** Inputs of the state of a backend server. */
export interface MemberStateInputs {
  order: BackendOrder
  virtualMachine: VirtualMachineState
  /** Whether its side answers heartbeats on an open connection. */
  answering: boolean
  /** Whether its side reported that it accepts no new work. */
  draining: boolean
}

/** Returns the first reason to send no work, or `Available`. */
export function decideMemberState(inputs: MemberStateInputs): MemberState {
  if (inputs.order === BackendOrder.Out)
    return MemberState.OrderedOut
  if (inputs.virtualMachine === VirtualMachineState.Leaving)
    return MemberState.MachineLeaving
  if (!inputs.answering)
    return MemberState.Silent
  return inputs.draining ? MemberState.Draining : MemberState.Available
}
