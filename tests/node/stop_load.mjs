// Callers that send slow bodies over kept connections while gateways are stopped, for
// runs by hand: `bash tests/stop_load.sh`. Counts how the requests ended.
//
//   node stop_load.mjs CONTROL_ADDRESS ADDRESS=PID...
//
// All gateways but the last are stopped: one, two at a time, two in series, two at a time.
import net from 'node:net';

const [control, ...pairs] = process.argv.slice(2);
const CALLERS = 28;
const STOPS_MS = [2000, 5000, 5500, 12000, 14000, 15500];
const END_MS = 24000;
// After this time a balancer sends no new connections to a gateway that stops.
const BALANCER_MS = 2000;
// An answer may be missing up to this time after the last byte of a request.
const LOSS_SLACK_MS = 200;
// Callers learn so much later, as over a link, that a connection has ended.
const LINK_MS = 60;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const between = (low, high) => low + Math.random() * (high - low);
const gateways = pairs.map((pair) => {
  const [address, pid] = pair.split('=');
  return { address, pid: Number(pid), stoppedAt: Infinity };
});
const begin = Date.now();
const requests = [];

// A connection to a gateway that a balancer would choose.
async function connect() {
  const open = gateways.filter((gateway) => Date.now() < gateway.stoppedAt + BALANCER_MS);
  const gateway = open[Math.floor(Math.random() * open.length)];
  const [host, port] = gateway.address.split(':');
  const connection = { gateway, received: '', ended: null, reset: null };
  connection.socket = net.connect({ host, port: Number(port), allowHalfOpen: true });
  connection.socket.on('data', (bytes) => (connection.received += bytes));
  connection.socket.on('end', () => (connection.ended ??= Date.now()));
  connection.socket.on('error', () => (connection.reset ??= Date.now()));
  await new Promise((resolve) => {
    for (const event of ['connect', 'error']) connection.socket.once(event, resolve);
  });
  return connection;
}

const isWhole = (text) => {
  const split = text.indexOf('\r\n\r\n');
  if (split < 0) return false;
  const length = /Content-Length: (\d+)/i.exec(text.slice(0, split))?.[1];
  return length ? text.length >= split + 4 + Number(length) : text.endsWith('\r\n0\r\n\r\n');
};

// Sends a request and waits for its end. A body that has begun is sent to its end also if
// the peer ends its direction meanwhile.
async function call(connection, id) {
  const streams = Math.random() < 0.8;
  const request = { id, streams, gateway: connection.gateway, began: Date.now(), sent: null };
  requests.push(request);
  connection.received = '';
  const { socket } = connection;
  const tokens = streams ? 'Token-Count: 500,50\r\n' : '';
  socket.write(
    `POST ${streams ? '/long/a' : '/once/a'} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\n` +
      `${tokens}Transfer-Encoding: chunked\r\n\r\n`
  );
  for (let chunks = Math.ceil(between(2, 8)); chunks > 0 && !connection.reset; chunks -= 1) {
    await sleep(between(20, 150));
    if (!connection.reset) socket.write('4\r\nslow\r\n');
  }
  if (!connection.reset) {
    socket.write('0\r\n\r\n');
    request.sent = Date.now();
  }
  while (!isWhole(connection.received) && !connection.reset && !connection.ended) await sleep(2);
  // A reset may follow the end of the peer's direction.
  if (!isWhole(connection.received)) await sleep(20);
  request.ended = Date.now();
  request.reset = connection.reset !== null;
  request.closed = connection.ended ?? connection.reset;
  request.received = connection.received;
}

const isKnownEnded = ({ ended }) => ended !== null && Date.now() > ended + LINK_MS;

async function caller(number) {
  let connection = null;
  for (let n = 0; Date.now() < begin + END_MS - 4000; n += 1) {
    if (!connection || isKnownEnded(connection) || connection.reset) connection = await connect();
    if (connection.reset) continue;
    await call(connection, `c${number}-${n}`);
    const closes = /^Connection: close/im.test(connection.received);
    if (!closes && isWhole(connection.received) && !isKnownEnded(connection)) continue;
    connection.socket.destroy();
    connection = null;
  }
}

const callers = Array.from({ length: CALLERS }, (_, number) => sleep(number * 40).then(() => caller(number)));
for (const [i, at] of STOPS_MS.entries()) {
  await sleep(begin + at - Date.now());
  gateways[i].stoppedAt = Date.now();
  process.kill(gateways[i].pid, 'SIGTERM');
}
await Promise.all(callers);
const { runs } = await (await fetch(`http://${control}/book`)).json();
const kind = (request) => {
  const status = /^HTTP\/1.1 (\d+)/.exec(request.received)?.[1];
  if (status && isWhole(request.received)) return status;
  if (status) return 'response cut';
  if (!request.sent) return 'not sent whole';
  const slow = request.closed && request.closed > request.sent + LOSS_SLACK_MS;
  const taken = runs[request.id] ? ', taken' : '';
  return `sent whole, ${request.reset ? 'reset' : 'nothing'}${taken}${slow ? ', late' : ''}`;
};
const counts = {};
for (const request of requests) counts[kind(request)] = (counts[kind(request)] ?? 0) + 1;
console.log(`${requests.length} requests: ${JSON.stringify(counts)}`);
for (const request of requests.filter((request) => !/^\d+$/.test(kind(request)))) {
  const after = request.began - request.gateway.stoppedAt;
  console.log(`${request.id} ${kind(request)}, begun ${after} ms after SIGTERM, sent in ${request.sent ? request.sent - request.began : '-'} ms`);
}
process.exit(0);
