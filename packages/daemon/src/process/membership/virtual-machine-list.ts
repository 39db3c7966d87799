/**
 * The platform's list of live and leaving VMs, as cached by one process. Owns
 * the latest list for the lifetime of the process; after a restart the list is
 * read again.
 *
 * Decides the assumed state of a VM. Input: the latest list, as old as the
 * platform's last response. Rule: until a list has been read, every VM counts as
 * live; afterwards a VM that is not listed counts as leaving. While the platform
 * does not respond, its last list remains valid. Why: an outage of the platform
 * must not take responsive backend servers out of service, while a list that the
 * platform did return is authoritative about the VMs it no longer contains.
 * Log event: `list-unreadable`; the states appear in `member`.
 */
import type { ListedEntries } from '../../request/authority/not-run-proof.js'
import { createLogger, wait } from '@eidermast/common'
import * as z from 'zod'
import { callJson } from '../../connection/json-http.js'

const log = createLogger('membership')

/** State of a VM as reported by the platform. */
export enum VirtualMachineState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Role of the process on a VM. */
export enum VirtualMachineRole {
  Entry = 'entry',
  Backend = 'backend',
}

const virtualMachineSchema = z.object({
  name: z.string(),
  role: z.enum(VirtualMachineRole),
  state: z.enum(VirtualMachineState),
  failureDomain: z.string(),
  /** Peer address of the process, as `host:port`. */
  address: z.string(),
})
const listSchema = z.object({ virtualMachines: z.array(virtualMachineSchema) })

export type VirtualMachine = z.infer<typeof virtualMachineSchema>

export interface VirtualMachineSource {
  /** Reads the list; logs the reason and returns undefined if the list cannot be read. */
  read: (signal?: AbortSignal) => Promise<VirtualMachine[] | undefined>
}

/** The last list remains valid during a read, so the timeout only affects when the next attempt starts. */
const READ_TIMEOUT_MS = 1000

/** Reads the VM list over HTTP. */
export class HttpVirtualMachineSource implements VirtualMachineSource {
  constructor(private readonly url: string, private readonly timeoutMs = READ_TIMEOUT_MS) {}

  async read(signal?: AbortSignal): Promise<VirtualMachine[] | undefined> {
    const response = await callJson({ method: 'GET', url: `${this.url}/virtual-machines`, timeoutMs: this.timeoutMs, signal })
    if (response.isErr()) {
      log('list-unreadable', { error: response.error.message })
      return undefined
    }
    const list = listSchema.safeParse(response.value)
    if (!list.success)
      log('list-unreadable', { error: 'the response of the platform does not match the schema of the VM list' })
    return list.data?.virtualMachines
  }
}

/** Called after each successful read of the list. */
export type VirtualMachineListener = () => void

/** Cache of the latest VM list of one process. */
export class VirtualMachineList implements ListedEntries {
  private machinesByName: Map<string, VirtualMachine> | undefined
  /** When each entry VM was last listed, in epoch milliseconds, by peer address. */
  private readonly entryLastListedAt = new Map<string, number>()
  private readonly listeners = new Set<VirtualMachineListener>()

  constructor(private readonly source: VirtualMachineSource, private readonly intervalMs: number) {}

  /** Registers a listener that is called after each successful read. */
  subscribe(listener: VirtualMachineListener): void {
    this.listeners.add(listener)
  }

  /** Reads the list periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh(signal)
      await wait(this.intervalMs, signal)
    }
  }

  /** Reads the list once; keeps the previous one if it cannot be read. */
  async refresh(signal?: AbortSignal): Promise<void> {
    const listed = await this.source.read(signal)
    if (!listed)
      return
    this.machinesByName = new Map(listed.map(machine => [machine.name, machine]))
    for (const machine of listed) {
      if (machine.role === VirtualMachineRole.Entry)
        this.entryLastListedAt.set(machine.address, Date.now())
    }
    for (const listener of this.listeners)
      listener()
  }

  /** Whether the list has been read at least once. */
  get hasRead(): boolean {
    return this.machinesByName !== undefined
  }

  /** Returns the listed state of a VM: live until a list has been read, leaving if it is not listed. */
  stateOf(name: string): VirtualMachineState {
    if (!this.machinesByName)
      return VirtualMachineState.Live
    return this.machinesByName.get(name)?.state ?? VirtualMachineState.Leaving
  }

  /** Returns the peer addresses of the listed entry VMs. */
  entryAddresses(): string[] {
    return [...this.machinesByName?.values() ?? []]
      .filter(machine => machine.role === VirtualMachineRole.Entry)
      .map(machine => machine.address)
  }

  /** Returns the peer addresses of all entry VMs that were listed within the given period before now. */
  entryAddressesWithin(milliseconds: number): string[] {
    const oldest = Date.now() - milliseconds
    return [...this.entryLastListedAt].filter(([, listedAt]) => listedAt >= oldest).map(([address]) => address)
  }
}
