/**
 * Test helper that changes configuration objects on the log as an operator does.
 */
import type { Backend, LogClient, Publication } from '@eidermast/daemon'
import { ObjectKind, publishChange, readConfiguration } from '@eidermast/daemon'

/** Publishes a change to some fields of a backend server, based on its newest version. */
export async function changeBackend(client: LogClient, name: string, change: Partial<Backend>): Promise<Publication> {
  const configuration = await readConfiguration(client)
  const { value, offset } = configuration!.get(ObjectKind.Backend, name)!
  return await publishChange(client, { kind: ObjectKind.Backend, name, value: { ...value, ...change }, base: offset })
}
