/**
 * The platform's list of live and leaving VMs. It lags and may be out; the
 * newest answer is kept meanwhile.
 */
import type { ListedEntries } from '../request/authority/not-run-proof.js'
import { createLogger, wait } from '@eidermast/common'
import { z } from 'zod'
import { callJson } from '../connection/json-http.js'

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
  /** Reads the list; undefined where the platform does not answer. */
  read: (signal?: AbortSignal) => Promise<VirtualMachine[] | undefined>
}

/** The VM list over HTTP. */
export class HttpVirtualMachineSource implements VirtualMachineSource {
  constructor(private readonly url: string, private readonly timeoutMs = 1000) {}

  async read(signal?: AbortSignal): Promise<VirtualMachine[] | undefined> {
    const answer = await callJson({ method: 'GET', url: `${this.url}/virtual-machines`, timeoutMs: this.timeoutMs, signal })
    if (answer.isErr())
      return undefined
    return listSchema.safeParse(answer.value).data?.virtualMachines
  }
}

/** The newest known VM list of one process. */
export class VirtualMachineList implements ListedEntries {
  private known: Map<string, VirtualMachine> | undefined
  /** When each entry VM was last listed, in epoch milliseconds. */
  private readonly entriesSeen = new Map<string, number>()

  constructor(
    private readonly source: VirtualMachineSource,
    private readonly intervalMs: number,
    private readonly onChange: () => void = () => {},
  ) {}

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
    if (!listed) {
      log('list-unreadable')
      return
    }
    this.known = new Map(listed.map(machine => [machine.name, machine]))
    for (const machine of listed) {
      if (machine.role === VirtualMachineRole.Entry)
        this.entriesSeen.set(machine.address, Date.now())
    }
    this.onChange()
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
