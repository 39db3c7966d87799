/**
 * Operator configuration: routes, services, client accounts and limits under one
 * version number. The platform's adapter decodes the configuration text into
 * these types, which are immutable afterwards.
 */

/** A service of a route, and its share of the route's requests. */
export interface WeightedService {
  service: string
  /** Relative weight; a service with weight 0 is never chosen. */
  weight: number
}

/** One preparatory stage of a route; stages are identified by their index in the list. */
export interface StageDefinition {
  service: string
  /** Indexes of the stages whose results this one reads. */
  dependsOn: number[]
  /** Approximate size of one result, in bytes. */
  resultBytes: number
}

/** How requests for a host and path prefix are served. */
export interface Route {
  name: string
  host: string
  /** Starts and ends with a slash. */
  pathPrefix: string
  /** Whether the response is an event stream. */
  streaming: boolean
  /** Whether a request may be executed more than once. */
  repeatable: boolean
  /** Whether a stream can be resumed at another backend server after its last event. */
  resumable: boolean
  /** Maximum duration of a request, in milliseconds. */
  timeoutMs: number
  /** Target latency of responses, in milliseconds. */
  targetLatencyMs: number
  /** Target for the maximum gap between events of a stream, in milliseconds. */
  targetGapMs: number
  /** 0 is the highest priority. */
  priority: number
  services: WeightedService[]
  /** Maximum number of backend servers that one request may be sent to. */
  maxAttempts: number
  stages: StageDefinition[]
  /** Whether requests need no API key. */
  public: boolean
}

/** Limits of a backend server of a stage service. */
export interface StageLimits {
  /** Maximum number of concurrent calls. */
  concurrency: number
  /** Maximum number of items per call. */
  batch: number
  /** Fixed duration of a call, in milliseconds. */
  callMs: number
  /** Additional duration per item, in milliseconds. */
  itemMs: number
  /** Memory for results, in bytes. */
  resultMemoryBytes: number
  /** How long a result is stored after its call, in milliseconds. */
  resultLifetimeMs: number
  /** Bandwidth for fetching results, in megabits per second. */
  bandwidthMbps: number
}

/** Limits of a backend server that runs a model engine. */
export interface EngineLimits {
  /** Maximum number of concurrent requests. */
  concurrency: number
  /** Capacity of its KV cache, in tokens. */
  memoryTokens: number
}

/** A pool of backend servers. */
export interface Service {
  name: string
  /** Maximum number of connections that one backend server accepts from all gateways together. */
  maxConnections: number
  engine?: EngineLimits
  stage?: StageLimits
  /** How long a backend server is cold after its start, in milliseconds. @default 0 */
  coldStartMs?: number
  /** Requests per second that a cold backend server can handle from all gateways together; undefined if there is no limit. */
  coldPerSecond?: number
}

/** Size limits and timeouts for client connections. */
export interface ClientLimits {
  /** Maximum size of request line and headers together. */
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Timeout for receiving a request head. */
  headerTimeoutMs: number
  /** Timeout for idle connections. */
  idleTimeoutMs: number
}

/** A client account with its API keys. */
export interface ClientAccount {
  name: string
  keys: string[]
  /** Takes precedence over the route's priority. */
  priority?: number
}

/** The complete configuration under one version number. */
export interface Configuration {
  /** Higher numbers are newer. */
  version: number
  routes: Route[]
  services: Service[]
  limits: ClientLimits
  accounts: ClientAccount[]
}
