#include "bench/report.h"

#include <algorithm>
#include <cstdint>

namespace chicory {

double Percentile(std::vector<double> values, double percent) {
  if (values.empty())
    return 0;
  const size_t index = std::min(
      values.size() - 1, static_cast<size_t>(percent / 100 * values.size()));
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(index),
                   values.end());
  return values[index];
}

}  // namespace chicory
