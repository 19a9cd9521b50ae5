import http from 'node:http';

export interface Reply {
  /** 0: no answer. */
  status: number;
  text: string;
  sent: boolean;
}

/** HTTP/1.1 over kept connections, each call with a deadline. `sent`: it may have been, or may yet be executed. */
export class Client {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(addr: string, maxSockets: number) {
    const cut = addr.lastIndexOf(':');
    this.host = addr.slice(0, cut);
    this.port = Number(addr.slice(cut + 1));
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets,
      maxFreeSockets: maxSockets,
      scheduling: 'lifo',
    });
  }

  call(method: string, path: string, body: unknown, deadlineMs: number, cb: (r: Reply) => void): void {
    let over = false;
    let sent = false;
    const finish = (r: Reply) => {
      if (over) return;
      over = true;
      clearTimeout(timer);
      cb(r);
    };
    const data = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    const req = http.request({
      host: this.host,
      port: this.port,
      method,
      path,
      agent: this.agent,
      headers: data ? { 'content-type': 'application/json', 'content-length': data.length } : {},
    });
    const timer = setTimeout(() => {
      finish({ status: 0, text: '', sent });
      req.destroy();
    }, deadlineMs);
    req.on('socket', (s) => {
      if (!s.connecting) sent = true;
      else
        s.once('connect', () => {
          sent = true;
        });
    });
    req.on('error', () => finish({ status: 0, text: '', sent }));
    req.on('response', (res) => {
      const parts: Buffer[] = [];
      res.on('data', (b: Buffer) => parts.push(b));
      res.on('end', () =>
        finish({ status: res.statusCode ?? 0, text: Buffer.concat(parts).toString('utf8'), sent: true }),
      );
      res.on('error', () => finish({ status: 0, text: '', sent: true }));
      res.on('aborted', () => finish({ status: 0, text: '', sent: true }));
    });
    req.end(data);
  }

  close(): void {
    this.agent.destroy();
  }
}
