#ifndef TESTS_LOGIC_BROKEN_RESPONSES_H_
#define TESTS_LOGIC_BROKEN_RESPONSES_H_

#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace chicory {

/** Texts in the place of a status that are none. */
inline std::vector<std::string> InvalidStatuses() {
  return {"000",  "001", "042",  "099",  "600",         "999", "0",
          "20",   "",    "0200", "2000", "+20",         "-20", "-200",
          " 200", "2 0", "20x",  "2\t0", "\xb2\xb2\xb2"};
}

/** Returns whether RFC 9110 allows `byte` in the name of a field. */
inline bool IsNameByte(unsigned char byte) {
  return absl::ascii_isalnum(byte) ||
         (byte != 0 &&
          absl::StrContains("!#$%&'*+-.^_`|~", static_cast<char>(byte)));
}

/** Lines in the place of a field that have no proper name: with each byte that
    no name may hold at its begin, inside it and at its end, among others. */
inline std::vector<std::string> InvalidFieldLines() {
  std::vector<std::string> lines = {": a",
                                    " X: a",
                                    "\tX: a",
                                    "X : a",
                                    "X\t: a",
                                    "X",
                                    "no colon",
                                    "X\rY: a",
                                    "Content-Length : 1",
                                    "Transfer-Encoding : chunked"};
  for (int value = 0; value < 256; ++value) {
    // The first colon ends the name.
    if (value == ':' || IsNameByte(static_cast<unsigned char>(value)))
      continue;
    for (const char* name : {"@Xy", "X@y", "Xy@"}) {
      std::string line = name;
      line[line.find('@')] = static_cast<char>(value);
      lines.push_back(line + ": a");
    }
  }
  return lines;
}

/** A response that is none. */
struct BrokenResponse {
  std::string name;
  std::string bytes;
};

/** Returns responses with `body` that are broken by their status or by one line
    of their head. */
inline std::vector<BrokenResponse> BrokenHeads(const std::string& body) {
  const std::string rest =
      absl::StrCat("Content-Length: ", body.size(), "\r\n\r\n", body);
  std::vector<BrokenResponse> responses;
  for (const std::string& status : InvalidStatuses()) {
    for (const char* interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      responses.push_back(
          {absl::StrCat("status '", status, "'", *interim ? ", interim" : ""),
           absl::StrCat(interim, "HTTP/1.1 ", status, " Status\r\n", rest)});
    }
  }
  for (const std::string& line : InvalidFieldLines()) {
    responses.push_back(
        {absl::StrCat("line '", absl::CEscape(line), "'"),
         absl::StrCat("HTTP/1.1 200 OK\r\n", line, "\r\n", rest)});
  }
  return responses;
}

}  // namespace chicory

#endif  // TESTS_LOGIC_BROKEN_RESPONSES_H_
