#include "modules/net/http_message.h"

#include <array>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <limits>
#include <optional>
#include <stdexcept>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "modules/net/request_framing.h"

namespace chicory {

namespace http = boost::beast::http;

namespace {

/** Engines send heads of a few hundred bytes. Also limits the size line of a
    chunk and the trailer. */
constexpr uint32_t kMaxResponseHeadBytes = 64 << 10;
constexpr int kMaxInterimResponses = 16;
/** Statuses are from 100 to 599 (RFC 9110, section 15); the library takes any
    three digits. */
constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
/** HTTP/1.1 as a version number of the parser. */
constexpr unsigned kHttp11 = 11;

constexpr std::array<absl::string_view, 9> kHopByHopFields = {
    "connection",          "keep-alive", "proxy-connection",
    "proxy-authenticate",  "te",         "trailer",
    "proxy-authorization", "upgrade",    "transfer-encoding"};

constexpr std::array<absl::string_view, 4> kBodyFramingNames = {
    "unknown", "length", "chunked", "connection_end"};

/** A message's body, which grows by the bytes that arrive. The library's
    string_body reserves the announced length instead, which a peer may set to
    any number: std::string throws when it is more than memory allows. */
struct GrowingBody {
  using value_type = std::string;

  static uint64_t size(const value_type& body) { return body.size(); }

  /** Appends the parsed bytes to the body. The library requires these names. */
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(http::header<is_request, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<uint64_t>& announced,
              boost::beast::error_code& ec) {
      announced_ = announced.value_or(std::numeric_limits<uint64_t>::max());
      ec = {};
    }

    template <class Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& ec) {
      ec = {};
      const size_t size_before = body_.size();
      for (const boost::asio::const_buffer buffer :
           boost::beast::buffers_range_ref(buffers)) {
        Grow(body_.size() + buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return body_.size() - size_before;
    }

    void finish(boost::beast::error_code& ec) { ec = {}; }

   private:
    /** Doubles the capacity, but not beyond the announced length. */
    void Grow(size_t needed) {
      const size_t doubled = 2 * body_.capacity();
      if (needed <= body_.capacity() || doubled <= announced_ ||
          needed > announced_)
        return;
      // A new string, because reserve() at least doubles the capacity.
      std::string grown;
      grown.reserve(announced_);
      grown.append(body_);
      body_.swap(grown);
    }

    value_type& body_;
    uint64_t announced_ = std::numeric_limits<uint64_t>::max();
  };
};

std::string ToString(boost::beast::string_view text) {
  return std::string(text.data(), text.size());
}

template <class Fields>
HttpHeaders CopyHeaders(const Fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields)
    headers.Add(ToString(field.name_string()), ToString(field.value()));
  return headers;
}

/** Returns the status of the response to a request that the library refuses. */
int StatusOf(const boost::beast::error_code& error) {
  if (error == http::error::header_limit)
    return kHeadTooLarge;
  return error == http::error::body_limit ? kBodyTooLarge : kBadRequest;
}

/** Passes `bytes` to a parser of the library and returns the number of bytes
    consumed. A field of 64 KiB or more, for which the library throws, counts as
    a head that is too large. */
template <class Parser>
size_t Put(Parser* parser,
           absl::string_view bytes,
           boost::beast::error_code* error) {
  try {
    return parser->put(boost::asio::buffer(bytes.data(), bytes.size()), *error);
  } catch (const std::length_error&) {
    *error = http::error::header_limit;
    return 0;
  }
}

}  // namespace

absl::string_view HttpHeaders::Find(absl::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (absl::EqualsIgnoreCase(key, name))
      return value;
  }
  // Not a null view, because some functions treat that differently from an
  // empty string.
  return "";
}

bool HttpHeaders::Has(absl::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (absl::EqualsIgnoreCase(key, name))
      return true;
  }
  return false;
}

