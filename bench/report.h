#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <string>
#include <vector>

namespace chicory {

/** The percentile `percent` of `values`; 0 when there are none. */
double Percentile(std::vector<double> values, double percent);

}  // namespace chicory

#endif  // BENCH_REPORT_H_
