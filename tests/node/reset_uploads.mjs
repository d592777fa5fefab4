// Sends uploads to an upstream that resets its connections, several at a time, and counts how
// the callers see the responses end.
//
//   node reset_uploads.mjs ADDRESS PATH HOST COUNT [HEADER=VALUE...]
//
// Prints one line of FIELD=VALUE: complete (a whole response with a part of the upstream's
// body), cut (a response that broke off) and failed (another status or none).
import http from 'node:http';

const UPLOAD = Buffer.alloc(3 << 20, 'u');
const AT_A_TIME = 6;

const [address, path, hostName, countText, ...fields] = process.argv.slice(2);
const [host, port] = address.split(':');
const extra = Object.fromEntries(fields.map((field) => field.split('=')));
const ends = { complete: 0, cut: 0, failed: 0 };
let next = 0;

function upload(id) {
  return new Promise((resolve) => {
    const call = http.request({
      host, port, method: 'POST', path: `${path}?case=${id}`, agent: false,
      headers: { Host: hostName, 'Request-Id': id, 'Idempotency-Key': id, 'Deadline-Ms': '8000',
                 'Content-Length': UPLOAD.length, ...extra },
    }, (response) => {
      let body = '';
      response.on('data', (bytes) => (body += bytes));
      response.on('error', () => resolve('cut'));
      response.on('end', () => resolve(body.includes('part') ? 'complete' : 'failed'));
    });
    call.on('error', () => resolve('failed'));
    call.end(UPLOAD);
  });
}

async function caller() {
  while (next < Number(countText)) ++ends[await upload(`reset-${process.pid}-${next++}`)];
}
await Promise.all(Array.from({ length: AT_A_TIME }, caller));
console.log(Object.entries(ends).map(([name, value]) => `${name}=${value}`).join(' '));
process.exit();