bool IsHopByHop(absl::string_view name, absl::string_view connection) {
  for (absl::string_view known : kHopByHopFields) {
    if (absl::EqualsIgnoreCase(name, known))
      return true;
  }
  for (absl::string_view token : absl::StrSplit(connection, ',')) {
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(token), name))
      return true;
  }
  return false;
}

absl::string_view HttpRequest::path() const {
  return absl::string_view(target).substr(0, target.find('?'));
}

std::string HttpReason(int status) {
  return ToString(http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(status))));
}

absl::string_view BodyFramingName(BodyFraming framing) {
  return kBodyFramingNames[static_cast<size_t>(framing)];
}

struct HttpRequestParser::Impl {
  http::request_parser<GrowingBody> parser;
  /** The fields of the head. The library adds those of the trailer to its own.
   */
  HttpHeaders headers;
  bool has_head = false;
  /** Bytes of chunk extensions so far. */
  size_t extension_bytes = 0;
  std::function<
      void(uint64_t, boost::beast::string_view, boost::beast::error_code&)>
      on_chunk_header;
};

HttpRequestParser::HttpRequestParser(Options options)
    : options_(options), impl_(std::make_unique<Impl>()) {
  impl_->parser.header_limit(static_cast<uint32_t>(options_.max_header_bytes));
  impl_->parser.body_limit(options_.max_body_bytes);
  // Up to the end of the head, so that it is checked before its body is read.
  impl_->parser.eager(false);
  // A body in chunks of one byte may be as large as others; what comes with
  // the chunks is bounded for the request as a whole.
  impl_->on_chunk_header = [this](uint64_t, boost::beast::string_view extension,
                                  boost::beast::error_code& error) {
    impl_->extension_bytes += extension.size();
    if (impl_->extension_bytes > options_.max_header_bytes)
      error = http::error::header_limit;
  };
  impl_->parser.on_chunk_header(impl_->on_chunk_header);
}

HttpRequestParser::~HttpRequestParser() = default;

size_t HttpRequestParser::Feed(absl::string_view bytes) {
  size_t used = 0;
  while (state_ == ParseState::kNeedMore && used < bytes.size()) {
    started_ = true;
    boost::beast::error_code error;
    const size_t taken = Put(&impl_->parser, bytes.substr(used), &error);
    used += taken;
    if (error == http::error::need_more)
      break;
    if (error) {
      SetMalformed(StatusOf(error), error.message());
      return used;
    }
    if (!impl_->has_head && impl_->parser.is_header_done())
      CheckHead();
    if (state_ != ParseState::kNeedMore)
      return used;
    if (impl_->parser.is_done())
      state_ = ParseState::kComplete;
    else if (taken == 0)
      break;
  }
  // What the parser does not consume is the begin of a head, of the size line
  // of a chunk or of a trailer.
  if (state_ == ParseState::kNeedMore &&
      bytes.size() - used > options_.max_header_bytes)
    SetMalformed(kHeadTooLarge, "a line or the head is too long");
  return used;
}

void HttpRequestParser::CheckHead() {
  const auto& message = impl_->parser.get();
  impl_->has_head = true;
  impl_->headers = CopyHeaders(message.base());
  impl_->parser.eager(true);
  const FramingFault fault =
      CheckRequestFraming(impl_->headers, message.version() >= kHttp11);
  if (fault != FramingFault::kNone)
    SetMalformed(FramingFaultStatus(fault), FramingFaultName(fault));
  else if (options_.head_only)
    state_ = ParseState::kComplete;
}

void HttpRequestParser::SetMalformed(int status, absl::string_view reason) {
  state_ = ParseState::kMalformed;
  error_status_ = status;
  error_reason_ = std::string(reason);
}

bool HttpRequestParser::awaits_body() const {
  return impl_->parser.is_header_done() && !impl_->parser.is_done();
}

size_t HttpRequestParser::body_capacity() const {
  return impl_->parser.get().body().capacity();
}

bool HttpRequestParser::expects_continue() const {
  if (!impl_->parser.is_header_done())
    return false;
  return absl::EqualsIgnoreCase(
      ToString(impl_->parser.get()[http::field::expect]), "100-continue");
}

