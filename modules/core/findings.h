#ifndef MODULES_CORE_FINDINGS_H_
#define MODULES_CORE_FINDINGS_H_

#include <string>
#include <vector>

namespace chicory {

/** A problem found in a file, with its location. */
struct Finding {
  std::string file;
  /** One-based; 0 if the finding concerns the whole file. */
  int line = 0;
  /** One-based; 0 if unknown. */
  int column = 0;
  /** Path of the key within the document, such as `routes[2].name`. */
  std::string path;
  /** A stable identifier for the kind of problem, such as `unknown-key`. */
  std::string code;
  std::string problem;
  /** A description of a valid value; may be empty. */
  std::string expected;
};

/** Collects the findings of a check over any number of files, so that all
    problems are reported together, in a stable order. Not thread-safe. */
class Findings {
 public:
  void Add(Finding finding);

  /** Returns true if there are no findings. */
  bool empty() const { return findings_.empty(); }

  /** Returns all findings, sorted by file, line and column. */
  std::vector<Finding> Sorted() const;

  /** Formats the sorted findings, one per line:
      `file:line:column: code: path: problem; expected ...`. */
  std::string ToText() const;

 private:
  std::vector<Finding> findings_;
};

}  // namespace chicory

#endif  // MODULES_CORE_FINDINGS_H_
