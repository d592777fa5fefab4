#include "bench/report.h"

#include <algorithm>
#include <cstdint>
#include <fstream>

#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 360;
constexpr double kMargin = 50;
constexpr int kGridLines = 6;
constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#7f8c8d", "#27ae60"};

}  // namespace

double Percentile(std::vector<double> values, double percent) {
  if (values.empty())
    return 0;
  const size_t index = std::min(
      values.size() - 1, static_cast<size_t>(percent / 100 * values.size()));
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(index),
                   values.end());
  return values[index];
}

bool WriteSvg(const std::string& path,
              const PlotOptions& options,
              const std::vector<Series>& series) {
  size_t most = 2;
  for (const Series& line : series)
    most = std::max(most, line.values.size());
  const double step = (kWidth - 2 * kMargin) / static_cast<double>(most - 1);
  const double scale = (kHeight - 2 * kMargin) / options.y_most;
  auto y_of = [&](double value) {
    return kHeight - kMargin - std::min(value, options.y_most) * scale;
  };
  std::string svg = absl::StrCat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", kWidth,
      "\" height=\"", kHeight,
      "\" font-family=\"sans-serif\" "
      "font-size=\"12\"><rect width=\"100%\" height=\"100%\" "
      "fill=\"white\"/><text x=\"",
      kWidth / 2, "\" y=\"20\" text-anchor=\"middle\" font-size=\"15\">",
      options.title, "</text><text x=\"", kWidth / 2, "\" y=\"", kHeight - 12,
      "\" text-anchor=\"middle\">", options.x_title,
      "</text><text x=\"12\" y=\"", kMargin - 12, "\">", options.y_title,
      "</text>\n");
  for (int i = 0; i <= kGridLines; ++i) {
    const double value = options.y_most * i / kGridLines;
    absl::StrAppend(&svg, "<line x1=\"", kMargin, "\" x2=\"", kWidth - kMargin,
                    "\" y1=\"", y_of(value), "\" y2=\"", y_of(value),
                    "\" stroke=\"#ddd\"/><text x=\"", kMargin - 6, "\" y=\"",
                    y_of(value) + 4, "\" text-anchor=\"end\">", value,
                    "</text>\n");
  }
  for (size_t index = 0; index < series.size(); ++index) {
    const char* colour = kColours[index % std::size(kColours)];
    absl::StrAppend(&svg,
                    "<polyline fill=\"none\" stroke-width=\"2\" "
                    "stroke=\"",
                    colour, "\" points=\"");
    for (size_t i = 0; i < series[index].values.size(); ++i) {
      absl::StrAppend(&svg, kMargin + step * static_cast<double>(i), ",",
                      y_of(series[index].values[i]), " ");
    }
    absl::StrAppend(&svg, "\"/><text x=\"", kWidth - kMargin - 110, "\" y=\"",
                    kMargin + 16 * static_cast<double>(index), "\" fill=\"",
                    colour, "\">", series[index].name, "</text>\n");
  }
  std::ofstream file(path);
  file << svg << "</svg>\n";
  return file.good();
}

}  // namespace chicory
