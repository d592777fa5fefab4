#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <string>
#include <vector>

namespace chicory {

/** Returns the percentile `percent` (0 to 100) of `values`, or 0 if `values` is
    empty. */
double Percentile(std::vector<double> values, double percent);

/** A line of a plot. */
struct Series {
  std::string name;
  /** The y values at x = 0, 1, 2, ... */
  std::vector<double> values;
};

/** Titles and scale of a plot. */
struct PlotOptions {
  std::string title;
  std::string x_title;
  std::string y_title;
  /** Upper end of the y axis; larger values are clipped. */
  double y_max = 1;
};

/** Writes a line plot to the SVG file `path`. Returns false if the file cannot
    be written. */
bool WriteSvg(const std::string& path,
              const PlotOptions& options,
              const std::vector<Series>& series);

}  // namespace chicory

#endif  // BENCH_REPORT_H_
