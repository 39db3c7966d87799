/**
 * Builds the last landed version of the gateway from the repository history, to
 * run it side by side with the current one.
 */
import { execFileSync } from 'node:child_process'
import { existsSync, mkdirSync, mkdtempSync, readdirSync, symlinkSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

/** The last landed version; updated with every landing (CONTRIBUTING.md). */
export const LANDED_COMMIT = 'e6a455d'

/** Scope of the workspace packages, which are not shared between versions. */
const WORKSPACE_SCOPE = '@eidermast'

/** Whether the history contains that version; a shallow clone may not. */
export function hasLandedCommit(): boolean {
  try {
    execFileSync('git', ['cat-file', '-e', `${LANDED_COMMIT}^{commit}`], { stdio: 'ignore' })
    return true
  }
  catch {
    return false
  }
}

/** Builds the version in a temporary directory; returns the path of its bundle. */
export function buildLanded(): string {
  const directory = mkdtempSync(path.join(tmpdir(), 'eidermast-landed-'))
  const archive = execFileSync('git', ['archive', LANDED_COMMIT], { maxBuffer: 1e9 })
  execFileSync('tar', ['-x', '-C', directory], { input: archive })
  linkModules(directory)
  mkdirSync(path.join(directory, 'target'))
  execFileSync('node', ['platform/build.mjs'], { cwd: directory })
  return path.join(directory, 'target/eidermast-gateway.mjs')
}

/** Links the external libraries of this checkout and the version's own workspace packages. */
function linkModules(directory: string): void {
  const modules = path.join(directory, 'node_modules')
  const scope = path.join(modules, WORKSPACE_SCOPE)
  mkdirSync(scope, { recursive: true })
  for (const name of readdirSync('node_modules').filter(name => name !== WORKSPACE_SCOPE && !name.startsWith('.')))
    symlinkSync(path.resolve('node_modules', name), path.join(modules, name))
  for (const name of readdirSync(path.join(directory, 'packages')))
    symlinkSync(path.join(directory, 'packages', name), path.join(scope, name))
  if (existsSync(path.join(directory, 'platform')))
    symlinkSync(path.join(directory, 'platform'), path.join(scope, 'platform'))
}
