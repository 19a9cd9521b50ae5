import type { KeyValueStore } from '../../src/model/key-value-store.js';
import { decodeListPage, decodeStoredItem, encodeTransaction } from '../../src/wire/store-messages.js';

/**
 * A fake key-value store that holds encoded values by key and records each transaction in its encoded form.
 */
export class RecordingStore {
  readonly transactions: string[] = [];
  readonly revokedLeases: number[] = [];

  constructor(readonly records: Map<string, string>) {}

  readonly port: KeyValueStore = {
    get: (key, _urgency, callback) => {
      const valueText = this.records.get(key);
      callback({
        ok: true,
        value: valueText === undefined ? null : decodeStoredItem(JSON.parse(this.itemText(key, valueText))),
      });
    },
    list: ({ prefix }, callback) => {
      const items = [...this.records].filter(([key]) => key.startsWith(prefix)).sort();
      const pageText = `{"items":[${items.map(([key, value]) => this.itemText(key, value)).join()}],"has_next":false,"ring":50}`;
      callback({ ok: true, value: decodeListPage(JSON.parse(pageText))! });
    },
    compareAndSwap: (transaction, _urgency, callback) => {
      this.transactions.push(JSON.stringify(encodeTransaction(transaction)));
      callback({ ok: true, value: 51 });
    },
    grantLease: (_ttlMs, callback) => callback({ ok: true, value: 7 }),
    keepLeaseAlive: (_lease, callback) => callback({ ok: true, value: null }),
    revokeLease: (lease, callback) => {
      this.revokedLeases.push(lease);
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
