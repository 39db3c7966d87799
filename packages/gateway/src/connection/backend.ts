/**
 * Replicas of services as this process knows them.
 */

/** What the registry tells of a replica. */
export interface ReplicaRecord {
  /** New at each start of the replica. */
  id: string
  service: string
  /** `IP:PORT`; may be used again by another replica later. */
  address: string
  zone: string
  /** Requests that it works on at once. */
  capacity: number
  /** It is leaving and gets no new work. */
  draining: boolean
}

/** Load as a replica told it in an answer. */
export interface ReplicaLoad {
  running: number
  waiting: number
  capacity: number
}

/** A replica with what this process learned of it. */
export class Replica {
  /** Calls of this process under way there. */
  outstanding = 0
  /** Known load, and when it was told on the process clock, in milliseconds. */
  load: ReplicaLoad | undefined
  loadAt = 0

  constructor(public record: ReplicaRecord) {}

  get id(): string {
    return this.record.id
  }

  get service(): string {
    return this.record.service
  }

  get zone(): string {
    return this.record.zone
  }

  get address(): string {
    return this.record.address
  }

  /** The name under which ejection keeps it. */
  get backendName(): string {
    return this.record.id
  }
}
