/**
 * Reads the status of a deployment's daemon processes over the operators'
 * interface and waits until all of them are ready. Stateless.
 */
import type { PeerConnection, ProcessStatus } from '@eidermast/daemon'
import type { ProcessGroup } from './process-group.js'
import { wait } from '@eidermast/common'
import { callPeer, CallState, connectEntry, connectSide, MemberState } from '@eidermast/daemon'
import { request } from 'undici'
import { ProcessKind } from './process-group.js'

/**
 * Timeout for all processes to become ready. On a busy machine the small
 * deployment takes several seconds to start. The margin keeps tests from failing
 * there, at the cost of a later report of a process that never becomes ready.
 */
const READY_TIMEOUT_MS = 15_000

/** Timeout for one status call; a call to a frozen process takes this long. */
const STATUS_TIMEOUT_MS = 2000

const POLL_INTERVAL_MS = 50

/** Queries the status of entries and sides. */
export class DaemonStatus {
  constructor(private readonly group: ProcessGroup, private readonly key: string) {}

  /** Returns the status of an entry; undefined if it does not answer in time. */
  async entryStatus(name: string): Promise<ProcessStatus | undefined> {
    const opened = await connectEntry(this.peerOf(name))
    return opened.isOk() ? readStatus(opened.value, client => client.status.query()) : undefined
  }

  /** Returns the status of a side; undefined if it does not answer in time. */
  async sideStatus(name: string): Promise<ProcessStatus | undefined> {
    const opened = await connectSide(this.peerOf(name))
    return opened.isOk() ? readStatus(opened.value, client => client.status.query()) : undefined
  }

  /** Waits until every side accepts work and every entry uses all backend servers; throws after READY_TIMEOUT_MS. */
  async waitUntilReady(): Promise<void> {
    const sides = this.group.list(ProcessKind.Side)
    const deadline = Date.now() + READY_TIMEOUT_MS
    for (const { name } of sides)
      await waitUntil(() => this.isSideReady(name), deadline, `${name} did not accept work`)
    for (const { name } of this.group.list(ProcessKind.Entry)) {
      const usesAllBackends = async (): Promise<boolean> => await this.countActiveBackends(name) >= sides.length
      await waitUntil(usesAllBackends, deadline, `${name} did not use every backend server`)
    }
  }

  /** Whether a side accepts work and has detected the current instance of its backend server. */
  private async isSideReady(sideName: string): Promise<boolean> {
    const status = await this.sideStatus(sideName)
    const detectedInstance = status?.detail.find(line => line.subject === 'backend-instance')?.text
    return status?.ready === true && detectedInstance === await readInstance(this.group.find(`${sideName}.backend`).url!)
  }

  /** Counts the backend servers that an entry uses. */
  private async countActiveBackends(entryName: string): Promise<number> {
    const status = await this.entryStatus(entryName)
    return status?.detail.filter(line => line.text === MemberState.Available).length ?? 0
  }

  private peerOf(name: string): { address: string, key: string } {
    return { address: this.group.find(name).peer!, key: this.key }
  }
}

async function readStatus<Client>(
  peer: PeerConnection<Client>,
  query: (client: Client) => Promise<ProcessStatus>,
): Promise<ProcessStatus | undefined> {
  const result = await callPeer(peer, query, STATUS_TIMEOUT_MS)
  peer.close()
  return result.state === CallState.Answered ? result.value : undefined
}

async function readInstance(backendUrl: string): Promise<string> {
  const response = await request(`${backendUrl}/v1/load`)
  const { instance } = await response.body.json() as { instance: string }
  return instance
}

async function waitUntil(condition: () => Promise<boolean>, deadline: number, message: string): Promise<void> {
  while (!await condition()) {
    if (Date.now() > deadline)
      throw new Error(`${message} within ${READY_TIMEOUT_MS} ms; see its log in the deployment directory`)
    await wait(POLL_INTERVAL_MS)
  }
}