HttpRequest HttpRequestParser::Take() {
  auto& message = impl_->parser.get();
  // A body in chunks has no announced length, and up to twice its size.
  std::string& body = message.body();
  if (body.capacity() - body.size() > body.size() / 8)
    body.shrink_to_fit();
  return {.method = ToString(message.method_string()),
          .target = ToString(message.target()),
          .headers = std::move(impl_->headers),
          .body = std::move(body),
          .keep_alive = message.keep_alive(),
          .accepts_chunks = message.version() >= kHttp11};
}

struct HttpResponseParser::Impl {
  std::optional<http::response_parser<GrowingBody>> parser;
};

HttpResponseParser::HttpResponseParser(bool head_only)
    : head_only_(head_only), impl_(std::make_unique<Impl>()) {
  ResetParser();
}

void HttpResponseParser::ResetParser() {
  impl_->parser.emplace();
  impl_->parser->header_limit(kMaxResponseHeadBytes);
  impl_->parser->body_limit(boost::none);
  impl_->parser->eager(true);
  impl_->parser->skip(head_only_);
}

HttpResponseParser::~HttpResponseParser() = default;

size_t HttpResponseParser::Feed(absl::string_view bytes) {
  size_t used = 0;
  while (state_ == ParseState::kNeedMore && used < bytes.size()) {
    started_ = true;
    boost::beast::error_code error;
    const size_t taken = Put(&*impl_->parser, bytes.substr(used), &error);
    used += taken;
    if (error && error != http::error::need_more) {
      state_ = ParseState::kMalformed;
      return used;
    }
    if (!has_head_ && impl_->parser->is_header_done()) {
      const auto& message = impl_->parser->get();
      const int status = static_cast<int>(message.result_int());
      const bool is_interim = status < kMinFinalStatus;
      if (status < kMinStatus || status > kMaxStatus ||
          (is_interim && ++interim_responses_ > kMaxInterimResponses)) {
        state_ = ParseState::kMalformed;
        return used;
      }
      if (is_interim) {
        ResetParser();
        continue;
      }
      has_head_ = true;
      head_ = {.status = status,
               .reason = ToString(message.reason()),
               .headers = CopyHeaders(message.base()),
               .keep_alive = message.keep_alive()};
    }
    if (impl_->parser->is_done())
      state_ = ParseState::kComplete;
    else if (error == http::error::need_more || taken == 0)
      break;
  }
  // The parser does not consume a head, or a line of a chunk, before its end.
  if (state_ == ParseState::kNeedMore &&
      bytes.size() - used > kMaxResponseHeadBytes)
    state_ = ParseState::kMalformed;
  return used;
}

void HttpResponseParser::FeedEof() {
  if (state_ != ParseState::kNeedMore)
    return;
  if (!impl_->parser->got_some()) {
    // Beast does not allow put_eof() before the first byte of a response, which
    // may follow an interim one.
    state_ = ParseState::kMalformed;
    return;
  }
  boost::beast::error_code error;
  impl_->parser->put_eof(error);
  const bool is_complete = !error && has_head_ && impl_->parser->is_done();
  state_ = is_complete ? ParseState::kComplete : ParseState::kMalformed;
}

BodyFraming HttpResponseParser::framing() const {
  if (!has_head_)
    return BodyFraming::kUnknown;
  if (impl_->parser->need_eof())
    return BodyFraming::kConnectionEnd;
  return impl_->parser->chunked() ? BodyFraming::kChunked
                                  : BodyFraming::kLength;
}

std::optional<uint64_t> HttpResponseParser::announced_length() const {
  if (!has_head_)
    return std::nullopt;
  const boost::optional<uint64_t> length = impl_->parser->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

std::string HttpResponseParser::TakeBody() {
  if (!has_head_)
    return {};
  std::string body = std::move(impl_->parser->get().body());
  impl_->parser->get().body().clear();
  return body;
}

}  // namespace chicory
