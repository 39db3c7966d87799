/**
 * Opens once this process has a configuration and knows at least one backend
 * server, and stays open. Owns the requests that wait for that; if the process
 * ends, their connections break.
 */
import type { StartGate } from '../request/start-wait.js'
import type { ConfigurationHolder } from '../version/configuration-holder.js'
import type { BackendRegistry } from './backend-registry.js'
import { settleWithin } from '@eidermast/common'

/** The gate of a starting gateway. */
export class StartupGate implements StartGate {
  isOpen = false
  /** Ends of the waits. */
  private readonly waiting = new Set<() => void>()

  constructor(
    private readonly configuration: Pick<ConfigurationHolder, 'version' | 'onChange'>,
    private readonly registry: Pick<BackendRegistry, 'size' | 'listen'>,
  ) {
    const update = (): void => this.update()
    configuration.onChange(update)
    registry.listen({ added: update })
  }

  async wait(maxMs: number, signal: AbortSignal): Promise<void> {
    if (this.isOpen)
      return
    let end = (): void => {}
    const opened = new Promise<void>((resolve) => {
      end = resolve
    })
    this.waiting.add(end)
    await settleWithin(opened, maxMs, signal)
    this.waiting.delete(end)
  }

  private update(): void {
    this.isOpen ||= this.configuration.version > 0 && this.registry.size > 0
    if (!this.isOpen)
      return
    for (const end of this.waiting)
      end()
  }
}
