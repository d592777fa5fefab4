// Sends requests at a steady rate to several gateways, and checks the limits that
// upstreams of the platform's stand-in have named.
//
//   node limit_load.mjs load KIND RATE SECONDS DEADLINE_MS NAME=ADDRESS...
//   node limit_load.mjs check CONTROL_ADDRESS UPSTREAM
//
// KIND is `again` (idempotent requests) or `s` (streams), RATE in requests per second
// over all gateways. The request ids begin with the name of the gateway, by which the
// stand-in tells the gateways apart. Both print one line of FIELD=VALUE; `check` exits
// with 1 if an upstream got more requests than the limit that it named last allows.
import http from 'node:http';

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const print = (fields) =>
  console.log(Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' '));

function quantile(values, share) {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function send(gateway, kind, id, deadlineMs) {
  return new Promise((resolve) => {
    const begin = Date.now();
    const end = (result) => resolve({ tookMs: Date.now() - begin, ...result });
    const prompt = kind === 's' ? { 'Token-Count': '500,50' } : {};
    const call = http.request({
      host: gateway.host, port: gateway.port, agent: gateway.agent, method: 'POST',
      path: `/${kind}/a`, headers: { Host: 'a.example', 'Request-Id': id, 'Deadline-Ms': String(deadlineMs), ...prompt },
    }, (response) => {
      let body = '';
      response.setEncoding('utf8');
      response.on('data', (text) => (body += text));
      response.on('error', () => end({ status: 0 }));
      response.on('end', () => {
        const isWhole = kind !== 's' || response.statusCode !== 200 || /data: token4\n/.test(body);
        end({ status: isWhole ? response.statusCode : 0, retryAfter: response.headers['retry-after'],
              upstream: response.headers['response-stamp'] });
      });
    });
    call.on('error', (error) => end({ status: 0, isUnsent: error.code === 'ECONNREFUSED' }));
    call.end('x');
  });
}

async function load([kind, rate, seconds, deadlineMs, ...addresses]) {
  const gateways = addresses.map((pair) => {
    const [name, host, port] = pair.split(/[=:]/);
    return { name, host, port, agent: new http.Agent({ keepAlive: true }) };
  });
  const tag = `${process.pid}`;
  const count = Math.round(rate * seconds);
  const begin = Date.now();
  const calls = [];
  for (let n = 0; n < count; ++n) {
    await sleep(begin + (n * 1000) / rate - Date.now());
    const gateway = gateways[n % gateways.length];
    calls.push(send(gateway, kind, `${gateway.name}-${tag}-${n}`, deadlineMs));
  }
  const results = await Promise.all(calls);
  const served = results.filter((r) => r.status === 200);
  const refused = results.filter((r) => r.status === 503);
  const servedBy = {};
  for (const { upstream } of served) servedBy[upstream] = (servedBy[upstream] ?? 0) + 1;
  const unsent = results.filter((r) => r.isUnsent);
  const refusalTimes = refused.map((r) => r.tookMs);
  print({
    sent: count, served: served.length, refused: refused.length,
    other: count - served.length - refused.length - unsent.length, unsent: unsent.length,
    // No wait at all, or one that is over after the deadline, helps no caller.
    refused_without_time: refused.filter((r) => !(Number(r.retryAfter) > 0 && Number(r.retryAfter) * 1000 < deadlineMs)).length,
    median_refusal_ms: quantile(refusalTimes, 0.5), slowest_refusal_ms: quantile(refusalTimes, 1),
    ...servedBy,
  });
}

async function check([control, upstream]) {
  const response = await fetch(`http://${control}/limits`, { method: 'POST', body: '{}' });
  const periods = (await response.json()).filter((period) => period.upstream === upstream);
  const last = periods.at(-1);
  if (!last) throw new Error(`${upstream} has named no limit`);
  print(last);
  if (last.worst > last.allowed) process.exitCode = 1;
}

const [command, ...options] = process.argv.slice(2);
await { load, check }[command](options);
process.exit();
