/**
 * Writes the settings files of a launched deployment: one for each daemon process
 * and one for the operators' command line. They are written once, during launch.
 */
import { writeFileSync } from 'node:fs'
import path from 'node:path'

/** URLs of the platform's stand-ins. */
export interface PlatformUrls {
  log: string
  virtualMachines: string
  weightStore: string
}

/** Settings of one section, by key. */
export interface SectionSettings {
  [key: string]: string
}

/** Settings of a daemon process. */
export interface DaemonSettings {
  name: string
  role: 'entry' | 'side'
  failureDomain: string
  /** Shared key of the system's processes. */
  key: string
  platform: PlatformUrls
  /** Additional settings for the section `platform`. */
  platformSettings?: SectionSettings
  /** Settings for the section named after the role. */
  roleSettings: SectionSettings
}

interface IniSections {
  [section: string]: SectionSettings
}

/** Writes the settings file of a daemon process; returns its path. */
export function writeDaemonSettings(directory: string, settings: DaemonSettings): string {
  const { name, role, platform } = settings
  const file = path.join(directory, `${name}.ini`)
  writeFileSync(file, formatIni({
    process: {
      role,
      name,
      'virtual-machine': name,
      'failure-domain': settings.failureDomain,
      'host': '127.0.0.1',
      'key': settings.key,
    },
    platform: {
      'log': platform.log,
      'virtual-machines': platform.virtualMachines,
      'weight-store': platform.weightStore,
      ...settings.platformSettings,
    },
    [role]: settings.roleSettings,
  }))
  return file
}

/** Returns the path of the command line's settings file in a deployment's directory. */
export function commandLineSettingsFile(directory: string): string {
  return path.join(directory, 'eidermast.ini')
}

/** Writes the settings file of the command line. */
export function writeCommandLineSettings(directory: string, platform: PlatformUrls, key: string, entryUrls: string[]): void {
  writeFileSync(commandLineSettingsFile(directory), formatIni({
    platform: { 'log': platform.log, 'virtual-machines': platform.virtualMachines },
    peers: { key },
    callers: { entries: entryUrls.join(', ') },
  }))
}

function formatIni(sections: IniSections): string {
  return Object.entries(sections).map(([section, settings]) => formatSection(section, settings)).join('\n')
}

function formatSection(section: string, settings: SectionSettings): string {
  const lines = Object.entries(settings).map(([key, value]) => `${key} = ${value}\n`)
  return `[${section}]\n${lines.join('')}`
}
