/**
 * Kinds of requests that a load run sends: one for each pair of a published
 * pipeline and a client account, and one for each plain service.
 */
import type { Account, Configuration, Priority, Template } from '@eidermast/daemon'
import { BackendRole, ObjectKind } from '@eidermast/daemon'

/** One kind of request. */
export interface LoadKind {
  name: string
  account: string
  /** Relative frequency. */
  weight: number
  priority: Priority | 'service'
  /** Milliseconds. */
  deadlineMs: number
  method: 'GET' | 'POST'
  /** URL path for the request with the given index. */
  path: (index: number) => string
  /** Input text for the request with the given index; undefined for plain services. */
  input?: (index: number) => string
}

/** A configuration object with its name. */
interface NamedObject<Value> {
  name: string
  value: Value
}

/** Fraction of requests sent to plain services, if any are published. */
const SERVICE_SHARE = 0.2

/** Plain services have no deadline; this one only separates late from attained requests in the report. */
const SERVICE_DEADLINE_MS = 1000

/** Number of distinct input prefixes; inputs share prefixes as in production traffic. */
const TOPIC_COUNT = 20

/** Creates the request kinds from the published configuration; pipelines are weighted by account share. */
export function createLoadKinds(configuration: Configuration): LoadKind[] {
  const templates = configuration.list(ObjectKind.Template)
  const accounts = configuration.list(ObjectKind.Account)
  const services = listPlainServices(configuration)
  const totalShare = accounts.reduce((sum, account) => sum + account.value.share, 0)
  const pipelineShare = services.length > 0 ? 1 - SERVICE_SHARE : 1
  const pipelineKinds = templates.flatMap(template => accounts.map((account) => {
    const weight = (account.value.share / totalShare / templates.length) * pipelineShare
    return createPipelineKind(template, account, weight)
  }))
  const account = accounts[0]?.name ?? ''
  const serviceKinds = services.map(service => createServiceKind(service, account, SERVICE_SHARE / services.length))
  return [...pipelineKinds, ...serviceKinds]
}

function listPlainServices(configuration: Configuration): string[] {
  const backends = configuration.list(ObjectKind.Backend).filter(({ value }) => value.role === BackendRole.Plain)
  return [...new Set(backends.map(({ value }) => value.service))]
}

function createPipelineKind(template: NamedObject<Template>, account: NamedObject<Account>, weight: number): LoadKind {
  const topic = `of ${template.name} for ${account.name}, in the words of the house and with the names of its places.`
  return {
    name: template.name,
    account: account.name,
    weight,
    priority: account.value.priority ?? template.value.priority,
    deadlineMs: account.value.deadlineMs ?? template.value.deadlineMs,
    method: 'POST',
    path: () => `/v1/pipelines/${template.name}/requests`,
    input: index => `Topic ${index % TOPIC_COUNT} ${topic} Question ${index}`,
  }
}

function createServiceKind(service: string, account: string, weight: number): LoadKind {
  return {
    name: service,
    account,
    weight,
    priority: 'service',
    deadlineMs: SERVICE_DEADLINE_MS,
    method: 'GET',
    path: index => `/v1/services/${service}/items/${index}`,
  }
}
