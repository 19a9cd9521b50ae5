import { HTTPParser } from 'http-parser-js';

/** One request or response, whole. */
export interface HttpMessage {
  method: string;
  path: string;
  status: number;
  /** Names and values in turn, as they came. */
  headers: string[];
  /** Null: it was larger than what is taken. */
  body: string | null;
  keepAlive: boolean;
}

export interface Reader {
  /** False: what came is no HTTP. */
  push(data: Buffer): boolean;
  /** The other side will send no more. */
  end(): void;
}

const MOST_HEADERS = 16 * 1024;

/** Reads messages from a connection one after the other; bodies over `mostBody` bytes are passed over. */
export function reader(
  kind: 'REQUEST' | 'RESPONSE',
  mostBody: number,
  got: (m: HttpMessage) => void,
  headed: (headers: string[]) => void = () => {},
): Reader {
  const p = new HTTPParser(HTTPParser[kind]);
  p.maxHeaderSize = MOST_HEADERS;
  let parts: Buffer[] = [];
  let size = 0;
  let head: HttpMessage | null = null;
  p[HTTPParser.kOnHeadersComplete] = (i) => {
    head = {
      method: HTTPParser.methods[i.method] ?? '',
      path: i.url ?? '',
      status: i.statusCode ?? 0,
      headers: i.headers,
      body: '',
      keepAlive: i.shouldKeepAlive,
    };
    headed(i.headers);
  };
  p[HTTPParser.kOnBody] = (chunk, offset, length) => {
    size += length;
    if (size <= mostBody) parts.push(chunk.subarray(offset, offset + length));
  };
  p[HTTPParser.kOnMessageComplete] = () => {
    const m = head;
    if (!m) return;
    m.body = size > mostBody ? null : text(parts);
    head = null;
    parts = [];
    size = 0;
    got(m);
  };
  return {
    push: (data) => typeof p.execute(data) === 'number',
    end: () => void p.finish(),
  };
}

function text(parts: Buffer[]): string {
  if (parts.length === 0) return '';
  return (parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts)).toString('utf8');
}

export function headerOf(headers: string[], name: string): string | null {
  for (let i = 0; i + 1 < headers.length; i += 2)
    if (headers[i]?.toLowerCase() === name) return headers[i + 1] as string;
  return null;
}
