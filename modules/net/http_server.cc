#include "modules/net/http_server.h"

#include <sys/socket.h>

#include <tuple>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "modules/net/http_server_connection.h"

namespace chicory {

namespace asio = boost::asio;

namespace {

/** Delay after a failed accept, for example when file descriptors run out. */
constexpr std::chrono::milliseconds kAcceptRetryDelay(50);

}  // namespace

HttpServer::HttpServer(asio::io_context& loop,
                       Delegate* delegate,
                       size_t max_connections,
                       MemoryBudget* budget)
    : loop_(loop),
      delegate_(delegate),
      max_connections_(max_connections),
      budget_(budget),
      acceptor_(loop),
      accept_timer_(loop) {}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::Listen(Endpoint address) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(address.ip),
                                         address.port);
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(SOMAXCONN, error);
  if (error) {
    return Fail(ErrorCode::kUnavailable,
                absl::StrCat("cannot listen on ", EndpointText(address), ": ",
                             error.message()));
  }
  port_ = acceptor_.local_endpoint(error).port();
  Accept();
  return {};
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (error) {
      ScheduleAccept();
      return;
    }
    const absl::Cleanup accept_next = [this] { Accept(); };
    Serve(std::move(socket));
  });
}

void HttpServer::Serve(asio::ip::tcp::socket socket) {
  if (connections_.size() >= max_connections_ && !CloseOneForAnother())
    return;
  auto connection =
      std::make_shared<HttpServerConnection>(std::move(socket), this);
  connections_.insert(connection);
  connection->Start();
}

bool HttpServer::CloseOneForAnother() {
  using Rank = HttpServerConnection::Rank;
  std::shared_ptr<HttpServerConnection> first;
  Rank first_rank;
  const auto goes_before = [](const Rank& left, const Rank& right) {
    return std::make_tuple(!left.is_unused, !left.is_idle, left.since) <
           std::make_tuple(!right.is_unused, !right.is_idle, right.since);
  };
  for (const auto& connection : connections_) {
    const Rank rank = connection->rank();
    if (!rank.is_closable || (first && !goes_before(rank, first_rank)))
      continue;
    if (rank.is_idle && connection->has_unread_input())
      continue;
    first = connection;
    first_rank = rank;
  }
  if (!first)
    return false;
  first->CloseForAnother();
  return true;
}

void HttpServer::ScheduleAccept() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      Accept();
  });
}

void HttpServer::StopAccepting() {
  if (!acceptor_.is_open())
    return;
  accept_timer_.cancel();
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  // Closing the listener would reset the connections that wait to be accepted.
  while (!error) {
    asio::ip::tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error)
      Serve(std::move(socket));
  }
  acceptor_.close(error);
}

void HttpServer::RefusePartialRequests() {
  const std::vector<std::shared_ptr<HttpServerConnection>> all(
      connections_.begin(), connections_.end());
  for (const auto& connection : all)
    connection->RefusePartialRequest();
}

void HttpServer::CloseIdle(absl::Duration idle_for) {
  const std::vector<std::shared_ptr<HttpServerConnection>> all(
      connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (!connection->IsIdle(idle_for))
      continue;
    ++closures_.idle;
    connection->Close();
  }
}

}  // namespace chicory
