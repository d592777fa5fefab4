#ifndef MODULES_NET_NET_H_
#define MODULES_NET_NET_H_

/** Face of the net module: the event loop's thin layer of listeners,
    connections, HTTP messages, datagrams and time. It decides nothing. May
    include core.

    Classes: HttpServer, HttpClientConnection, HttpClient, HttpRequestParser,
    HttpResponseParser, EventStreamSplitter, DatagramSocket. */

#include "modules/net/datagram_socket.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_client.h"
#include "modules/net/http_server.h"

#endif  // MODULES_NET_NET_H_
