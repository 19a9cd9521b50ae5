import net, { type AddressInfo } from 'node:net';
import { Packr, Unpackr } from 'msgpackr';
import { describe, expect, test } from 'vitest';
import type { PeerMessage } from '../../src/model/peer-message.js';
import { PeerConnections } from '../../src/transport/peer-connections.js';
import { decode, encode } from './peer-codec.js';
import { EXAMPLES, EXPECTED_ENCODINGS, expectedBytes } from './peer-message-examples.js';

describe('messages between controllers', () => {
  test('every example has an expected encoding, and every expected encoding an example', () => {
    expect(EXAMPLES.map(([title]) => title)).toEqual(Object.keys(EXPECTED_ENCODINGS));
  });

  test.each(EXAMPLES)('are encoded as expected: %s', (title, message) => {
    expect(JSON.stringify(new Unpackr().unpack(expectedBytes(title)))).toBe(EXPECTED_ENCODINGS[title]?.json);
    expect(encode(message).toString('base64')).toBe(EXPECTED_ENCODINGS[title]?.bytes);
  });

  test.each(EXAMPLES)('are decoded from the expected encoding: %s', (title, message) => {
    expect(decode(expectedBytes(title))).toStrictEqual([message]);
  });

  test('are dropped if a required field is missing or has the wrong type', () => {
    const decodeAltered = (title: string, from: string, to: string) => {
      const text = EXPECTED_ENCODINGS[title]?.json ?? '';
      expect(text).toContain(from);
      return decode(Buffer.from(new Packr().pack(JSON.parse(text.replace(from, to)))));
    };
    const peerHeartbeat = 'heartbeat with all nullable fields set';
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
      [peerHeartbeat, '"leader":', '"other":'],
      [peerHeartbeat, '"token":', '"other":'],
      [peerHeartbeat, '"okAgeMs":', '"other":'],
      [peerHeartbeat, '"strays":', '"other":'],
      [peerHeartbeat, '"mark":123456.5', '"mark":null'],
      [peerHeartbeat, '"had":', '"other":'],
      [peerHeartbeat, '"mark":999', '"other":999'],
      [peerHeartbeat, '"told":', '"other":'],
      [peerHeartbeat, '"mark":998', '"other":998'],
      [peerHeartbeat, '"pending":', '"other":'],
      ['to a shard owner: syncRequested', '"to":', '"other":'],
      ['to a shard owner: syncRequested', '"m":', '"other":'],
    ] as const)
      expect([title, from, decodeAltered(title, from, to)]).toEqual([title, from, [null]]);
    expect(decodeAltered('cancelled', '"n":3', '"n":3,"later":1').length).toBe(1);
  });

  test('are sent to a peer as the expected bytes', async () => {
    const log = { debug: () => {}, info: () => {}, error: () => {} };
    const expectedStream = Buffer.concat(EXAMPLES.map(([title]) => expectedBytes(title)));
    const received: Buffer[] = [];
    const listener = net.createServer();
    await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve));
    const { port } = listener.address() as AddressInfo;
    const allReceived = new Promise<void>((resolve) => {
      listener.on('connection', (socket) => {
        socket.on('error', () => {});
        socket.on('data', (chunk) => {
          received.push(chunk);
          if (Buffer.concat(received).length >= expectedStream.length) resolve();
        });
      });
    });
    await new Promise<void>((resolve) => {
      const connections: PeerConnections = new PeerConnections({
        bind: '127.0.0.1:0',
        peerAddresses: [{ nodeName: 'stand-2', address: `127.0.0.1:${port}` }],
        log,
        onMessage: () => {},
        onConnectionChange: (_nodeName, isUp) => {
          if (!isUp) return;
          for (const [, message] of EXAMPLES) connections.send('stand-2', message);
          resolve();
        },
      });
    });
    await allReceived;
    expect(Buffer.concat(received).toString('base64')).toBe(expectedStream.toString('base64'));
    listener.close();
  });

  test('are received from a peer and decoded', async () => {
    const log = { debug: () => {}, info: () => {}, error: () => {} };
    const portProbe = net.createServer();
    await new Promise<void>((resolve) => portProbe.listen(0, '127.0.0.1', resolve));
    const { port } = portProbe.address() as AddressInfo;
    await new Promise((resolve) => portProbe.close(resolve));
    const received: PeerMessage[] = [];
    await new Promise<void>((resolve) => {
      new PeerConnections({
        bind: `127.0.0.1:${port}`,
        peerAddresses: [],
        log,
        onMessage: (message) => {
          received.push(message);
          if (received.length === EXAMPLES.length) resolve();
        },
        onConnectionChange: () => {},
      });
      const socket = net.connect(port, '127.0.0.1', () => {
        for (const [title] of EXAMPLES) socket.write(expectedBytes(title));
      });
    });
    expect(received).toStrictEqual(EXAMPLES.map(([, message]) => message));
  });
});
