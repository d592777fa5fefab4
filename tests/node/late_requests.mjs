// Stops a gateway and sends it requests at many times of the stop. Each must end in a
// response that tells the truth; a connection that closes instead has run nothing.
//
//   node late_requests.mjs GROUP CALLERS_ADDRESS OTHERS_ADDRESS CONTROL_ADDRESS PID
//
// GROUP is `quick` or `slow`, by the upstreams; OTHERS_ADDRESS is the address for
// callers of a gateway that goes on. Prints a line for each request that ended
// otherwise and exits with 1 if there was one.
import { RawConnection, sleep } from './raw_connection.mjs';

const [group, callers, others, control, pid] = process.argv.slice(2);
// Two of them do not fit into the memory of an engine.
const LONG_PROMPT = '220000,816';
const TIMES_S = [0, 1, 2, 2.5, 2.55, 2.6, 2.65, 2.7, 3, 4, 5, 6, 7, 7.5];
// A gateway that stops takes requests for 2.6 s.
const SURELY_TAKEN_S = 2;
const SURELY_REFUSED_S = 3;
const KINDS = [
  { name: 'once', path: '/once/a', options: {} },
  { name: 'again', path: '/again/a', options: {} },
  { name: 'stream', path: '/s/a', options: { tokens: '500,50' } },
  { name: 'fixed', path: '/fixed/a', options: { tokens: '500,50' } },
];

const command = (path, body) => fetch(`http://${control}/${path}`, { method: 'POST', body: JSON.stringify(body) });
const setPace = async (kind, ms) => {
  for (const name of [`${kind}-1`, `${kind}-2`]) await command('upstream', { name, pace_ms: ms });
};
const runsOf = async (id) => (await (await fetch(`http://${control}/book`)).json()).runs[id] ?? 0;

let markStopped;
const stopped = new Promise((resolve) => (markStopped = resolve));
async function at(seconds) {
  const begin = await stopped;
  await sleep(Math.max(0, begin + seconds * 1000 - Date.now()));
}

async function openKept(id) {
  const connection = new RawConnection(callers);
  connection.post('/again/a', id);
  await connection.until(/ran POST/, 5000);
  connection.skip();
  return connection;
}

// Waits for the end of the response, or of the connection, and returns what the caller
// got and how often the request ran.
async function end(connection, id, sent) {
  if (!sent) return { got: 'not sent', runs: 0 };
  await connection.closed;
  return { got: connection.outcome(), runs: await runsOf(id) };
}

// Each sends one request and returns how it ended.
const WAYS = {
  kept: async (kind, seconds, id) => {
    const connection = await openKept(`${id}-first`);
    await at(seconds);
    const sent = !connection.ended;
    if (sent) connection.post(kind.path, id, kind.options);
    return end(connection, id, sent);
  },
  new: async (kind, seconds, id) => {
    await at(seconds);
    const connection = new RawConnection(callers);
    const sent = (await connection.opened) === 'open';
    if (sent) connection.post(kind.path, id, kind.options);
    return end(connection, id, sent);
  },
  // The body comes in chunks from before the stop until `seconds` after it.
  chunks: async (kind, seconds, id) => {
    const connection = new RawConnection(callers);
    connection.post(kind.path, id, { ...kind.options, body: null });
    let last = false;
    at(seconds).then(() => (last = true));
    while (!last && !connection.ended) {
      connection.send('1\r\nx\r\n');
      await sleep(100);
    }
    if (!connection.ended) connection.send('0\r\n\r\n');
    return end(connection, id, true);
  },
};

// Whether what the caller got agrees with what the upstreams did.
function isTruthful(kind, { got, runs }) {
  if (/^(not sent|nothing|503 whole)$/.test(got)) return runs === 0;
  if (/^50[24] whole$/.test(got)) return true;
  if (got === '200 cut') return runs > 0 && /stream|fixed/.test(kind.name);
  return got === '200 whole' && (kind.name === 'again' ? runs > 0 : runs === 1);
}

// What a request that came `seconds` after the begin of the stop must get.
const EXPECTED = {
  quick: (kind, seconds, way) => {
    if (seconds <= SURELY_TAKEN_S) return /^200 whole$/;
    if (seconds < SURELY_REFUSED_S) return /^(200 whole|503 whole|not sent|nothing)$/;
    return way === 'chunks' ? /^503 whole$/ : /^not sent$/;
  },
  slow: (kind, seconds) => {
    // Upstreams take 6 s, and longer for whole streams. What may be repeated is sent to
    // other upstreams meanwhile, and has to begin again there.
    if (seconds === 0) return kind.name === 'once' ? /^200 whole$/ : /^(200 whole|200 cut|50[24] whole)$/;
    if (seconds <= SURELY_TAKEN_S) return kind.name === 'once' ? /^(200|50[24]) whole$/ : /^(200 whole|200 cut|50[234] whole)$/;
    if (seconds < SURELY_REFUSED_S) return /^(50[234] whole|not sent|nothing)$/;
    return /^(503 whole|not sent)$/;
  },
};

// Fills the memory of both engines with prompts at the other gateway, and sends prompts
// that have to wait for it, at a scheduler of another instance.
async function sendWaitingPrompts() {
  await setPace('engine', 20000);
  const busy = ['busy-1', 'busy-2'].map((id) => {
    const connection = new RawConnection(others);
    connection.post('/archive/a', id, { tokens: LONG_PROMPT });
    return connection;
  });
  await sleep(200);
  const kind = { name: 'waiting', path: '/archive/a', options: { tokens: LONG_PROMPT } };
  return {
    results: [0, 1, 1.5, 2.5].map(async (seconds) => ({
      name: `waiting, ${seconds} s`,
      expected: /^(200|503) whole$/,
      kind,
      result: await WAYS.new(kind, seconds, `waiting-${seconds}`),
    })),
    cleanUp: () => busy.forEach((connection) => connection.socket.destroy()),
  };
}

const paces = { quick: { desk: 20, engine: 20 }, slow: { desk: 6000, engine: 6000 } }[group];
const results = [];
let cleanUp = () => {};
if (group === 'quick') {
  const waiting = await sendWaitingPrompts();
  results.push(...waiting.results);
  cleanUp = waiting.cleanUp;
}
for (const way of Object.keys(WAYS)) {
  for (const kind of KINDS) {
    for (const seconds of TIMES_S) {
      const id = `${group}-${way}-${kind.name}-${seconds}`;
      results.push(
        WAYS[way](kind, seconds, id).then((result) => ({
          name: `${way}, ${kind.name}, ${seconds} s`,
          expected: EXPECTED[group](kind, seconds, way),
          kind,
          result,
        })),
      );
    }
  }
}
await sleep(700);
for (const [kind, ms] of Object.entries(paces)) await setPace(kind, ms);
process.kill(Number(pid), 'SIGTERM');
markStopped(Date.now());

let problems = 0;
const counts = {};
const deadline = sleep(15000).then(() => null);
for (const pending of results) {
  const ended = await Promise.race([pending, deadline]);
  if (!ended) {
    problems += 1;
    console.log('a request has no end');
    continue;
  }
  const { name, expected, kind, result } = ended;
  counts[result.got] = (counts[result.got] ?? 0) + 1;
  if (expected.test(result.got) && isTruthful(kind, result)) continue;
  problems += 1;
  console.log(`${name}: ${result.got}, ran ${result.runs} times, expected ${expected}`);
}
console.log(`${group}: ${results.length} requests: ${JSON.stringify(counts)}`);
cleanUp();
process.exit(problems > 0 ? 1 : 0);
