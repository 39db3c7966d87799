/**
 * The pages for readers of the code, cut into what names something in it.
 */
import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'

/** The repository's root. */
export const ROOT = path.resolve(import.meta.dirname, '../../..')

/**
 * Pages that are not held to the code: they are history and keep the names of
 * their day, of things that may be gone.
 */
const HISTORY = ['docs/FINDINGS.md', 'docs/incidents/']

/** Text between backticks, and where it stands. */
export interface CodeSpan {
  /** Path of the page from the root. */
  page: string
  /** Number of the line, from 1. */
  line: number
  text: string
}

/** A block between fences. */
export interface CodeBlock {
  page: string
  /** Word after the opening fence, such as `ini`; empty where there is none. */
  language: string
  text: string
}

/** A link, and where it stands. */
export interface PageLink {
  page: string
  line: number
  /** What it points to, as it is written. */
  target: string
}

/** Paths, from the root, of every page. */
export function allPages(): string[] {
  const docs = readdirSync(path.join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' })
  return ['README.md', 'CONTRIBUTING.md', ...docs.filter(name => name.endsWith('.md')).map(name => `docs/${name}`)].sort()
}

/** Paths, from the root, of the pages that are held to the code. */
export function currentPages(): string[] {
  return allPages().filter(page => !HISTORY.some(history => page.startsWith(history)))
}

/** The text of a file, by its path from the root. */
export function readFromRoot(file: string): string {
  return readFileSync(path.join(ROOT, file), 'utf8')
}

/** Inline code of a page; blocks between fences are left out. */
export function codeSpans(page: string): CodeSpan[] {
  return proseLines(page).flatMap(({ line, text }) =>
    [...text.matchAll(/`([^`]+)`/g)].map(match => ({ page, line, text: match[1].replaceAll('\\|', '|') })))
}

/** Blocks between fences of a page. */
export function codeBlocks(page: string): CodeBlock[] {
  return [...readFromRoot(page).matchAll(/^```(\w*)\n([\s\S]*?)^```/gm)].map(([, language, text]) => ({ page, language, text }))
}

/** Links of a page. */
export function links(page: string): PageLink[] {
  return proseLines(page).flatMap(({ line, text }) =>
    [...text.replaceAll(/`[^`]*`/g, 'code').matchAll(/\]\(([^)\s]+)\)/g)].map(match => ({ page, line, target: match[1] })))
}

/** Anchors of a page's headings, as GitHub makes them. */
export function anchors(page: string): Set<string> {
  const headings = proseLines(page).filter(({ text }) => /^#{1,6} /.test(text)).map(({ text }) => text.replace(/^#+ /, ''))
  return new Set(headings.map(heading => heading.toLowerCase().replaceAll(/[^\p{L}\p{N} _-]/gu, '').replaceAll(' ', '-')))
}

/** Spells where something stands, for a failure's message. */
export function spell({ page, line }: { page: string, line: number }, text: string): string {
  return `${page}:${line} ${text}`
}

/** Lines of a page outside fences, with their numbers. */
function proseLines(page: string): { line: number, text: string }[] {
  let fenced = false
  return readFromRoot(page).split('\n').flatMap((text, index) => {
    const isFence = text.startsWith('```')
    if (isFence)
      fenced = !fenced
    return fenced || isFence ? [] : [{ line: index + 1, text }]
  })
}
