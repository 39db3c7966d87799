/**
 * Kinds of requests that a load run sends: every published pipeline by every
 * client account, and every plain service.
 */
import type { Account, Configuration, Priority, Template } from '@eidermast/daemon'
import { BackendRole, ObjectKind } from '@eidermast/daemon'

/** One kind of request. */
export interface LoadKind {
  name: string
  account: string
  /** How often it is sent, relative to the others. */
  weight: number
  priority: Priority | 'service'
  /** Milliseconds. */
  deadlineMs: number
  method: 'GET' | 'POST'
  /** Path at an entry, for the number of the request. */
  path: (index: number) => string
  /** Text of the input, for the number of the request; undefined for plain services. */
  input?: (index: number) => string
}

/** An object of the configuration. */
interface Named<Value> {
  name: string
  value: Value
}

/** Share of the requests that go to plain services, where there are some. */
const SERVICE_SHARE = 0.2

/** Milliseconds; plain services have no deadline of their own. It only parts late from attained in the report. */
const SERVICE_DEADLINE_MS = 1000

/** Inputs begin in this many ways, so that prefixes are shared as in real traffic. */
const TOPICS = 20

/** Kinds from the published configuration, pipelines weighted by the accounts' shares. */
export function createLoadKinds(configuration: Configuration): LoadKind[] {
  const templates = configuration.list(ObjectKind.Template)
  const accounts = configuration.list(ObjectKind.Account)
  const services = plainServices(configuration)
  const allShares = accounts.reduce((sum, account) => sum + account.value.share, 0)
  const pipelineShare = services.length > 0 ? 1 - SERVICE_SHARE : 1
  const pipelineKinds = templates.flatMap(template => accounts.map((account) => {
    const weight = (account.value.share / allShares / templates.length) * pipelineShare
    return createPipelineKind(template, account, weight)
  }))
  const account = accounts[0]?.name ?? ''
  const serviceKinds = services.map(service => createServiceKind(service, account, SERVICE_SHARE / services.length))
  return [...pipelineKinds, ...serviceKinds]
}

function plainServices(configuration: Configuration): string[] {
  const backends = configuration.list(ObjectKind.Backend).filter(({ value }) => value.role === BackendRole.Plain)
  return [...new Set(backends.map(({ value }) => value.service))]
}

function createPipelineKind(template: Named<Template>, account: Named<Account>, weight: number): LoadKind {
  const topic = `of ${template.name} for ${account.name}, in the words of the house and with the names of its places.`
  return {
    name: template.name,
    account: account.name,
    weight,
    priority: account.value.priority ?? template.value.priority,
    deadlineMs: account.value.deadlineMs ?? template.value.deadlineMs,
    method: 'POST',
    path: () => `/v1/pipelines/${template.name}/requests`,
    input: index => `Topic ${index % TOPICS} ${topic} Question ${index}`,
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
