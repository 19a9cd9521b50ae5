import type { KeyValueStore } from '../../src/model/key-value-store.js';
import { decodeListPage, decodeStoredItem, encodeTransaction } from '../../src/wire/store-messages.js';

/**
 * A fake key-value store that serves fixed values. It records each transaction in its encoded form without
 * executing it, and every transaction succeeds. A watch that waits for changes never gets a response.
 */
export class RecordingStore {
  readonly transactions: string[] = [];
  readonly revokedLeases: number[] = [];

  /** @param storedValues - JSON texts of the stored values by key */
  constructor(readonly storedValues: Map<string, string>) {}

  /** The store as the code under test accesses it. */
  readonly port: KeyValueStore = {
    get: (key, _urgency, callback) => {
      const valueText = this.storedValues.get(key);
      callback({
        ok: true,
        value: valueText === undefined ? null : decodeStoredItem(JSON.parse(this.itemText(key, valueText))),
      });
    },
    list: ({ prefix }, callback) => {
      const items = [...this.storedValues].filter(([key]) => key.startsWith(prefix)).sort();
      const pageText = `{"items":[${items.map(([key, value]) => this.itemText(key, value)).join()}],"has_next":false,"ring":50}`;
      callback({ ok: true, value: decodeListPage(JSON.parse(pageText))! });
    },
    compareAndSwap: (transaction, _urgency, callback) => {
      this.transactions.push(JSON.stringify(encodeTransaction(transaction)));
      callback({ ok: true, value: 51 });
    },
    grantLease: (_ttlMs, callback) => callback({ ok: true, value: 7 }),
    keepLeaseAlive: (_leaseId, callback) => callback({ ok: true, value: null }),
    revokeLease: (leaseId, callback) => {
      this.revokedLeases.push(leaseId);
      callback({ ok: true, value: null });
    },
    watch: ({ waitMs }, callback) => {
      if (waitMs === 0) callback({ ok: true, value: { storeRevision: 50, events: [] } });
    },
  };

  private itemText(key: string, value: string): string {
    return `{"key":${JSON.stringify(key)},"value":${value},"mark":41}`;
  }
}
