import type { ListPage, StoredItem, Transaction, WatchEvent, WatchReply } from '../model/key-value-store.js';
import { count, isObj, str } from './json.js';

export function readItem(v: unknown): StoredItem | null {
  if (!isObj(v)) return null;
  const key = str(v.key);
  const version = count(v.mark);
  if (key === null || version === null) return null;
  const lease = count(v.tenure);
  return lease === null
    ? { key, value: v.value, modRevision: version }
    : { key, value: v.value, modRevision: version, leaseId: lease };
}

export function readItems(v: unknown): ListPage | null {
  if (!isObj(v) || !Array.isArray(v.items)) return null;
  const rev = count(v.ring);
  if (rev === null) return null;
  const items: StoredItem[] = [];
  for (const it of v.items) {
    const item = readItem(it);
    if (!item) return null;
    items.push(item);
  }
  return { items, hasMore: v.has_next === true, storeRevision: rev };
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

export function readEvents(v: unknown): WatchReply | null {
  if (!isObj(v)) return null;
  const rev = count(v.ring);
  if (rev === null || !Array.isArray(v.log)) return null;
  const events: WatchEvent[] = [];
  for (const e of v.log) {
    if (!isObj(e)) return null;
    const version = count(e.mark);
    const put = str(e.write);
    const del = str(e.drop);
    if (version === null || (put === null && del === null)) return null;
    if (put !== null) events.push({ type: 'put', key: put, modRevision: version, value: e.value });
    else if (del !== null) events.push({ type: 'delete', key: del, modRevision: version });
  }
  return { storeRevision: rev, events };
}

export function writeTxn(transaction: Transaction): Record<string, unknown> {
  return {
    when: transaction.preconditions.map((w) => ({ key: w.key, mark: w.modRevision })),
    then: transaction.operations.map((op) =>
      op.type === 'delete'
        ? { drop: op.key }
        : op.leaseId !== undefined
          ? { write: op.key, value: op.value, tenure: op.leaseId }
          : { write: op.key, value: op.value },
    ),
  };
}
