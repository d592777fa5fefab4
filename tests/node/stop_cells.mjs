// Stops a gateway while its connections are in different states, and checks how each
// ends: in a response that tells the truth, or in a close that promises nothing.
//
//   node stop_cells.mjs GROUP CALLERS_ADDRESS OTHERS_ADDRESS CONTROL_ADDRESS PID
//
// OTHERS_ADDRESS is the address for callers of a gateway that goes on.
// Prints a line for each state that ended otherwise and exits with 1 if there was one.
import net from 'node:net';

const [group, callers, others, control, pid] = process.argv.slice(2);
// Two of them do not fit into the memory of an engine.
const LONG_PROMPT = '220000,816';
const HEAD = 'Host: a.example\r\n';

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const command = (path, body) => fetch(`http://${control}/${path}`, { method: 'POST', body: JSON.stringify(body) });
const setPace = async (kind, ms) => {
  for (const name of [`${kind}-1`, `${kind}-2`]) await command('upstream', { name, pace_ms: ms });
};
const runsOf = async (id) => (await (await fetch(`http://${control}/book`)).json()).runs[id] ?? 0;

const cleanups = [];
let markStopped;
const stopped = new Promise((resolve) => (markStopped = resolve));

// A connection that records what it receives.
class Connection {
  constructor(address) {
    const [host, port] = address.split(':');
    this.received = '';
    this.ended = false;
    this.opened = new Promise((resolve) => {
      this.socket = net.connect({ host, port: Number(port), allowHalfOpen: true }, () => resolve('open'));
      this.socket.on('error', () => {
        this.ended = true;
        resolve('refused');
      });
    });
    this.socket.on('data', (bytes) => (this.received += bytes));
    this.closed = new Promise((resolve) => {
      for (const event of ['end', 'close']) {
        this.socket.on(event, () => {
          this.ended = true;
          resolve();
        });
      }
    });
  }
  send(text) {
    this.socket.write(text);
  }
  post(path, id, { tokens = '', body = 'x' } = {}) {
    const prompt = tokens && `Token-Count: ${tokens}\r\n`;
    this.send(`POST ${path} HTTP/1.1\r\n${HEAD}Request-Id: ${id}\r\n${prompt}Content-Length: ${body.length}\r\n\r\n${body}`);
  }
  // Sends a request whose body follows in slow pieces, also after the peer has ended its
  // direction of the connection.
  async postSlowly(path, id, { chunked }) {
    const framing = chunked ? 'Transfer-Encoding: chunked' : 'Content-Length: 5';
    this.send(`POST ${path} HTTP/1.1\r\n${HEAD}Request-Id: ${id}\r\n${framing}\r\n\r\n`);
    for (const byte of 'slow!') {
      await sleep(100);
      this.send(chunked ? `1\r\n${byte}\r\n` : byte);
    }
    if (chunked) this.send('0\r\n\r\n');
  }
  async until(pattern, ms = 8000) {
    const end = Date.now() + ms;
    while (!pattern.test(this.received) && !this.ended && Date.now() < end) await sleep(5);
  }
  // Forgets what was received so far.
  skip() {
    this.received = '';
  }
  // How the response to one request ended, in a few words.
  outcome() {
    const status = /^HTTP\/1.1 (\d+)/.exec(this.received)?.[1] ?? 'nothing';
    const closes = /^Connection: close/im.test(this.received) ? ' close' : '';
    const retries = /^Retry-After/im.test(this.received) ? ' retry-after' : '';
    if (!/chunked/i.test(this.received)) return `${status}${closes}${retries}`;
    return `${status} ${/\r\n0\r\n\r\n/.test(this.received) ? 'whole' : 'cut'}`;
  }
}

async function open(address = callers) {
  const connection = new Connection(address);
  await connection.opened;
  return connection;
}

async function openKept(id) {
  const connection = await open();
  connection.post('/again/a', id);
  await connection.until(/ran POST/);
  connection.skip();
  return connection;
}

// Waits until a stream that began before the stop has ended, whose head does not say that
// the connection closes.
async function streamOver(id) {
  const connection = await open();
  connection.post('/s/a', id, { tokens: '500,50' });
  await connection.until(/\r\n0\r\n\r\n/);
  connection.skip();
  return connection;
}

