import type { Item, StateEvent, Txn } from '../core/types.js';
import { count, isObj, str } from './json.js';

export function readItem(v: unknown): Item | null {
  if (!isObj(v)) return null;
  const key = str(v.key);
  const version = count(v.mark);
  if (key === null || version === null) return null;
  const lease = count(v.tenure);
  return lease === null ? { key, value: v.value, version } : { key, value: v.value, version, lease };
}

export function readItems(v: unknown): { items: Item[]; more: boolean; rev: number } | null {
  if (!isObj(v) || !Array.isArray(v.items)) return null;
  const rev = count(v.ring);
  if (rev === null) return null;
  const items: Item[] = [];
  for (const it of v.items) {
    const item = readItem(it);
    if (!item) return null;
    items.push(item);
  }
  return { items, more: v.has_next === true, rev };
}

export function readRev(v: unknown): number | null {
  return isObj(v) ? count(v.ring) : null;
}

export function readFailed(v: unknown): string[] {
  return isObj(v) && Array.isArray(v.failed)
    ? v.failed.filter((k): k is string => typeof k === 'string')
    : [];
}

export function readLease(v: unknown): number | null {
  return isObj(v) ? count(v.tenure) : null;
}

export function readEvents(v: unknown): { rev: number; events: StateEvent[] } | null {
  if (!isObj(v)) return null;
  const rev = count(v.ring);
  if (rev === null || !Array.isArray(v.log)) return null;
  const events: StateEvent[] = [];
  for (const e of v.log) {
    if (!isObj(e)) return null;
    const version = count(e.mark);
    const put = str(e.write);
    const del = str(e.drop);
    if (version === null || (put === null && del === null)) return null;
    events.push({ key: put ?? (del as string), version, value: e.value, gone: put === null });
  }
  return { rev, events };
}

export function writeTxn(t: Txn): Record<string, unknown> {
  return {
    when: t.when.map((w) => ({ key: w.key, mark: w.version })),
    then: t.then.map((op) =>
      'del' in op
        ? { drop: op.del }
        : op.lease !== undefined
          ? { write: op.put, value: op.value, tenure: op.lease }
          : { write: op.put, value: op.value },
    ),
  };
}
