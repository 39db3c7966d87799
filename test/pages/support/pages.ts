/**
 * Parses the documentation pages into code spans, code blocks, links and anchors.
 */
import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'

/** The repository's root. */
export const ROOT = path.resolve(import.meta.dirname, '../../..')

/**
 * Historical pages, which are not checked against the code: they keep names that
 * were current at the time of writing and may no longer exist.
 */
const HISTORICAL_PAGES = ['docs/FINDINGS.md', 'docs/incidents/']

/** Inline code and its position. */
export interface CodeSpan {
  /** Path of the page, relative to the root. */
  page: string
  /** Line number, starting at 1. */
  line: number
  text: string
}

/** A fenced code block. */
export interface CodeBlock {
  page: string
  /** Language of the block, such as `ini`; empty if none is given. */
  language: string
  text: string
}

/** A link and its position. */
export interface PageLink {
  page: string
  line: number
  /** Link target as written. */
  target: string
}

/** Returns the paths of all pages, relative to the root. */
export function allPages(): string[] {
  const docs = readdirSync(path.join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' })
  return ['README.md', 'CONTRIBUTING.md', ...docs.filter(name => name.endsWith('.md')).map(name => `docs/${name}`)].sort()
}

/** Returns the paths of the pages that are checked against the code, relative to the root. */
export function currentPages(): string[] {
  return allPages().filter(page => !HISTORICAL_PAGES.some(history => page.startsWith(history)))
}

/** Reads a file by its path relative to the root. */
export function readFromRoot(file: string): string {
  return readFileSync(path.join(ROOT, file), 'utf8')
}

/** Returns the inline code of a page, without fenced blocks. */
export function codeSpans(page: string): CodeSpan[] {
  return proseLines(page).flatMap(({ line, text }) =>
    [...text.matchAll(/`([^`]+)`/g)].map(match => ({ page, line, text: match[1].replaceAll('\\|', '|') })))
}

/** Returns the fenced code blocks of a page. */
export function codeBlocks(page: string): CodeBlock[] {
  return [...readFromRoot(page).matchAll(/^```(\w*)\n([\s\S]*?)^```/gm)].map(([, language, text]) => ({ page, language, text }))
}

/** Returns the links of a page. */
export function links(page: string): PageLink[] {
  return proseLines(page).flatMap(({ line, text }) =>
    [...text.replaceAll(/`[^`]*`/g, 'code').matchAll(/\]\(([^)\s]+)\)/g)].map(match => ({ page, line, target: match[1] })))
}

/** Returns the anchors of a page's headings, as GitHub generates them. */
export function anchors(page: string): Set<string> {
  const headings = proseLines(page).filter(({ text }) => /^#{1,6} /.test(text)).map(({ text }) => text.replace(/^#+ /, ''))
  return new Set(headings.map(heading => heading.toLowerCase().replaceAll(/[^\p{L}\p{N} _-]/gu, '').replaceAll(' ', '-')))
}

/** Formats a text with its position for a failure message. */
export function formatPosition({ page, line }: { page: string, line: number }, text: string): string {
  return `${page}:${line} ${text}`
}

/** Returns the numbered lines of a page outside fenced blocks. */
function proseLines(page: string): { line: number, text: string }[] {
  let fenced = false
  return readFromRoot(page).split('\n').flatMap((text, index) => {
    const isFence = text.startsWith('```')
    if (isFence)
      fenced = !fenced
    return fenced || isFence ? [] : [{ line: index + 1, text }]
  })
}
