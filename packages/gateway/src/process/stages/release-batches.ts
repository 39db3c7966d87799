/**
 * Releases requests' results at other gateways, those of some milliseconds in
 * one call. Owns the ids that wait for their call; a release that fails or is
 * lost with the process costs result memory only until the results expire.
 */
import type { Member } from '../../connection/peers/member.js'
import type { PeerClients } from '../../connection/peers/peer-clients.js'

/**
 * Milliseconds that a release waits for others to share its call. Not measured;
 * half of it sends more calls, twice as much holds result memory longer.
 */
const RELEASE_DELAY_MS = 20

/** Batches releases by the gateway that they go to. */
export class ReleaseBatches {
  /** Request ids by the gateway's address. */
  private readonly pending = new Map<string, string[]>()

  constructor(private readonly peers: Pick<PeerClients, 'release'>) {}

  /** Releases a request's results at a gateway soon. */
  add(member: Member, requestId: string): void {
    const ids = this.pending.get(member.address)
    if (ids) {
      ids.push(requestId)
      return
    }
    this.pending.set(member.address, [requestId])
    setTimeout(() => this.flush(member), RELEASE_DELAY_MS)
  }

  private flush(member: Member): void {
    const ids = this.pending.get(member.address) ?? []
    this.pending.delete(member.address)
    // Harmless: results that are not released expire at their backend servers.
    void this.peers.release(member, ids).catch(() => {})
  }
}
