// Proxy of the connections from one controller to another. Modes: pass, hold (held back, delivered in order
// later), refuse (new connections are refused, open ones are reset).
import net from 'node:net';

export class MeshLink {
  constructor(target) {
    this.target = target;
    this.mode = 'pass';
    this.pairs = new Set();
    this.held = [];
  }

  async open() {
    await this.listen(0);
    this.address = `127.0.0.1:${this.port}`;
  }

  listen(port) {
    this.server = net.createServer((socket) => this.accept(socket));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        this.port = this.server.address().port;
        resolve();
      });
    });
  }

  accept(inbound) {
    const [host, port] = this.target.split(':');
    const outbound = net.connect(Number(port), host);
    const pair = { inbound, outbound };
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      inbound.destroy();
      outbound.destroy();
    };
    const forward = (to) => (data) => {
      if (this.mode === 'hold') this.held.push(() => !to.destroyed && to.write(data));
      else to.write(data);
    };
    inbound.on('data', forward(outbound));
    outbound.on('data', forward(inbound));
    for (const socket of [inbound, outbound]) {
      socket.on('error', end);
      socket.on('close', end);
    }
  }

  async setMode(mode) {
    const previous = this.mode;
    this.mode = mode;
    if (mode === 'refuse') {
      this.server.close();
      for (const { inbound, outbound } of this.pairs) {
        inbound.destroy();
        outbound.destroy();
      }
    } else if (previous === 'refuse') await this.listen(this.port);
    if (mode === 'pass') for (const deliver of this.held.splice(0)) deliver();
  }

  close() {
    this.server.close();
    for (const { inbound, outbound } of this.pairs) {
      inbound.destroy();
      outbound.destroy();
    }
  }
}
