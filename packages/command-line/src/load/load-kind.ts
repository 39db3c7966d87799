/**
 * Kinds of requests that a load run sends.
 */
import type { Configuration, Priority } from '@eidermast/daemon'
import { BackendRole, ObjectKind } from '@eidermast/daemon'

/** One kind of request. */
export interface LoadKind {
  name: string
  account: string
  /** How often it is sent, relative to the others. */
  weight: number
  priority: Priority | 'service'
  deadlineMs: number
  unrepeatable: boolean
  method: 'GET' | 'POST'
  /** Path at an entry, for the number of the request. */
  path: (index: number) => string
  /** Text of the input, for the number of the request; undefined for plain services. */
  input?: (index: number) => string
}

/** Part of the requests that go to plain services. */
const SERVICE_PART = 0.2
const SERVICE_DEADLINE_MS = 1000
/** Inputs repeat their beginning within this many topics, so that prefixes are shared. */
const TOPICS = 20

/** Kinds from the published configuration: every pipeline by every account, by the accounts' weights, and every plain service. */
export function createLoadKinds(configuration: Configuration): LoadKind[] {
  const templates = configuration.list(ObjectKind.Template)
  const accounts = configuration.list(ObjectKind.Account)
  const services = new Set(configuration.list(ObjectKind.Backend).filter(backend => backend.value.role === BackendRole.Plain).map(backend => backend.value.service))
  const shares = accounts.reduce((sum, account) => sum + account.value.share, 0)
  const pipelineKinds = templates.flatMap(template => accounts.map((account): LoadKind => ({
    name: template.name,
    account: account.name,
    weight: (account.value.share / shares / templates.length) * (services.size > 0 ? 1 - SERVICE_PART : 1),
    priority: account.value.priority ?? template.value.priority,
    deadlineMs: account.value.deadlineMs ?? template.value.deadlineMs,
    unrepeatable: template.value.unrepeatable || account.value.unrepeatable.includes(template.name),
    method: 'POST',
    path: () => `/v1/pipelines/${template.name}/requests`,
    input: index => `Topic ${index % TOPICS} of ${template.name} for ${account.name}, in the words of the house and with the names of its places. Question ${index}`,
  })))
  const serviceKinds = [...services].map((service): LoadKind => ({
    name: service,
    account: accounts[0]?.name ?? '',
    weight: SERVICE_PART / services.size,
    priority: 'service',
    deadlineMs: SERVICE_DEADLINE_MS,
    unrepeatable: false,
    method: 'GET',
    path: index => `/v1/services/${service}/items/${index}`,
  }))
  return [...pipelineKinds, ...serviceKinds]
}
