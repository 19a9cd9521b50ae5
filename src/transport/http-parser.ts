/** Parses the HTTP/1.1 messages received on one connection. */

import { HTTPParser } from 'http-parser-js';

/** Maximum size of a message head (start line and headers). */
const MAX_HEADER_BYTES = 16 * 1024;

/** A complete request or response. */
export interface HttpMessage {
  /** Request method; empty in a response. */
  method: string;
  /** Path with query string; empty in a response. */
  path: string;
  /** Response status; 0 in a request. */
  status: number;
  /** Alternating header names and values, as received. */
  rawHeaders: string[];
  /** Message body; null if it exceeded {@link HttpMessageReaderOptions.maxBodyBytes}. */
  body: string | null;
  /** Whether the sender keeps the connection open for further messages. */
  keepAlive: boolean;
}

/** Options of an {@link HttpMessageReader}. */
export interface HttpMessageReaderOptions {
  messageType: 'REQUEST' | 'RESPONSE';
  /** Maximum size of a message body; a larger body is discarded, and its message has a null body. */
  maxBodyBytes: number;
  /**
   * Called for each complete message, in order, from {@link HttpMessageReader.push} or
   * {@link HttpMessageReader.end}.
   */
  onMessage: (message: HttpMessage) => void;
  /** Called with the raw headers of each message before its body is parsed. */
  onHeaders?: (rawHeaders: string[]) => void;
}

/** Incremental parser for the messages of one connection. */
export class HttpMessageReader {
  private readonly parser: InstanceType<typeof HTTPParser>;
  /** The message being parsed; null between messages. */
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

  /** Parses received data. Returns false if it is not valid HTTP; the connection is unusable from then on. */
  push(data: Buffer): boolean {
    return typeof this.parser.execute(data) === 'number';
  }

  /** Signals the end of the stream, which completes a response whose body is delimited by it. */
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
  // Most bodies arrive in a single chunk, which needs no copy.
  return (chunks.length === 1 ? first : Buffer.concat(chunks)).toString('utf8');
}

/** Returns the value of the first header with the given lower-case name, or null. */
export function findHeader(rawHeaders: string[], name: string): string | null {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2)
    if (rawHeaders[i]?.toLowerCase() === name) return rawHeaders[i + 1] as string;
  return null;
}
