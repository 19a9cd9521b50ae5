import http from 'node:http';
import type { AddressInfo } from 'node:net';

export interface Reply {
  status: number;
  text: string;
}

/** An HTTP server that keeps what it is sent as text, and answers with texts. */
export class RecordingServer {
  /** `METHOD path content-type body` of each request, without what is absent. */
  readonly requests: string[] = [];
  reply: Reply = { status: 200, text: '{}' };
  private readonly server = http.createServer((request, response) => {
    let body = '';
    request.on('data', (part) => {
      body += String(part);
    });
    request.on('end', () => {
      const type = request.headers['content-type'] ?? '';
      this.requests.push([request.method, request.url, type, body].filter((part) => part !== '').join(' '));
      response.writeHead(this.reply.status, { connection: 'close' });
      response.end(this.reply.text);
    });
  });

  /** Starts to listen; its address and port. */
  async listen(): Promise<string> {
    await new Promise<void>((done) => this.server.listen(0, '127.0.0.1', done));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
  }
}
