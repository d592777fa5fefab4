// A connection to a gateway that sends what it is told and records what it receives.
import net from 'node:net';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class RawConnection {
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
  // Sends a request for `path`; `body` null sends only the head of one in chunks.
  post(path, id, { tokens = '', body = 'x' } = {}) {
    const prompt = tokens && `Token-Count: ${tokens}\r\n`;
    const framing = body === null ? 'Transfer-Encoding: chunked\r\n\r\n' : `Content-Length: ${body.length}\r\n\r\n${body}`;
    this.send(`POST ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\n${prompt}${framing}`);
  }
  async until(pattern, ms) {
    const end = Date.now() + ms;
    while (!pattern.test(this.received) && !this.ended && Date.now() < end) await sleep(5);
  }
  // Forgets what was received so far.
  skip() {
    this.received = '';
  }
  // How the response to one request ended, in a few words; `nothing` if there was none.
  outcome() {
    const [, head, body] = /^(HTTP\/1\.1 [\s\S]*?\r\n\r\n)([\s\S]*)$/.exec(this.received) ?? [];
    if (!head) return 'nothing';
    const status = head.slice(9, 12);
    const length = /^Content-Length: (\d+)/im.exec(head)?.[1];
    const isWhole = length ? body.length === Number(length) : /(^|\r\n)0\r\n\r\n$/.test(body);
    return `${status} ${isWhole ? 'whole' : 'cut'}`;
  }
}
