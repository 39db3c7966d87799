import type { RecordedRequest } from '../support/oracle.js'
import { Ran, wait } from '@eidermast/common'
import { DeploymentName, LogOutage, ProcessKind, resolveDeployment, RunningSystem } from '@eidermast/stand-ins'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { readSeeds } from '../soak/support/soak-seeds.js'
import { CallerRecord } from '../support/oracle.js'

const PIPELINES = [
  { name: 'rider-answer', unrepeatable: false },
  { name: 'manifest-explanation', unrepeatable: false },
  { name: 'departure-alert', unrepeatable: true },
  { name: 'attestation', unrepeatable: true },
]
const STEPS = 12
const REQUESTS_PER_STEP = 10
const STEP_MS = 300
const DEADLINE = { 'eidermast-deadline-ms': '4000' }

let system: RunningSystem

beforeAll(async () => {
  const small = resolveDeployment(DeploymentName.Small)
  system = await RunningSystem.launch({ deployment: { ...small, entries: 3 } })
})

afterEach(() => system.recover(), 30_000)

afterAll(() => system.stop())

/** Faults that are injected at random while requests are in flight. */
enum Fault {
  KillEntry = 'kill-entry',
  KillSide = 'kill-side',
  KillBackend = 'kill-backend',
  FreezeEntry = 'freeze-entry',
  FreezeSide = 'freeze-side',
  LogOut = 'log-out',
  LogSlow = 'log-slow',
  LogLosesAcknowledgements = 'log-loses-acknowledgements',
  ListOut = 'list-out',
  DropReplies = 'drop-replies',
  FailingBackend = 'failing-backend',
  SlowBackend = 'slow-backend',
  None = 'none',
}

class FaultRun {
  readonly record = new CallerRecord()
  private readonly random
  private readonly sends: Promise<unknown>[] = []
  private readonly injected: string[] = []

  constructor(private readonly seed: number) {
    this.random = xoroshiro128plus(seed)
  }

  async run(): Promise<void> {
    for (let step = 0; step < STEPS; step++) {
      this.sendBatch()
      await this.inject(this.pickRandom(Object.values(Fault)))
      await wait(STEP_MS)
    }
    // Frozen processes have to resume before their callers get a response.
    for (const { name, child } of system.processes.values()) {
      if (child.exitCode === null && child.signalCode === null)
        system.signal(name, 'SIGCONT')
    }
    await Promise.all(this.sends)
  }

  describe(): string {
    return `seed ${this.seed}, faults ${this.injected.join(', ')}, answers ${JSON.stringify(this.record.summarize())}`
  }

  /** Sends new requests and repeats some earlier unrepeatable ones under the same request ids. */
  private sendBatch(): void {
    for (let index = 0; index < REQUESTS_PER_STEP; index++) {
      const { name, unrepeatable } = this.pickRandom(PIPELINES)
      const request = this.record.begin(name, `${name} ${this.seed} ${this.record.requests.length}`, unrepeatable)
      this.send(request)
      if (unrepeatable && this.randomBelow(3) === 0)
        this.send(request)
    }
    const old = this.record.requests.filter(request => request.unrepeatable)
    for (let index = 0; index < 3 && old.length > 0; index++)
      this.send(this.pickRandom(old))
  }

  private send(request: RecordedRequest): void {
    this.sends.push(this.record.send(request, this.pickRandom(system.entryUrls), DEADLINE))
  }

  private async inject(fault: Fault): Promise<void> {
    this.injected.push(fault)
    switch (fault) {
      case Fault.KillEntry:
        return this.restartOne(ProcessKind.Entry)
      case Fault.KillSide:
        return this.restartOne(ProcessKind.Side)
      case Fault.KillBackend:
        return this.restartOne(ProcessKind.Backend)
      case Fault.FreezeEntry:
        return this.freezeOne(ProcessKind.Entry)
      case Fault.FreezeSide:
        return this.freezeOne(ProcessKind.Side)
      case Fault.LogOut:
        return system.setFaults(system.logServiceUrl, { outage: this.pickRandom([LogOutage.Refuse, LogOutage.Hang]) })
      case Fault.LogSlow:
        return system.setFaults(system.logServiceUrl, { delayMs: 300 })
      case Fault.LogLosesAcknowledgements:
        return system.setFaults(system.logServiceUrl, { dropAcknowledgements: 3, repeatAppends: 2 })
      case Fault.ListOut:
        return system.setFaults(system.virtualMachineListUrl, { out: true })
      case Fault.DropReplies:
        return this.setBackendFaults({ dropReplies: 3 })
      case Fault.FailingBackend:
        return this.setBackendFaults({ failShare: 0.5 })
      case Fault.SlowBackend:
        return this.setBackendFaults({ slowFactor: 20 })
      case Fault.None:
        await system.setFaults(system.logServiceUrl, {})
    }
  }

  private async restartOne(kind: ProcessKind): Promise<void> {
    const { name } = this.pickRandom(system.list(kind))
    await system.end(name, 'SIGKILL')
    await system.restart(name)
  }

  private async freezeOne(kind: ProcessKind): Promise<void> {
    const { name } = this.pickRandom(system.list(kind))
    system.signal(name, 'SIGSTOP')
    setTimeout(() => system.signal(name, 'SIGCONT'), STEP_MS * 4)
  }

  private async setBackendFaults(faults: object): Promise<void> {
    await system.setFaults(this.pickRandom(system.list(ProcessKind.Backend)).url!, faults)
  }

  private pickRandom<Value>(values: readonly Value[]): Value {
    return values[this.randomBelow(values.length)]
  }

  private randomBelow(limit: number): number {
    return unsafeUniformIntDistribution(0, limit - 1, this.random)
  }
}

describe('under mixed faults, sequential and concurrent', () => {
  test.each(readSeeds([1, 2, 3, 4, 5, 6]))('no result is lost, duplicated or returned to another caller, and "not run" means that nothing ran (seed %i)', async (seed) => {
    const run = new FaultRun(seed)
    await run.run()
    await system.recover()
    expect(run.record.violations(system), run.describe()).toEqual([])
    const unanswered = run.record.requests.filter(({ answers, broken }) => answers.length + broken === 0)
    expect(unanswered, 'every request gets a response or its connection is closed').toEqual([])
    const errorAnswers = run.record.requests.flatMap(request => request.answers).filter(answer => answer.status !== 200)
    expect(errorAnswers.every(answer => answer.ran !== undefined && Object.values(Ran).includes(answer.ran))).toBe(true)
    if (process.env.EIDERMAST_SHOW_FAULTS)
      console.log(run.describe())
  }, 60_000)
})
