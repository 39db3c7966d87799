/**
 * The initial configuration of a launched deployment: its templates, client
 * accounts and backend servers, each as a change record for the log.
 */
import type { ChangeRecord } from '@eidermast/daemon'
import type { Deployment, PoolDeployment } from './deployment.js'
import { BackendOrder, BackendRole, backendSchema, NO_OFFSET, ObjectKind, RecordKind } from '@eidermast/daemon'
import { v7 as uuidv7 } from 'uuid'
import { BackendKind } from './backend-service.js'
import { backendName, checksFences, failureDomain } from './deployment.js'

/**
 * Creates the change records of the initial configuration.
 * @param deployment The deployment to publish.
 * @param addressOf Returns host and port of the side of a backend server, by name.
 */
export function createInitialConfiguration(deployment: Deployment, addressOf: (name: string) => string): ChangeRecord[] {
  const { templates, accounts, pools } = deployment
  const backends = pools.flatMap((pool) => {
    return Array.from({ length: pool.replicas }, (_, index) => createBackend(deployment, pool, index, addressOf))
  })
  return [
    ...templates.map(template => createChange(ObjectKind.Template, template.name, template.value)),
    ...accounts.map(account => createChange(ObjectKind.Account, account.name, account.value)),
    ...backends,
  ]
}

function createBackend(deployment: Deployment, pool: PoolDeployment, index: number, addressOf: (name: string) => string): ChangeRecord {
  const name = backendName(pool, index)
  return createChange(ObjectKind.Backend, name, backendSchema.parse({
    order: BackendOrder.In,
    role: pool.kind === BackendKind.Plain ? BackendRole.Plain : BackendRole.Stage,
    service: pool.service,
    virtualMachine: name,
    address: addressOf(name),
    failureDomain: failureDomain(deployment, index),
    checksOrders: checksFences(index),
    model: pool.model,
    version: pool.version,
    adapters: pool.adapters ?? [],
  }))
}

function createChange(kind: ObjectKind, name: string, value: unknown): ChangeRecord {
  return { record: RecordKind.Change, id: uuidv7(), kind, name, base: NO_OFFSET, value, author: 'launcher' }
}
