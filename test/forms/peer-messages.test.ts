import net, { type AddressInfo } from 'node:net';
import { Packr, Unpackr } from 'msgpackr';
import { describe, expect, test } from 'vitest';
import type { PeerMessage } from '../../src/model/peer-message.js';
import { PeerConnections } from '../../src/transport/peer-connections.js';
import { decode, encode } from './peer-codec.js';
import { bytesOf, EXAMPLES, PINNED } from './peer-message-examples.js';

describe('messages between controllers', () => {
  test('every example is pinned, and nothing else', () => {
    expect(EXAMPLES.map(([title]) => title)).toEqual(Object.keys(PINNED));
  });

  test.each(EXAMPLES)('are sent as pinned: %s', (title, message) => {
    expect(JSON.stringify(new Unpackr().unpack(bytesOf(title)))).toBe(PINNED[title]?.json);
    expect(encode(message).toString('base64')).toBe(PINNED[title]?.bytes);
  });

  test.each(EXAMPLES)('are read from what is pinned: %s', (title, message) => {
    expect(decode(bytesOf(title))).toStrictEqual([message]);
  });

  test('are dropped when a field that decides is missing or of another type', () => {
    const spoilt = (title: string, from: string, to: string) => {
      const text = PINNED[title]?.json ?? '';
      expect(text).toContain(from);
      return decode(Buffer.from(new Packr().pack(JSON.parse(text.replace(from, to)))));
    };
    const ping = 'ping with all that may be null';
    for (const [title, from, to] of [
      ['cancelled', '"host":"stand-1"', '"host":1'],
      ['cancelled', '"inst":', '"other":'],
      ['cancelled', '"seq":', '"other":'],
      ['cancelled', '"body":', '"other":'],
      ['cancelled', '"k":"cancelled"', '"k":"canceled"'],
      ['cancelled', '"job":', '"other":'],
      ['cancelled', '"n":', '"other":'],
      ['images', '"add":', '"other":'],
      ['images', '"gone":', '"other":'],
      ['images', '6.2', '"6.2"'],
      [ping, '"leader":', '"other":'],
      [ping, '"token":', '"other":'],
      [ping, '"okAgeMs":', '"other":'],
      [ping, '"strays":', '"other":'],
      [ping, '"mark":123456.5', '"mark":null'],
      [ping, '"had":', '"other":'],
      [ping, '"mark":999', '"other":999'],
      [ping, '"told":', '"other":'],
      [ping, '"mark":998', '"other":998'],
      [ping, '"pending":', '"other":'],
      ['to an owner: resync', '"to":', '"other":'],
      ['to an owner: resync', '"m":', '"other":'],
    ] as const)
      expect([title, from, spoilt(title, from, to)]).toEqual([title, from, [null]]);
    expect(spoilt('cancelled', '"n":3', '"n":3,"later":1').length).toBe(1);
  });

  test('go through the sockets of two controllers in these bytes', async () => {
    const log = { debug: () => {}, info: () => {}, error: () => {} };
    const wire = Buffer.concat(EXAMPLES.map(([title]) => bytesOf(title)));
    const received: Buffer[] = [];
    const listening = net.createServer();
    await new Promise<void>((done) => listening.listen(0, '127.0.0.1', done));
    const { port } = listening.address() as AddressInfo;
    const all = new Promise<void>((done) => {
      listening.on('connection', (socket) => {
        socket.on('error', () => {});
        socket.on('data', (part) => {
          received.push(part);
          if (Buffer.concat(received).length >= wire.length) done();
        });
      });
    });
    await new Promise<void>((done) => {
      const connections: PeerConnections = new PeerConnections({
        bind: '127.0.0.1:0',
        peers: [{ nodeName: 'stand-2', address: `127.0.0.1:${port}` }],
        log,
        onMessage: () => {},
        onConnectionChange: (_nodeName, isUp) => {
          if (!isUp) return;
          for (const [, message] of EXAMPLES) connections.send('stand-2', message);
          done();
        },
      });
    });
    await all;
    expect(Buffer.concat(received).toString('base64')).toBe(wire.toString('base64'));
    listening.close();
  });

  test('come out of a controller’s socket as read', async () => {
    const log = { debug: () => {}, info: () => {}, error: () => {} };
    const free = net.createServer();
    await new Promise<void>((done) => free.listen(0, '127.0.0.1', done));
    const { port } = free.address() as AddressInfo;
    await new Promise((done) => free.close(done));
    const got: PeerMessage[] = [];
    await new Promise<void>((done) => {
      new PeerConnections({
        bind: `127.0.0.1:${port}`,
        peers: [],
        log,
        onMessage: (message) => {
          got.push(message);
          if (got.length === EXAMPLES.length) done();
        },
        onConnectionChange: () => {},
      });
      const socket = net.connect(port, '127.0.0.1', () => {
        for (const [title] of EXAMPLES) socket.write(bytesOf(title));
      });
    });
    expect(got).toStrictEqual(EXAMPLES.map(([, message]) => message));
  });
});
