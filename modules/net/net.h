#ifndef MODULES_NET_NET_H_
#define MODULES_NET_NET_H_

/** Public interface of the net module: a thin layer over Boost.Asio and
    Boost.Beast with HTTP servers, client connections, message parsers, UDP
    sockets and steady time. It contains no policy and may depend only on the
    core module.

    Classes: HttpServer, HttpClientConnection, HttpClient, HttpRequestParser,
    HttpResponseParser, EventStreamSplitter, DatagramSocket. Function:
    RunLoop. */

#include "modules/net/datagram_socket.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_client.h"
#include "modules/net/http_server.h"
#include "modules/net/run_loop.h"

#endif  // MODULES_NET_NET_H_
