import { Packr, UnpackrStream } from 'msgpackr';
import type { PeerMessage } from '../../src/model/peer-message.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/wire/peer-codec.js';

/** Encodes a message into the bytes that a controller sends. */
export function encode(message: PeerMessage): Buffer {
  return Buffer.from(new Packr().pack(encodePeerMessage(message)));
}

/** Decodes the messages in bytes from a peer; null stands for a message that is dropped. */
export function decode(bytes: Buffer): (PeerMessage | null)[] {
  const messages: (PeerMessage | null)[] = [];
  const stream = new UnpackrStream();
  stream.on('data', (value: unknown) => messages.push(decodePeerMessage(value)));
  stream.write(bytes);
  return messages;
}
