#include "modules/net/request_framing.h"

#include <algorithm>
#include <array>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace chicory {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;

constexpr std::array<absl::string_view, 7> kFramingFaultNames = {
    "",
    "several_lengths",
    "invalid_length",
    "length_beside_transfer_coding",
    "transfer_coding_without_end",
    "unknown_transfer_coding",
    "transfer_coding_in_http_1.0"};

bool IsChunked(absl::string_view coding) {
  return absl::EqualsIgnoreCase(coding, "chunked");
}

bool IsNumber(absl::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
}

FramingFault CheckCodings(const std::vector<absl::string_view>& codings) {
  if (codings.empty() || !IsChunked(codings.back()) ||
      std::count_if(codings.begin(), codings.end(), IsChunked) != 1)
    return FramingFault::kUnframedCoding;
  return codings.size() == 1 ? FramingFault::kNone
                             : FramingFault::kUnknownCoding;
}

}  // namespace

absl::string_view FramingFaultName(FramingFault fault) {
  return kFramingFaultNames[static_cast<size_t>(fault)];
}

int FramingFaultStatus(FramingFault fault) {
  return fault == FramingFault::kUnknownCoding ? kNotImplemented : kBadRequest;
}

FramingFault CheckRequestFraming(const HttpHeaders& headers, bool is_http_11) {
  std::vector<absl::string_view> lengths;
  std::vector<absl::string_view> codings;
  for (const auto& [name, value] : headers.fields()) {
    if (absl::EqualsIgnoreCase(name, "Content-Length"))
      lengths.push_back(value);
    if (!absl::EqualsIgnoreCase(name, "Transfer-Encoding"))
      continue;
    for (absl::string_view coding : absl::StrSplit(value, ','))
      codings.push_back(absl::StripAsciiWhitespace(coding));
  }
  if (!codings.empty()) {
    if (!is_http_11)
      return FramingFault::kCodingInHttp10;
    return lengths.empty() ? CheckCodings(codings)
                           : FramingFault::kLengthBesideCoding;
  }
  if (lengths.size() > 1)
    return FramingFault::kSeveralLengths;
  return lengths.empty() || IsNumber(lengths.front())
             ? FramingFault::kNone
             : FramingFault::kInvalidLength;
}

}  // namespace chicory
