import type { KeyValueStore } from '../../src/model/key-value-store.js';
import { decodeListPage, decodeStoredItem, encodeTransaction } from '../../src/wire/store-messages.js';

/** A state service that holds texts of records by key, and keeps the text of every transaction it is sent. */
export class RecordedState {
  readonly transactions: string[] = [];
  readonly endedLeases: number[] = [];

  constructor(readonly records: Map<string, string>) {}

  readonly port: KeyValueStore = {
    get: (key, _urgency, then) => {
      const text = this.records.get(key);
      then({
        ok: true,
        value: text === undefined ? null : decodeStoredItem(JSON.parse(this.itemText(key, text))),
      });
    },
    list: ({ prefix }, then) => {
      const items = [...this.records].filter(([key]) => key.startsWith(prefix)).sort();
      const text = `{"items":[${items.map(([key, value]) => this.itemText(key, value)).join()}],"has_next":false,"ring":50}`;
      then({ ok: true, value: decodeListPage(JSON.parse(text))! });
    },
    compareAndSwap: (transaction, _urgency, then) => {
      this.transactions.push(JSON.stringify(encodeTransaction(transaction)));
      then({ ok: true, value: 51 });
    },
    grantLease: (_ttlMs, then) => then({ ok: true, value: 7 }),
    keepLeaseAlive: (_lease, then) => then({ ok: true, value: null }),
    revokeLease: (lease, then) => {
      this.endedLeases.push(lease);
      then({ ok: true, value: null });
    },
    watch: ({ waitMs }, then) => {
      if (waitMs === 0) then({ ok: true, value: { storeRevision: 50, events: [] } });
    },
  };

  private itemText(key: string, value: string): string {
    return `{"key":${JSON.stringify(key)},"value":${value},"mark":41}`;
  }
}
