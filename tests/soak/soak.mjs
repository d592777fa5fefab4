// Randomized soak of the gateway: real processes on one machine, faults from
// outside, and the promises checked from what callers and upstreams see.
//
//   node tests/soak/soak.mjs --seed 7 --seconds 10 [--gateways 3] [--keep DIR]
//
// Ends with 0 when every promise held; prints what broke otherwise. The same seed
// gives the same faults at the same times; what the processes make of them differs.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';

const BIN = process.env.BIN ?? 'build';
const EVENTS = 5; // of a stream of the stand-in
const RECOVERY_MS = 12000;
const OVERTIME_MS = 1500; // past the caller's deadline, on a busy machine

function options(argv) {
  const found = { seed: 1, seconds: 10, gateways: 3, keep: '' };
  for (let i = 0; i < argv.length; i += 2) {
    const name = argv[i].replace(/^--/, '');
    if (!(name in found)) throw new Error(`unknown option ${argv[i]}`);
    found[name] = name === 'keep' ? argv[i + 1] : Number(argv[i + 1]);
  }
  return found;
}

// A small generator, so that a seed fixes every choice.
function randomFrom(seed) {
  let state = seed >>> 0;
  const next = () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
  return {
    next,
    below: (n) => Math.floor(next() * n),
    pick: (list) => list[Math.floor(next() * list.length)],
  };
}

const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const problems = [];
const problem = (text) => problems.push(text);

