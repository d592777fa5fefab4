#include "modules/core/findings.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace chicory {

void Findings::Add(Finding finding) {
  findings_.push_back(std::move(finding));
}

std::vector<Finding> Findings::Sorted() const {
  std::vector<Finding> sorted = findings_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Finding& a, const Finding& b) {
                     return std::tie(a.file, a.line, a.column) <
                            std::tie(b.file, b.line, b.column);
                   });
  return sorted;
}

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : Sorted()) {
    absl::StrAppend(&text, finding.file, ":", finding.line, ":", finding.column,
                    ": ", finding.code, ": ", finding.path, ": ",
                    finding.problem);
    if (!finding.expected.empty())
      absl::StrAppend(&text, "; expected ", finding.expected);
    absl::StrAppend(&text, "\n");
  }
  return text;
}

}  // namespace chicory
