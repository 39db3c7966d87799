/**
 * What operators publish: routes, services, client accounts and limits, held
 * whole under one version. The adapter decodes the platform's text into these
 * types; nothing changes them afterwards.
 */

/** A service that a route may use, and its share of the route's requests. */
export interface WeightedService {
  service: string
  /** Relative share; 0 is never chosen. */
  weight: number
}

/** One preparing stage of a route; stages are numbered by their place in the list. */
export interface StageDefinition {
  service: string
  /** Numbers of the stages whose results this one reads. */
  dependsOn: number[]
  /** About the size of one result, in bytes. */
  resultBytes: number
}

/** How requests of one host and path prefix are served. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  /** The answer is a stream of events. */
  streaming: boolean
  /** Whether a request may run more than once. */
  repeatable: boolean
  /** Whether a stream may go on at another backend server after its last event. */
  resumable: boolean
  /** Maximum time that a request is held, in milliseconds. */
  timeoutMs: number
  /** The time within which an answer is worth most, in milliseconds. */
  targetLatencyMs: number
  /** Maximum pause between events of an answer that is in time, in milliseconds. */
  targetGapMs: number
  /** 0 is the most urgent. */
  priority: number
  services: WeightedService[]
  /** Maximum number of backend servers at which one request may run. */
  maxAttempts: number
  stages: StageDefinition[]
  /** Served without a key. */
  public: boolean
}

/** Limits of a backend server that makes stage results. */
export interface StageLimits {
  /** Calls at work at once. */
  concurrency: number
  /** Maximum number of items in one call. */
  batch: number
  /** Fixed time of a call, in milliseconds. */
  callMs: number
  /** Further time of each item, in milliseconds. */
  itemMs: number
  /** Memory for results, in bytes. */
  resultMemoryBytes: number
  /** How long a result is kept after its call, in milliseconds. */
  resultLifetimeMs: number
  /** Speed at which results are fetched, in megabits a second. */
  bandwidthMbps: number
}

/** Limits of a model backend server. */
export interface EngineLimits {
  /** Requests at work at once. */
  concurrency: number
  /** Tokens that its memory holds. */
  memoryTokens: number
}

/** A pool of backend servers. */
export interface Service {
  name: string
  /** Connections that one backend server takes from all callers together. */
  maxConnections: number
  engine?: EngineLimits
  stage?: StageLimits
  /** How long a backend server is cold after its start, in milliseconds. @default 0 */
  coldStartMs?: number
  /** Requests a second that a cold backend server withstands from all callers together; absent where there is no bound. */
  coldPerSecond?: number
}

/** Bounds on what a client may send and how long it may take. */
export interface ClientLimits {
  /** Request line and headers together. */
  maxHeaderBytes: number
  maxBodyBytes: number
  /** How long a head may take to come. */
  headerTimeoutMs: number
  /** How long an idle connection is kept. */
  idleTimeoutMs: number
}

/** A customer with its keys. */
export interface ClientAccount {
  name: string
  keys: string[]
  /** Goes before the route's priority. */
  priority?: number
}

/** The whole configuration under one version. */
export interface Configuration {
  /** Higher is newer. */
  version: number
  routes: Route[]
  services: Service[]
  limits: ClientLimits
  accounts: ClientAccount[]
}
