/** Reads HTTP/1.1 messages from the bytes of one connection. */

import { HTTPParser } from 'http-parser-js';

/** Largest head of a message (first line and headers) that is taken, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

/** One complete request or response. */
export interface HttpMessage {
  /** Empty in a response. */
  method: string;
  /** Path with its query; empty in a response. */
  path: string;
  /** 0 in a request. */
  status: number;
  /** Names and values in turn, as received. */
  rawHeaders: string[];
  /** Null if the body was larger than the reader takes. */
  body: string | null;
  /** Whether the sender lets the connection carry further messages. */
  keepAlive: boolean;
}

/** What an {@link HttpMessageReader} reads, and whom it tells. */
export interface HttpMessageReaderOptions {
  messageType: 'REQUEST' | 'RESPONSE';
  /** Bodies over this many bytes are skipped, and their messages have a null body. */
  maxBodyBytes: number;
  /** Called within {@link HttpMessageReader.push} or {@link HttpMessageReader.end} for each complete message, in order. */
  onMessage: (message: HttpMessage) => void;
  /** Called with the raw headers of each message before its body is read. */
  onHeaders?: (rawHeaders: string[]) => void;
}

/** Reads the messages of one connection one after the other. */
export class HttpMessageReader {
  private readonly parser: InstanceType<typeof HTTPParser>;
  /** The message being read; null between two messages. */
  private message: HttpMessage | null = null;
  private bodyChunks: Buffer[] = [];
  private bodyBytes = 0;

  constructor(private readonly options: HttpMessageReaderOptions) {
    this.parser = new HTTPParser(HTTPParser[options.messageType]);
    this.parser.maxHeaderSize = MAX_HEADER_BYTES;
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => {
      this.message = {
        method: HTTPParser.methods[info.method] ?? '',
        path: info.url ?? '',
        status: info.statusCode ?? 0,
        rawHeaders: info.headers,
        body: '',
        keepAlive: info.shouldKeepAlive,
      };
      options.onHeaders?.(info.headers);
    };
    this.parser[HTTPParser.kOnBody] = (buffer, offset, length) => {
      this.bodyBytes += length;
      if (this.bodyBytes <= options.maxBodyBytes)
        this.bodyChunks.push(buffer.subarray(offset, offset + length));
    };
    this.parser[HTTPParser.kOnMessageComplete] = () => this.completeMessage();
  }

  /** Takes what the connection received. False: it is not HTTP, and nothing more can be read from this connection. */
  push(data: Buffer): boolean {
    return typeof this.parser.execute(data) === 'number';
  }

  /** The other side will send no more: completes a response whose body lasts until then. */
  end(): void {
    this.parser.finish();
  }

  private completeMessage(): void {
    const message = this.message;
    if (!message) return;
    message.body = this.bodyBytes > this.options.maxBodyBytes ? null : decodeBody(this.bodyChunks);
    this.message = null;
    this.bodyChunks = [];
    this.bodyBytes = 0;
    this.options.onMessage(message);
  }
}

function decodeBody(chunks: Buffer[]): string {
  const [first] = chunks;
  if (!first) return '';
  // Most bodies come in one piece, which needs no copy.
  return (chunks.length === 1 ? first : Buffer.concat(chunks)).toString('utf8');
}

/** Value of the first header of that name, or null. `name` is in lower case. */
export function findHeader(rawHeaders: string[], name: string): string | null {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2)
    if (rawHeaders[i]?.toLowerCase() === name) return rawHeaders[i + 1] as string;
  return null;
}
