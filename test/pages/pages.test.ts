import path from 'node:path'
import { describe, expect, test } from 'vitest'
import { allPages, anchors, codeSpans, currentPages, formatPosition, links } from './support/pages.js'
import { existsInRepository, readSources, repositoryFiles } from './support/sources.js'

const spans = currentPages().flatMap(codeSpans)
const sources = readSources()

/** Top-level directories of the repository that pages refer to. */
const ROOT_FOLDERS = ['.ci', 'deploy', 'docs', 'journal', 'packages', 'platform', 'test']
const FILE_PATH = new RegExp(`^(?:${ROOT_FOLDERS.map(name => name.replace('.', '\\.')).join('|')})/[\\w./-]*$`)
const BARE_FILE = /^[a-z][\w-]*(?:\.\w+)*\.(?:ts|mjs|md|toml|ini)$/
/** An event, error kind, settings key or other name that is a string literal in the sources. */
const QUOTED_NAME = /^[a-z]+(?:-[a-z]+)+$/
const METRIC = /^eidermast_\w+$/
/** A type, function, enum member or constant. */
const IDENTIFIER = /^(?:[A-Z][a-z]+[A-Z]\w*|[a-z]+[A-Z]\w*|[A-Z][A-Za-z]+\.[A-Za-z]+|[A-Z][A-Z0-9]*_[A-Z0-9_]+)$/
const SECTION_KEY = /^\[([a-z]+)\](?: ([a-z-]+))?(?: = (\S+))?$/

/** Files that exist only while they have content. */
const MAY_BE_ABSENT = new Set(['KNOWN-RED.txt'])

function isQuoted(name: string): boolean {
  return sources.includes(`'${name}'`) || sources.includes(`"${name}"`) || new RegExp(`^${name} = `, 'm').test(sources)
}

function findUnknownSpans(pattern: RegExp, isKnown: (text: string) => boolean): string[] {
  return spans.filter(({ text }) => pattern.test(text) && !MAY_BE_ABSENT.has(text) && !isKnown(text)).map(span => formatPosition(span, span.text))
}

describe('pages', () => {
  test('are found, and only historical ones are exempt', () => {
    const exempt = allPages().filter(page => !currentPages().includes(page))
    expect(exempt.every(page => page === 'docs/FINDINGS.md' || page.startsWith('docs/incidents/'))).toBe(true)
    expect(currentPages()).toContain('README.md')
    expect(spans.length).toBeGreaterThan(300)
  })

  test.each(allPages())('%s links to files and headings that exist', (page) => {
    const broken = links(page).filter(({ target }) => {
      if (/^https?:/.test(target))
        return false
      const [file, anchor] = target.split('#')
      const linked = file === '' ? page : path.posix.join(path.posix.dirname(page), file)
      return !existsInRepository(linked) || (anchor !== undefined && !anchors(linked).has(anchor))
    })
    expect(broken.map(link => formatPosition(link, link.target))).toEqual([])
  })

  test('name files and folders that exist', () => {
    expect(findUnknownSpans(FILE_PATH, existsInRepository)).toEqual([])
  })

  test('name files by their path relative to the root, or by their base name', () => {
    expect(findUnknownSpans(/^[\w./-]+\/[\w.-]+\.(?:ts|mjs|md|toml|ini)$/, text => FILE_PATH.test(text))).toEqual([])
  })

  test('name existing modules when they omit the directory', () => {
    const names = new Set(repositoryFiles().map(file => path.posix.basename(file)))
    expect(findUnknownSpans(BARE_FILE, name => names.has(name))).toEqual([])
  })

  test('name events, error kinds and settings keys that exist in the sources', () => {
    expect(findUnknownSpans(QUOTED_NAME, isQuoted)).toEqual([])
  })

  test('name metrics that are served', () => {
    expect(findUnknownSpans(METRIC, isQuoted)).toEqual([])
  })

  test('name types, functions and constants that exist in the sources', () => {
    const isKnown = (name: string): boolean => name.split('.').every(part => new RegExp(`\\b${part}\\b`).test(sources))
    expect(findUnknownSpans(IDENTIFIER, isKnown)).toEqual([])
  })

  test('name settings sections and keys that exist in the sources', () => {
    const isKnown = (text: string): boolean => {
      const [, section, key, value] = SECTION_KEY.exec(text)!
      return sources.includes(`${section}: `) && [key, value].every(name => name === undefined || isKeyOrValue(name))
    }
    expect(findUnknownSpans(SECTION_KEY, isKnown)).toEqual([])
  })
})

function isKeyOrValue(name: string): boolean {
  return isQuoted(name) || new RegExp(`^\\s+${name}: `, 'm').test(sources)
}
