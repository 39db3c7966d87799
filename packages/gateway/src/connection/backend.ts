/**
 * Backend servers of services as this process knows them.
 */

/** What the registry tells of a backend server. */
export interface BackendRecord {
  /** New at each start of the backend server. */
  id: string
  service: string
  /** `IP:PORT`; may be used again by another backend server later. */
  address: string
  failureDomain: string
  /** Requests that it works on at once. */
  capacity: number
  /** It is leaving and gets no new work. */
  draining: boolean
}

/** Load as a backend server told it in an answer. */
export interface BackendLoad {
  running: number
  waiting: number
  capacity: number
}

/** A backend server with what this process learned of it. */
export class Backend {
  /** Calls of this process under way there. */
  outstanding = 0
  /** Known load, and when it was told on the process clock, in milliseconds. */
  load: BackendLoad | undefined
  loadAt = 0

  constructor(public record: BackendRecord) {}

  get id(): string {
    return this.record.id
  }

  get service(): string {
    return this.record.service
  }

  get failureDomain(): string {
    return this.record.failureDomain
  }

  get address(): string {
    return this.record.address
  }

  /** The name under which ejection keeps it. */
  get backendName(): string {
    return this.record.id
  }
}
