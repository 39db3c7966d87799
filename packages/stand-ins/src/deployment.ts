/**
 * The users' deployments: failure domains, backend servers, templates and
 * client accounts, in the sizes that are in production.
 */
import type { Account, Template } from '@eidermast/daemon'
import { accountSchema, Priority, templateSchema } from '@eidermast/daemon'
import { BackendKind } from './backend-service.js'

/** Names of the users' deployments, and of a small one for tests. */
export enum DeploymentName {
  Coventry = 'coventry',
  Montevideo = 'montevideo',
  Small = 'small',
}

/** The backend servers of one service. */
export interface PoolDeployment {
  service: string
  kind: BackendKind
  replicas: number
  /** Maximum number of concurrent runs per backend server. */
  slots: number
  /** Duration of a run in milliseconds, without its tokens. */
  baseMs: number
  /** Duration of each generated token in milliseconds. */
  tokenMs: number
  model?: string
  version?: string
  adapters?: string[]
}

/** A template or client account with its name. */
export interface Named<Value> {
  name: string
  value: Value
}

export interface Deployment {
  name: DeploymentName
  failureDomains: string[]
  entries: number
  pools: PoolDeployment[]
  templates: Named<Template>[]
  accounts: Named<Account>[]
}

/** The language model that every deployment serves. */
const LANGUAGE_MODEL = 'transit-writer'
const LANGUAGE_MODEL_VERSION = 'v1'

interface TemplateOptions {
  name: string
  deadlineMs: number
  tokens: number
  priority: Priority
  unrepeatable?: boolean
}

/** The four stages of every pipeline: encode, retrieve, rerank and generate. */
function createTemplate({ name, deadlineMs, tokens, priority, unrepeatable = false }: TemplateOptions): Named<Template> {
  const value = templateSchema.parse({
    stages: [
      { name: 'encode', service: 'encoder', costPerCall: 1 },
      { name: 'retrieve', service: 'retriever', costPerCall: 1 },
      { name: 'rerank', service: 'reranker', costPerCall: 2 },
      {
        name: 'generate',
        service: 'language-model',
        model: LANGUAGE_MODEL,
        version: LANGUAGE_MODEL_VERSION,
        costPerMillisecond: 0.5,
        maxTokens: tokens,
      },
    ],
    deadlineMs,
    priority,
    unrepeatable,
  })
  return { name, value }
}

function createAccount(name: string, share: number): Named<Account> {
  return { name, value: accountSchema.parse({ share }) }
}

function createStagePools(languageModelReplicas: number, poolReplicas: number): PoolDeployment[] {
  return [
    { service: 'encoder', kind: BackendKind.Pool, replicas: poolReplicas, slots: 8, baseMs: 4, tokenMs: 0 },
    { service: 'retriever', kind: BackendKind.Pool, replicas: poolReplicas, slots: 8, baseMs: 6, tokenMs: 0 },
    { service: 'reranker', kind: BackendKind.Pool, replicas: poolReplicas, slots: 8, baseMs: 8, tokenMs: 0 },
    {
      service: 'language-model',
      kind: BackendKind.Engine,
      replicas: languageModelReplicas,
      slots: 8,
      baseMs: 20,
      tokenMs: 2,
      model: LANGUAGE_MODEL,
      version: LANGUAGE_MODEL_VERSION,
      adapters: ['house-style'],
    },
  ]
}

function createPlainPool(service: string, replicas: number): PoolDeployment {
  return { service, kind: BackendKind.Plain, replicas, slots: 32, baseMs: 2, tokenMs: 0 }
}

const COVENTRY_TEMPLATES: Named<Template>[] = [
  createTemplate({ name: 'rider-answer', deadlineMs: 1000, tokens: 24, priority: Priority.High }),
  createTemplate({ name: 'disruption-digest', deadlineMs: 2000, tokens: 48, priority: Priority.Normal }),
  createTemplate({ name: 'feed-tag', deadlineMs: 5000, tokens: 12, priority: Priority.Low }),
  createTemplate({ name: 'departure-alert', deadlineMs: 1000, tokens: 12, priority: Priority.High, unrepeatable: true }),
]

const MONTEVIDEO_TEMPLATES: Named<Template>[] = [
  createTemplate({ name: 'attestation', deadlineMs: 2000, tokens: 32, priority: Priority.High, unrepeatable: true }),
  createTemplate({ name: 'manifest-explanation', deadlineMs: 1000, tokens: 24, priority: Priority.Normal }),
  createTemplate({ name: 'provenance-summary', deadlineMs: 5000, tokens: 48, priority: Priority.Low }),
]

const COVENTRY_ACCOUNTS: Named<Account>[] = [
  createAccount('rider-app', 8),
  createAccount('depot-control', 4),
  createAccount('council-warwick', 1),
  createAccount('council-solihull', 1),
  createAccount('feed-desk', 2),
]

const MONTEVIDEO_ACCOUNTS: Named<Account>[] = [
  createAccount('medidores-sur', 6),
  createAccount('placas-oriental', 4),
  createAccount('red-electrica', 2),
  createAccount('integrador-norte', 1),
  createAccount('taller-rio', 1),
]

const DEPLOYMENTS: Record<DeploymentName, Deployment> = {
  [DeploymentName.Coventry]: {
    name: DeploymentName.Coventry,
    failureDomains: ['coventry-a', 'coventry-b', 'coventry-c', 'coventry-d'],
    entries: 3,
    pools: [
      ...createStagePools(6, 3),
      createPlainPool('rider-app-backend', 4),
      createPlainPool('feed-ingest', 5),
      createPlainPool('council-portal', 5),
      createPlainPool('alert-push', 5),
    ],
    templates: COVENTRY_TEMPLATES,
    accounts: COVENTRY_ACCOUNTS,
  },
  [DeploymentName.Montevideo]: {
    name: DeploymentName.Montevideo,
    failureDomains: ['montevideo-a', 'montevideo-b', 'montevideo-c'],
    entries: 3,
    pools: [
      ...createStagePools(13, 3),
      createPlainPool('queue-front-end', 3),
      createPlainPool('key-custody', 4),
      createPlainPool('intake-bridge', 4),
      createPlainPool('audit-trail', 4),
    ],
    templates: MONTEVIDEO_TEMPLATES,
    accounts: MONTEVIDEO_ACCOUNTS,
  },
  [DeploymentName.Small]: {
    name: DeploymentName.Small,
    failureDomains: ['small-a', 'small-b'],
    entries: 2,
    pools: [...createStagePools(2, 2), createPlainPool('rider-app-backend', 2)],
    templates: [...COVENTRY_TEMPLATES, ...MONTEVIDEO_TEMPLATES],
    accounts: [...COVENTRY_ACCOUNTS, ...MONTEVIDEO_ACCOUNTS],
  },
}

export function resolveDeployment(name: DeploymentName): Deployment {
  return DEPLOYMENTS[name]
}

/** Returns the name shared by a backend server, its side and its VM. */
export function backendName(pool: PoolDeployment, index: number): string {
  return `${pool.service}-${index + 1}`
}

/** Every other backend server rejects orders with an outdated fence, so that a deployment contains both variants. */
export function checksFences(index: number): boolean {
  return index % 2 === 0
}

/** Assigns failure domains round-robin, by the index of a process among those of its kind. */
export function failureDomain({ failureDomains }: Deployment, index: number): string {
  return failureDomains[index % failureDomains.length]
}
