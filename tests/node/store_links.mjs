// Relays connections to the platform's store, a port for each gateway, and cuts links as a
// partition does: nothing passes, and no connection ends.
//
//   node store_links.mjs STORE_ADDRESS COUNT
//
// Prints `listening link1=ADDRESS ... control=ADDRESS`. Requests to the control address:
// /watching prints the numbers of the links on which a watch of the configuration waits,
// /cut/LINK,... cuts links and /heal restores all of them. What was sent meanwhile
// arrives then.
import http from 'node:http';
import net from 'node:net';

const [storeHost, storePort] = process.argv[2].split(':');
const count = Number(process.argv[3]);

class Link {
  cut = false;
  held = [];
  watches = new Set();

  accept(client) {
    const store = net.connect(Number(storePort), storeHost);
    client.on('data', (bytes) => {
      if (bytes.toString('latin1').includes('GET /objects/config?watch=')) this.watches.add(client);
      this.pass(() => store.write(bytes));
    });
    store.on('data', (bytes) => {
      this.watches.delete(client);
      this.pass(() => client.write(bytes));
    });
    client.on('close', () => {
      this.watches.delete(client);
      this.pass(() => store.destroy());
    });
    store.on('close', () => this.pass(() => client.destroy()));
    for (const socket of [client, store]) socket.on('error', () => {});
  }

  pass(step) {
    if (this.cut) this.held.push(step);
    else step();
  }

  heal() {
    this.cut = false;
    for (const step of this.held.splice(0)) step();
  }
}

const listen = (server) =>
  new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`)));

const links = Array.from({ length: count }, () => new Link());
const addresses = [];
for (const [i, link] of links.entries())
  addresses.push(`link${i + 1}=${await listen(net.createServer((client) => link.accept(client)))}`);
const control = http.createServer((request, response) => {
  const [, verb, list] = request.url.split('/');
  if (verb === 'cut') for (const number of list.split(',')) links[number - 1].cut = true;
  if (verb === 'heal') for (const link of links) link.heal();
  const watching = links.flatMap((link, i) => (link.watches.size > 0 ? [i + 1] : []));
  response.end(`${watching.join(' ')}\n`);
});
addresses.push(`control=${await listen(control)}`);
console.log(`listening ${addresses.join(' ')}`);
