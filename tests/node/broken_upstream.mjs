// An upstream in trouble: answers each request with what the last part of its path says.
//
//   node broken_upstream.mjs
//
// Prints its address, and that of a peer which announces a message of 64 MB, and a line for
// each request that it answers.
// The kinds are the keys of `responses`. What has no end is sent until the connection
// closes, at most kMaxBytes.
import net from 'node:net';

const kMaxBytes = 512 << 20;
// Long enough for the caller to fill the buffers of both sockets, and to read what it was sent.
const kPauseMs = 300;

const field = (request, name) => new RegExp(`^${name}: (.*)\r$`, 'im').exec(request)?.[1] ?? '';
const own = (request) => `Request-Id: ${field(request, 'Request-Id')}\r\nResponse-Stamp: broken\r\n`;
const body = 'Content-Length: 5\r\n\r\nwrong';
const head = (status, lines = '') => (request) => `HTTP/1.1 ${status}\r\n${lines}${own(request)}`;
const filler = (text) => Buffer.alloc(64 << 10, text);
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

// begin: what is sent first. endless: what is sent over and over after it. reset: the connection
// is reset after a pause; with `soon` the response comes without a pause before it, and the reset
// after 0, 1 or 2 ms in turn.
const whole = (begin) => ({ begin: (request) => begin(request) + body });
const endless = (begin, text) => ({ begin, endless: filler(text) });
const ok = head('200 OK');
const responses = {
  sound: whole(ok),
  reset: { begin: (request) => `${ok(request)}\r\npart`, reset: true },
  reset_soon: { begin: (request) => `${ok(request)}\r\npart`, reset: true, soon: true },
  reset_soon_close: {
    begin: (request) => `${ok(request)}Connection: close\r\n\r\npart`, reset: true, soon: true,
  },
  reset_length: { begin: (request) => `${ok(request)}Content-Length: 90\r\n\r\npart`, reset: true },
  reset_chunked: { begin: (request) => `${ok(request)}${chunked}4\r\npart\r\n`, reset: true },
  status_000: whole(head('000 Trouble')),
  status_042: whole(head('042 Trouble')),
  status_600: whole(head('600 Trouble')),
  status_20: whole(head('20 OK')),
  status_2000: whole(head('2000 OK')),
  status_sign: whole(head('+20 OK')),
  status_blank: whole(head('2 0 OK')),
  interim_000: { begin: (request) => `HTTP/1.1 100 Continue\r\n\r\n${head('000 Trouble')(request)}${body}` },
  name_blank: whole(head('200 OK', 'Odd Name: a\r\n')),
  name_control: whole(head('200 OK', 'Odd\x01Name: a\r\n')),
  name_empty: whole(head('200 OK', ': a\r\n')),
  name_before_colon: whole(head('200 OK', 'Content-Length : 1\r\n')),
  no_colon: whole(head('200 OK', 'odd\r\n')),
  endless_status: endless(() => 'HTTP/1.1 200 ', 'a'),
  endless_field: endless((request) => `${ok(request)}A: `, 'a'),
  endless_fields: endless(ok, 'A: aaaa\r\n'),
  endless_interim: endless(() => '', 'HTTP/1.1 100 C\r\n\r\n'),
  endless_chunk_size: endless((request) => ok(request) + chunked, '0'),
  endless_extension: endless((request) => `${ok(request)}${chunked}1;`, 'a'),
  endless_trailer: endless((request) => `${ok(request)}${chunked}0\r\n`, 'A: aaaa\r\n'),
  endless_body: endless((request) => `${ok(request)}\r\n`, 'a'),
  endless_chunks: endless((request) => ok(request) + chunked, '2\r\naa\r\n'),
  endless_length: endless((request) => `${ok(request)}Content-Length: 99999999999\r\n\r\n`, 'a'),
};

function repeat(socket, part) {
  let sent = 0;
  const send = () => {
    while (sent < kMaxBytes && !socket.destroyed) {
      sent += part.length;
      if (!socket.write(part)) return;
    }
    socket.destroy();
  };
  socket.on('drain', send);
  send();
}

let resets = 0;
function respond(socket, request, kind) {
  const response = responses[kind] ?? responses.sound;
  console.log(`request kind=${kind} id=${field(request, 'Request-Id') || field(request, 'Idempotency-Key')}`);
  socket.write(Buffer.from(response.begin(request), 'latin1'));
  if (response.endless) repeat(socket, response.endless);
  if (response.reset) setTimeout(() => socket.resetAndDestroy(), response.soon ? resets++ % 3 : kPauseMs);
}

const server = net.createServer((socket) => {
  socket.on('error', () => {});
  let request = '';
  socket.on('data', (bytes) => {
    request += bytes.toString('latin1');
    const end = request.indexOf('\r\n\r\n');
    if (end < 0) return;
    const kind = /^\S+ \S*\/(\w+)[? ]/.exec(request)?.[1];
    if (responses[kind]?.reset) {
      // Answers at once and leaves the rest of the request unread.
      socket.pause();
      socket.removeAllListeners('data');
      setTimeout(() => respond(socket, request, kind), responses[kind].soon ? 0 : kPauseMs);
      return;
    }
    if (request.length < end + 4 + Number(field(request, 'Content-Length') || 0)) return;
    respond(socket, request, kind);
    request = '';
  });
});

// The head of a message of one segment, as Cap'n Proto frames it, and bytes that never end.
const kSegmentWords = (64 << 20) / 8 - 1;
const peer = net.createServer((socket) => {
  socket.on('error', () => {});
  socket.on('data', () => {});
  console.log('peer called');
  const segment = Buffer.alloc(8);
  segment.writeUInt32LE(kSegmentWords, 4);
  socket.write(segment);
  repeat(socket, filler('p'));
});
server.listen(0, '127.0.0.1', () =>
  peer.listen(0, '127.0.0.1', () =>
    console.log(`listening upstream=127.0.0.1:${server.address().port} peer=127.0.0.1:${peer.address().port}`)));