// A loopback proxy whose connections are delayed, reset, cut one way or silenced.
class Proxy {
  constructor(port) {
    this.mode = 'ok';
    this.sockets = new Set();
    this.server = net.createServer((near) => {
      const far = net.connect(port, '127.0.0.1');
      this.pass(near, far, 'cut_to');
      this.pass(far, near, 'cut_from');
    });
  }
  pass(from, to, cut) {
    this.sockets.add(from);
    from.on('data', (bytes) => {
      if (this.mode === 'silent' || this.mode === cut) return;
      if (this.mode === 'delay') setTimeout(() => to.write(bytes), 120);
      else to.write(bytes);
    });
    from.on('error', () => {});
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
  set(mode) {
    this.mode = mode;
    if (mode !== 'reset') return;
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.mode = 'ok';
  }
  listen() {
    return new Promise((done) =>
      this.server.listen(0, '127.0.0.1', () => done(this.server.address().port)));
  }
}

class Soak {
  constructor(given) {
    this.given = given;
    this.random = randomFrom(given.seed);
    this.folder = given.keep || fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));
    fs.mkdirSync(this.folder, { recursive: true });
    this.gateways = [];
    this.requests = [];
    this.version = 1;
    this.hasExtraRoute = false;
    this.stopping = false;
  }

  start(name, program, args) {
    const out = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const child = spawn(path.join(BIN, program), args,
                        { stdio: ['ignore', 'pipe', out] });
    const log = fs.createWriteStream(path.join(this.folder, `${name}.log`),
                                     { flags: 'a' });
    return new Promise((done, fail) => {
      let text = '';
      child.stdout.on('data', (bytes) => {
        log.write(bytes);
        if (text === null) return;
        text += bytes;
        const line = text.split('\n').find((l) => l.startsWith('listening'));
        if (!line) return;
        text = null;
        const addresses = Object.fromEntries(
          line.split(' ').slice(1).map((pair) => pair.split('=')));
        done({ child, addresses });
      });
      child.on('exit', (code) => fail(new Error(`${name} ended with ${code}`)));
    });
  }

  async control(call, body) {
    const at = this.platform.addresses.control;
    const answer = await fetch(`http://${at}/${call}`,
                               { method: 'POST', body: JSON.stringify(body) });
    return answer.text();
  }

  configuration() {
    const route = (name, kind, service, more) => ({
      name, host: 'a.example', 'path-prefix': `/${name}/`, kind, service,
      'timeout-ms': 4000, 'target-latency-ms': 300, anonymous: true, ...more });
    const routes = [
      route('s', 'streaming', 'engines',
            { 'gap-aim-ms': 250, 'max-attempts': 3, 'stream-resume': true }),
      route('once', 'non_idempotent', 'desk', { 'max-attempts': 2 }),
      route('again', 'idempotent', 'desk', { 'max-attempts': 3 })];
    if (this.hasExtraRoute)
      routes.push(route('extra', 'idempotent', 'desk', { 'max-attempts': 2 }));
    const engine = { slots: 8, 'kv-capacity': 315000, stride: 51, step_ms: 0.85,
                     per_seq_ms: 0.004, context_per_k: 0.003,
                     read_per_s: 177000, pairs_per_m: 0.18, chunk: 2048 };
    return { version: this.version, routes,
             services: [{ name: 'engines', 'max-connections': 100, engine },
                        { name: 'desk', 'max-connections': 100 }],
             limits: { 'idle-timeout-ms': 4000, 'header-timeout-ms': 2000 } };
  }

  async startGateway(gateway) {
    const text = ['settings:', `  instance: ${gateway.name}`,
      '  data_centre: dc1', `  callers_listen: ${gateway.ip}:${gateway.port}`,
      `  ready_listen: ${gateway.ip}:0`, `  operators_listen: ${gateway.ip}:0`,
      `  peers_listen: ${gateway.ip}:${this.peerPort}`,
      `  seeds: [${this.gateways.slice(0, 2).map((g) => `${g.ip}:1`).join(', ')}]`,
      `  store: 127.0.0.1:${gateway.storePort}`, '  stop_within: 5s', ''];
    const file = path.join(this.folder, `${gateway.name}.yaml`);
    fs.writeFileSync(file, text.join('\n'));
    const started = await this.start(gateway.name, 'chicory_gateway',
                                     ['--config', file]);
    gateway.child = started.child;
    gateway.port = Number(started.addresses.callers.split(':')[1]);
    gateway.ready = started.addresses.ready;
    gateway.isExpectedToEnd = false;
    gateway.child.removeAllListeners('exit');
    gateway.child.on('exit', (code, signal) => {
      gateway.isUp = false;
      if (!gateway.isExpectedToEnd)
        problem(`${gateway.name} ended by itself: code ${code} signal ${signal}`);
    });
    gateway.isUp = true;
  }

  async begin() {
    this.platform = await this.start('platform', 'stand_in_platform',
                                     ['--set', 'engines=3', '--set', 'desks=2']);
    this.platform.child.removeAllListeners('exit');
    this.peerPort = 20000 + (process.pid % 20000);
    await this.control('config', this.configuration());
    const storePort = Number(this.platform.addresses.store.split(':')[1]);
    for (let i = 0; i < this.given.gateways; ++i) {
      const proxy = new Proxy(storePort);
      this.gateways.push({ name: `g${i}`, ip: `127.0.${1 + this.given.seed % 200}.${11 + i}`,
                           port: 0, proxy, storePort: await proxy.listen(),
                           disturbed: 0 });
    }
    for (const gateway of this.gateways) await this.startGateway(gateway);
    await this.waitUntilServing('at the start');
  }

  ask(gateway, request) {
    return new Promise((done) => {
      const call = http.request({
        host: gateway.ip, port: gateway.port, path: request.path,
        method: request.kind === 'again' ? 'GET' : 'POST', agent: gateway.agent,
        headers: { Host: 'a.example', 'Request-Id': request.id,
                   'Deadline-Ms': String(request.patience),
                   ...(request.kind === 's' ? { 'Token-Count': '500,50' } : {}) },
      }, (answer) => {
        let body = '';
        answer.setEncoding('utf8');
        answer.on('data', (text) => { body += text; });
        answer.on('end', () => done({ status: answer.statusCode, body,
                                      whole: answer.complete,
                                      stamp: answer.headers['response-stamp'] }));
        answer.on('error', () => done({ status: answer.statusCode, body,
                                        whole: false }));
      });
      call.on('error', () => done({ status: 0, body: '', whole: false }));
      if (request.leavesAfter)
        setTimeout(() => call.destroy(), request.leavesAfter);
      call.end(request.kind === 'again' ? undefined : request.body);
    });
  }

  async caller(index) {
    const random = randomFrom(this.given.seed * 1000 + index);
    for (let n = 0; !this.stopping; ++n) {
      const kind = random.pick(['s', 's', 'once', 'once', 'again']);
      const id = `r${index}x${n}`;
      const request = { id, kind, path: `/${kind}/${id}`, body: `body-${id}`,
                        patience: random.pick([400, 1500, 4000]),
                        leavesAfter: random.below(12) === 0 ? 100 : 0 };
      const gateway = random.pick(this.gateways);
      if (!gateway.isUp) {
        await sleep(20);
        continue;
      }
      gateway.agent ??= new http.Agent({ keepAlive: true });
      const begun = Date.now();
      const answer = await this.ask(gateway, request);
      const took = Date.now() - begun;
      this.requests.push({ request, answer });
      this.check(gateway, request, answer, took, begun);
      await sleep(random.below(40));
    }
  }

  check(gateway, request, answer, took, begun) {
    const about = `${request.id} ${request.path} at ${gateway.name}`;
    if (answer.status === 401 || answer.status === 404)
      problem(`${about}: ${answer.status} for what is allowed`);
    const undisturbed = gateway.disturbed < begun && gateway.isUp;
    if (undisturbed && took > request.patience + OVERTIME_MS)
      problem(`${about}: answered after ${took} ms of ${request.patience}`);
    if (answer.status !== 200) return;
    if (!answer.stamp && answer.whole) problem(`${about}: no signature`);
    if (!answer.whole) return;
    if (request.kind === 's') {
      const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map((m) => Number(m[1]));
      if (ids.join() !== [...Array(EVENTS).keys()].join())
        problem(`${about}: a stream called complete has events ${ids}`);
      return;
    }
    const method = request.kind === 'again' ? 'GET' : 'POST';
    const body = request.kind === 'again' ? '' : request.body;
    if (answer.body !== `ran ${method} ${request.path} ${body}`)
      problem(`${about}: another answer: ${answer.body.slice(0, 80)}`);
  }

  // One fault; most end by themselves after a while.
  async fault() {
    const random = this.random;
    const gateway = random.pick(this.gateways);
    const length = 200 + random.below(2500);
    const what = random.pick([
      'proxy', 'proxy', 'store', 'upstream', 'upstream', 'leave', 'freeze',
      'kill', 'term', 'hup', 'config', 'config', 'herd']);
    fs.appendFileSync(path.join(this.folder, 'faults.log'),
                      `${Date.now()} ${what} ${gateway.name} ${length}\n`);
    const mark = (g) => { g.disturbed = Date.now() + length + 6000; };
    switch (what) {
      case 'proxy':
        gateway.proxy.set(random.pick(['delay', 'reset', 'silent', 'cut_to', 'cut_from']));
        setTimeout(() => gateway.proxy.set('ok'), length);
        break;
      case 'store':
        await this.control('store', { mode: random.pick(['down', 'busy', 'silent', 'cut', 'compact']) });
        setTimeout(() => this.control('store', { mode: 'ok' }), length);
        break;
      case 'upstream': {
        const name = random.pick(['engine-1', 'engine-2', 'desk-1', 'desk-2']);
        await this.control('upstream', { name, mode: random.pick(
          ['full', 'error', 'reset', 'mute', 'break', 'unsigned', 'foreign']) });
        setTimeout(() => this.control('upstream', { name, mode: 'ok' }), length);
        break;
      }
      case 'leave': {
        const name = random.pick(['engine-3', 'desk-2']);
        await this.control('upstream', { name, state: random.pick(['draining', 'gone']) });
        setTimeout(() => this.control('upstream', { name, state: 'ready' }), length);
        break;
      }
      case 'freeze':
        if (!gateway.isUp) break;
        mark(gateway);
        gateway.child.kill('SIGSTOP');
        setTimeout(() => gateway.child.kill('SIGCONT'), length);
        break;
      case 'kill':
        await this.end(gateway, 'SIGKILL', mark);
        break;
      case 'term':
        await this.end(gateway, 'SIGTERM', mark);
        break;
      case 'hup':
        if (gateway.isUp) gateway.child.kill('SIGHUP');
        break;
      case 'config':
        this.version += 1 + random.below(3);
        this.hasExtraRoute = !this.hasExtraRoute;
        await this.control('config', this.configuration());
        break;
      case 'herd':
        await Promise.all(this.gateways.map((g) => this.end(g, 'SIGKILL', mark)));
        break;
    }
  }

  async end(gateway, signal, mark) {
    if (!gateway.isUp || gateway.isExpectedToEnd) return;
    mark(gateway);
    gateway.isExpectedToEnd = true;
    const ended = new Promise((done) => gateway.child.on('exit', done));
    gateway.child.kill('SIGCONT');
    gateway.child.kill(signal);
    // Callers keep using their open connections until it is gone.
    ended.then(async () => {
      gateway.agent = undefined;
      await sleep(150);
      if (!this.over) await this.startGateway(gateway);
    }).catch((error) => problem(`${gateway.name}: ${error.message}`));
    if (signal === 'SIGKILL') await ended;
  }

  async isServing(gateway) {
    if (!gateway.isUp) return false;
    const answer = await this.ask(gateway, { id: `probe${Math.random()}`, kind: 'again',
                                             path: '/again/probe', patience: 1000 });
    const extra = await this.ask(gateway, { id: `probe${Math.random()}`, kind: 'again',
                                            path: '/extra/probe', patience: 1000 });
    return answer.status === 200 &&
      extra.status === (this.hasExtraRoute ? 200 : 404);
  }

  async waitUntilServing(when) {
    const until = Date.now() + RECOVERY_MS;
    for (const gateway of this.gateways) {
      while (!(await this.isServing(gateway))) {
        if (Date.now() > until) {
          problem(`${gateway.name} does not serve the configuration in force ${when}`);
          break;
        }
        await sleep(100);
      }
    }
  }

  async checkBook() {
    const book = JSON.parse(await this.control('book', {}));
    for (const { request, answer } of this.requests) {
      const runs = book.runs[request.id] ?? 0;
      if (request.kind === 'once' && runs > 1)
        problem(`${request.id} ran ${runs} times`);
      if (request.kind === 'once' && !answer.stamp && runs > 0 &&
          [408, 421, 429, 503].includes(answer.status))
        problem(`${request.id} was answered ${answer.status} and ran`);
    }
    return Object.keys(book.runs).length;
  }

  async run() {
    await this.begin();
    const callers = [...Array(6).keys()].map((i) => this.caller(i));
    const until = Date.now() + this.given.seconds * 1000;
    while (Date.now() < until) {
      await sleep(this.random.below(700));
      await this.fault();
    }
    await sleep(3000); // the last faults end
    await this.control('store', { mode: 'ok' });
    await this.waitUntilServing('after the last fault');
    this.stopping = true;
    await Promise.all(callers);
    const ran = await this.checkBook();
    const served = this.requests.filter((r) => r.answer.status === 200).length;
    console.log(`seed=${this.given.seed} requests=${this.requests.length} ` +
                `served=${served} ran=${ran} problems=${problems.length}`);
  }

  finish() {
    this.over = true;
    for (const gateway of this.gateways) {
      gateway.isExpectedToEnd = true;
      gateway.child?.kill('SIGCONT');
      gateway.child?.kill('SIGKILL');
    }
    this.platform?.child.kill('SIGKILL');
  }
}

const soak = new Soak(options(process.argv.slice(2)));
process.on('exit', () => soak.finish());
try {
  await soak.run();
} catch (error) {
  problem(`the soak itself failed: ${error.stack}`);
}
for (const text of problems) console.log(`PROBLEM: ${text}`);
if (problems.length > 0) console.log(`logs are in ${soak.folder}`);
else if (!soak.given.keep) fs.rmSync(soak.folder, { recursive: true, force: true });
process.exit(problems.length > 0 ? 1 : 0);
