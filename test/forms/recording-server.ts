import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Status and body of a response. */
export interface CannedResponse {
  status: number;
  text: string;
}

/** An HTTP server that records the text of each request and sends a canned response. */
export class RecordingServer {
  /** `METHOD path content-type body` of each request; absent parts are left out. */
  readonly requests: string[] = [];
  /** Sent in response to every request. */
  response: CannedResponse = { status: 200, text: '{}' };
  private readonly server = http.createServer((request, response) => {
    let body = '';
    request.on('data', (chunk) => {
      body += String(chunk);
    });
    request.on('end', () => {
      const type = request.headers['content-type'] ?? '';
      this.requests.push([request.method, request.url, type, body].filter((part) => part !== '').join(' '));
      response.writeHead(this.response.status, { connection: 'close' });
      response.end(this.response.text);
    });
  });

  /** Starts listening on a free port and returns `ADDRESS:PORT`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
  }
}
