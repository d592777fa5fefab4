#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <string>
#include <vector>

namespace chicory {

/** The percentile `percent` of `values`; 0 when there are none. */
double Percentile(std::vector<double> values, double percent);

/** One line of a plot. */
struct Series {
  std::string name;
  /** Values at 0, 1, 2, ... */
  std::vector<double> values;
};

/** What stands on a plot. */
struct PlotOptions {
  std::string title;
  std::string x_title;
  std::string y_title;
  double y_most = 1;
};

/** Writes a line plot; false when the file cannot be written. */
bool WriteSvg(const std::string& path,
              const PlotOptions& options,
              const std::vector<Series>& series);

}  // namespace chicory

#endif  // BENCH_REPORT_H_
