/**
 * Runs a deployment until SIGTERM or SIGINT; prints a JSON line with all addresses
 * and process ids once it is ready.
 */
import { Command, Option } from 'commander'
import { DeploymentName, resolveDeployment } from './deployment.js'
import { RunningSystem } from './running-system.js'

const program = new Command('system')
  .addOption(new Option('--deployment <name>', 'deployment to run')
    .choices(Object.values(DeploymentName))
    .default(DeploymentName.Coventry))
program.parse()

const { deployment } = program.opts<{ deployment: DeploymentName }>()
const system = await RunningSystem.launch({ deployment: resolveDeployment(deployment) })
const processes = [...system.processes.values()].map(({ kind, name, pid, url, peer }) => ({ kind, name, pid, url, peer }))
process.stdout.write(`${JSON.stringify({ deployment, settings: system.commandLineSettings, processes })}\n`)

async function stop(): Promise<void> {
  await system.stop()
  process.exit(0)
}

process.on('SIGTERM', () => void stop())
process.on('SIGINT', () => void stop())
