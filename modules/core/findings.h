#ifndef MODULES_CORE_FINDINGS_H_
#define MODULES_CORE_FINDINGS_H_

#include <string>
#include <vector>

namespace chicory {

/** One thing wrong with a file, with its place. */
struct Finding {
  std::string file;
  /** One-based; 0 when the place is the whole file. */
  int line = 0;
  /** One-based; 0 when unknown. */
  int column = 0;
  /** Path of keys within the document, such as `routes[2].name`. */
  std::string path;
  /** A stable code, such as `unknown-key`. */
  std::string code;
  std::string problem;
  /** What would be right. */
  std::string expected;
};

/** Collects every finding over all files, to be reported together and sorted.
    Not thread-safe. */
class Findings {
 public:
  /** Adds one finding. */
  void Add(Finding finding);

  /** True while nothing was found. */
  bool empty() const { return findings_.empty(); }

  /** All findings, sorted by file, line and column. */
  std::vector<Finding> Sorted() const;

  /** One line per finding: `file:line:column: code: path: problem; expected`.
   */
  std::string ToText() const;

 private:
  std::vector<Finding> findings_;
};

}  // namespace chicory

#endif  // MODULES_CORE_FINDINGS_H_
