/**
 * Stand-in for the platform's VM list: returns the list that was last posted to
 * it. The list is held in memory and lost with the process.
 */
import type { VirtualMachineListFaults } from './faults.js'
import type { StandInCall, StandInService } from './http-service.js'
import { VirtualMachineRole } from '@eidermast/daemon'
import * as z from 'zod'
import { virtualMachineListFaultsSchema } from './faults.js'
import { sendJson, startService } from './http-service.js'

const virtualMachineSchema = z.object({
  name: z.string(),
  role: z.enum(VirtualMachineRole),
  state: z.enum(['live', 'leaving']),
  failureDomain: z.string(),
  /** Host and port of the daemon process, for calls between processes. */
  address: z.string(),
})
const listSchema = z.object({ virtualMachines: z.array(virtualMachineSchema) })

/** An entry of the VM list. */
export type ListedVirtualMachine = z.infer<typeof virtualMachineSchema>

/** State and HTTP interface of the VM list. */
export class VirtualMachineListService {
  private listed: ListedVirtualMachine[] = []
  private faults: VirtualMachineListFaults = virtualMachineListFaultsSchema.parse({})

  start(): Promise<StandInService> {
    return startService(call => this.handle(call))
  }

  private handle(call: StandInCall): void {
    if (call.path === '/faults') {
      this.faults = virtualMachineListFaultsSchema.parse(JSON.parse(call.body))
      return sendJson(call.response, 200, this.faults)
    }
    if (this.faults.out)
      return sendJson(call.response, 503, { message: 'the VM list is unavailable' })
    if (call.method === 'POST') {
      this.listed = listSchema.parse(JSON.parse(call.body)).virtualMachines
      return sendJson(call.response, 200, {})
    }
    sendJson(call.response, 200, { virtualMachines: this.listed })
  }
}
