// Small HTTP helpers of the stand-ins.
import http from 'node:http';

export const JSON_HEADERS = { 'content-type': 'application/json' };

/** Starts a server on a free loopback port. Connections stay open until a side closes them. */
export async function listen(handle, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 0, requestTimeout: 0, headersTimeout: 0 }, handle);
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends one request; resolves to {status, body, text, retryAfter}, with status 0 if there is no answer in time. */
export function call({ address, method, path, body, timeoutMs, agent }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let isDone = false;
    const finish = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve(result);
    };
    const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body);
    const request = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent,
        headers: text === undefined ? {} : { ...JSON_HEADERS, 'content-length': Buffer.byteLength(text) },
      },
      async (response) => {
        try {
          const answer = await readBody(response);
          let parsed = null;
          try {
            parsed = JSON.parse(answer);
          } catch {
            // Not JSON.
          }
          finish({ status: response.statusCode, body: parsed, text: answer, retryAfter: Number(response.headers['retry-after'] ?? 0) });
        } catch {
          finish({ status: 0, body: null, text: '', retryAfter: 0 });
        }
      },
    );
    const timer = setTimeout(() => {
      finish({ status: 0, body: null, text: '', retryAfter: 0 });
      request.destroy();
    }, timeoutMs);
    request.on('error', () => finish({ status: 0, body: null, text: '', retryAfter: 0 }));
    if (text !== undefined) request.write(text);
    request.end();
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
