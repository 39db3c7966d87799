/**
 * The platform's list of live and leaving VMs, as one process knows it. Owns
 * the newest list that was read, for the life of the process; after a restart
 * it is read again.
 *
 * Decides what is assumed of a VM. Inputs: the newest list, as old as the
 * platform's last answer. Rule: while no list was ever read every VM counts as
 * live; afterwards one that is not listed counts as leaving. While the platform
 * does not answer, its last list stays in force. Why: a platform that is out
 * must not take backend servers that answer out of work, and one that has
 * answered is right about VMs that it no longer lists.
 * Log event: `list-unreadable`; the states show as `member`.
 */
import type { ListedEntries } from '../../request/authority/not-run-proof.js'
import { createLogger, wait } from '@eidermast/common'
import * as z from 'zod'
import { callJson } from '../../connection/json-http.js'

const log = createLogger('membership')

/** What the platform says of a VM. */
export enum VirtualMachineState {
  Live = 'live',
  Leaving = 'leaving',
}

/** What runs on a VM. */
export enum VirtualMachineRole {
  Entry = 'entry',
  Backend = 'backend',
}

const virtualMachineSchema = z.object({
  name: z.string(),
  role: z.enum(VirtualMachineRole),
  state: z.enum(VirtualMachineState),
  failureDomain: z.string(),
  /** Address between the system's processes, as `host:port`. */
  address: z.string(),
})
const listSchema = z.object({ virtualMachines: z.array(virtualMachineSchema) })

/** One VM of the list. */
export type VirtualMachine = z.infer<typeof virtualMachineSchema>

/** A source of the platform's VM list. */
export interface VirtualMachineSource {
  /** Reads the list; undefined where the platform does not answer, after a log line that says why. */
  read: (signal?: AbortSignal) => Promise<VirtualMachine[] | undefined>
}

/**
 * Milliseconds for one read. The last list stays in force meanwhile, so half or
 * twice only moves the moment of the next try.
 */
const READ_TIMEOUT_MS = 1000

/** The VM list over HTTP. */
export class HttpVirtualMachineSource implements VirtualMachineSource {
  constructor(private readonly url: string, private readonly timeoutMs = READ_TIMEOUT_MS) {}

  async read(signal?: AbortSignal): Promise<VirtualMachine[] | undefined> {
    const answer = await callJson({ method: 'GET', url: `${this.url}/virtual-machines`, timeoutMs: this.timeoutMs, signal })
    if (answer.isErr()) {
      log('list-unreadable', { error: answer.error.message })
      return undefined
    }
    const list = listSchema.safeParse(answer.value)
    if (!list.success)
      log('list-unreadable', { error: 'the platform answered in an unknown form' })
    return list.data?.virtualMachines
  }
}

/** Called after each read of the list. */
export type VirtualMachineListener = () => void

/** The newest known VM list of one process. */
export class VirtualMachineList implements ListedEntries {
  private known: Map<string, VirtualMachine> | undefined
  /** When each entry VM was last listed, by address, in epoch milliseconds. */
  private readonly entriesSeen = new Map<string, number>()
  private readonly listeners = new Set<VirtualMachineListener>()

  constructor(private readonly source: VirtualMachineSource, private readonly intervalMs: number) {}

  /** Registers a listener for reads of the list. */
  subscribe(listener: VirtualMachineListener): void {
    this.listeners.add(listener)
  }

  /** Reads the list again and again until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh(signal)
      await wait(this.intervalMs, signal)
    }
  }

  /** Reads the list once. */
  async refresh(signal?: AbortSignal): Promise<void> {
    const listed = await this.source.read(signal)
    if (!listed)
      return
    this.known = new Map(listed.map(machine => [machine.name, machine]))
    for (const machine of listed) {
      if (machine.role === VirtualMachineRole.Entry)
        this.entriesSeen.set(machine.address, Date.now())
    }
    for (const listener of this.listeners)
      listener()
  }

  /** Whether the list was read at least once. */
  get hasRead(): boolean {
    return this.known !== undefined
  }

  /** The listed state of a VM; live while no list was ever read, leaving where it is not listed. */
  stateOf(name: string): VirtualMachineState {
    if (!this.known)
      return VirtualMachineState.Live
    return this.known.get(name)?.state ?? VirtualMachineState.Leaving
  }

  /** Addresses of the listed entry VMs. */
  entryAddresses(): string[] {
    return [...this.known?.values() ?? []]
      .filter(machine => machine.role === VirtualMachineRole.Entry)
      .map(machine => machine.address)
  }

  /** Addresses of every entry VM that was listed within the last milliseconds. */
  entryAddressesWithin(milliseconds: number): string[] {
    const oldest = Date.now() - milliseconds
    return [...this.entriesSeen].filter(([, seenAt]) => seenAt >= oldest).map(([address]) => address)
  }
}