// A request after such a stream, on the same connection.
function afterStream(what, expected, send) {
  const id = what.replaceAll(' ', '-');
  return {
    state: `a stream that ends after the stop, then a request ${what}`,
    run: async () => {
      const connection = await streamOver(`${id}-stream`);
      await send(connection, id);
      await connection.closed;
      return `${connection.outcome()} runs ${await runsOf(id)}`;
    },
    expected,
  };
}

const inSlowChunks = (connection, id) => connection.postSlowly('/once/a', id, { chunked: true });
const inSlowPieces = (connection, id) => connection.postSlowly('/once/a', id, { chunked: false });
const later = (ms) => async (connection, id) => {
  await sleep(ms);
  connection.post('/once/a', id);
};

// Each row: the state of a connection and what happens then, in the order in which the
// states are reached before the stop, and how it must end.
const CELLS = {
  short: [
    {
      state: 'idle, and stays so',
      run: async () => {
        const connection = await openKept('idle-1');
        await connection.closed;
        return connection.outcome();
      },
      expected: /^nothing$/,
    },
    {
      state: 'idle, then a request that the balancer may still send here',
      run: async () => {
        const connection = await openKept('idle-2');
        await stopped;
        await sleep(800);
        connection.post('/again/a', 'idle-2b');
        await connection.closed;
        return connection.outcome();
      },
      expected: /^200 close$/,
    },
    {
      state: 'not open, and opened long after',
      run: async () => {
        await stopped;
        await sleep(3200);
        const connection = new Connection(callers);
        return connection.opened;
      },
      expected: /^refused$/,
    },
    {
      state: 'a part of a head received, never the rest',
      run: async () => {
        const connection = await open();
        await stopped;
        connection.send(`GET /again/a HTTP/1.1\r\n${HEAD}`);
        await connection.closed;
        return connection.outcome();
      },
      expected: /^(408|503) close$/,
    },
    {
      state: 'a part of a body received, the rest long after',
      run: async () => {
        const connection = await open();
        connection.send(`POST /once/a HTTP/1.1\r\n${HEAD}Request-Id: half-1\r\nContent-Length: 3\r\n\r\nx`);
        await stopped;
        connection.send('x');
        await sleep(3000);
        connection.send('x');
        await connection.closed;
        return `${connection.outcome()} runs ${await runsOf('half-1')}`;
      },
      expected: /^503 close retry-after runs 0$/,
    },
    {
      state: 'a body that arrives byte by byte to the end',
      run: async () => {
        const connection = await open();
        connection.send(`POST /once/a HTTP/1.1\r\n${HEAD}Request-Id: half-2\r\nContent-Length: 99\r\n\r\n`);
        while (!connection.ended && !connection.received) {
          connection.send('x');
          await sleep(300);
        }
        await connection.closed;
        return `${connection.outcome()} runs ${await runsOf('half-2')}`;
      },
      expected: /^(408|503) close runs 0$/,
    },
    {
      state: 'running, without a response in time',
      run: async () => {
        await setPace('desk', 20000);
        const connection = await open();
        connection.post('/slow/a', 'long-1');
        await sleep(200);
        await setPace('desk', 20);
        await connection.closed;
        return `${connection.outcome()} runs ${await runsOf('long-1')}`;
      },
      expected: /^50[24] close runs 1$/,
    },
    {
      state: 'a stream that ends after the stop, and nothing after it',
      run: async () => {
        const connection = await open();
        connection.post('/s/a', 'stream-1', { tokens: '500,50' });
        await connection.until(/\r\n0\r\n\r\n/);
        const end = Date.now();
        await connection.closed;
        return `${connection.outcome()} ${Date.now() - end < 300 ? 'closed' : 'kept'}`;
      },
      expected: /^200 whole closed$/,
    },
    {
      state: 'a stream that ends long after the stop, and a request that crosses the close',
      run: async () => {
        const connection = await open();
        connection.post('/s/a', 'stream-2', { tokens: '500,50' });
        await connection.until(/\r\n0\r\n\r\n/);
        connection.skip();
        connection.post('/s/a', 'stream-2b', { tokens: '500,50' });
        await connection.closed;
        return `${connection.outcome()} runs ${await runsOf('stream-2b')}`;
      },
      expected: /^503 close retry-after runs 0$/,
    },
    {
      state: 'a stream that ends long after the stop, and a request that was already received',
      run: async () => {
        const connection = await open();
        connection.post('/s/a', 'stream-3', { tokens: '500,50' });
        connection.post('/s/a', 'stream-3b', { tokens: '500,50' });
        await connection.until(/\r\n0\r\n\r\n/);
        await connection.closed;
        connection.received = connection.received.split('\r\n0\r\n\r\n')[1];
        return `${connection.outcome()} runs ${await runsOf('stream-3b')}`;
      },
      expected: /^503 close retry-after runs 0$/,
    },
    {
      state: 'waiting for an upstream',
      run: async () => {
        // Prompts at another gateway keep both engines busy until after the stop.
        await setPace('engine', 20000);
        for (const id of ['busy-1', 'busy-2']) {
          const busy = await open(others);
          busy.post('/archive/a', id, { tokens: LONG_PROMPT });
          cleanups.push(() => busy.socket.destroy());
        }
        await sleep(200);
        await setPace('engine', 800);
        const connection = await open();
        connection.post('/archive/a', 'waiting-1', { tokens: LONG_PROMPT });
        await connection.closed;
        return `${connection.outcome()} runs ${await runsOf('waiting-1')}`;
      },
      expected: /^503 close retry-after runs 0$/,
    },
  ],
  // The streams end while the balancer may still send requests here.
  soon: [
    afterStream('in slow chunks, soon', /^200 close runs 1$/, inSlowChunks),
    afterStream('in slow pieces, soon', /^200 close runs 1$/, inSlowPieces),
    afterStream('after a rest, soon', /^200 close runs 1$/, later(300)),
  ],
  // The streams end when it does not send any here.
  late: [
    afterStream('in slow chunks, late', /^503 close retry-after runs 0$/, inSlowChunks),
    afterStream('in slow pieces, late', /^503 close retry-after runs 0$/, inSlowPieces),
    afterStream('at once, late', /^503 close retry-after runs 0$/, later(0)),
    afterStream('after a moment, late', /^503 close retry-after runs 0$/, later(50)),
    afterStream('after a rest, late', /^nothing runs 0$/, later(600)),
  ],
  frozen: [
    {
      state: 'requests on new connections while the process does not run, when it stops accepting',
      run: async () => {
        await stopped;
        await sleep(2400);
        process.kill(Number(pid), 'SIGSTOP');
        const ids = Array.from({ length: 12 }, (_, i) => `frozen-${i}`);
        const connections = await Promise.all(ids.map(() => open()));
        connections.forEach((connection, i) => connection.post('/once/a', ids[i]));
        await sleep(400);
        process.kill(Number(pid), 'SIGCONT');
        await Promise.all(connections.map((connection) => connection.closed));
        const runs = await Promise.all(ids.map(runsOf));
        const outcomes = connections.map((connection, i) => `${connection.outcome()} runs ${runs[i]}`);
        return [...new Set(outcomes)].sort().join(', ');
      },
      expected: /^503 close retry-after runs 0$/,
    },
  ],
  long: [
    {
      state: 'a stream that has begun and does not end in time',
      run: async () => {
        const connection = await open();
        connection.post('/fixed/a', 'endless-1', { tokens: '500,50' });
        await connection.closed;
        return `${connection.outcome()} runs ${await runsOf('endless-1')}`;
      },
      expected: /^200 cut runs 1$/,
    },
  ],
};

if (group === 'long') for (const name of ['engine-1', 'engine-2']) await command('upstream', { name, mode: 'stall' });
await setPace('engine', group === 'soon' ? 400 : 800);
const cells = CELLS[group];
const results = [];
for (const cell of cells) {
  results.push(cell.run());
  await sleep(100);
}
await sleep(700);
process.kill(Number(pid), 'SIGTERM');
markStopped();
let problems = 0;
for (const [i, cell] of cells.entries()) {
  const outcome = await Promise.race([results[i], sleep(15000).then(() => 'no end')]);
  if (cell.expected.test(outcome)) continue;
  problems += 1;
  console.log(`${cell.state}: ${outcome}, expected ${cell.expected}`);
}
for (const cleanup of cleanups) cleanup();
process.exit(problems > 0 ? 1 : 0);
