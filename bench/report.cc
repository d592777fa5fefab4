#include "bench/report.h"

#include <algorithm>
#include <cstdint>
#include <fstream>

#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

constexpr double kWidthPx = 720;
constexpr double kHeightPx = 360;
constexpr double kMarginPx = 50;
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
  size_t max_points = 2;
  for (const Series& line : series)
    max_points = std::max(max_points, line.values.size());
  const double x_step =
      (kWidthPx - 2 * kMarginPx) / static_cast<double>(max_points - 1);
  const double y_scale = (kHeightPx - 2 * kMarginPx) / options.y_max;
  auto y_position = [&](double value) {
    return kHeightPx - kMarginPx - std::min(value, options.y_max) * y_scale;
  };
  std::string svg = absl::StrCat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", kWidthPx,
      "\" height=\"", kHeightPx,
      "\" font-family=\"sans-serif\" "
      "font-size=\"12\"><rect width=\"100%\" height=\"100%\" "
      "fill=\"white\"/><text x=\"",
      kWidthPx / 2, "\" y=\"20\" text-anchor=\"middle\" font-size=\"15\">",
      options.title, "</text><text x=\"", kWidthPx / 2, "\" y=\"",
      kHeightPx - 12, "\" text-anchor=\"middle\">", options.x_title,
      "</text><text x=\"12\" y=\"", kMarginPx - 12, "\">", options.y_title,
      "</text>\n");
  for (int i = 0; i <= kGridLines; ++i) {
    const double value = options.y_max * i / kGridLines;
    absl::StrAppend(
        &svg, "<line x1=\"", kMarginPx, "\" x2=\"", kWidthPx - kMarginPx,
        "\" y1=\"", y_position(value), "\" y2=\"", y_position(value),
        "\" stroke=\"#ddd\"/><text x=\"", kMarginPx - 6, "\" y=\"",
        y_position(value) + 4, "\" text-anchor=\"end\">", value, "</text>\n");
  }
  for (size_t index = 0; index < series.size(); ++index) {
    const char* colour = kColours[index % std::size(kColours)];
    absl::StrAppend(&svg,
                    "<polyline fill=\"none\" stroke-width=\"2\" "
                    "stroke=\"",
                    colour, "\" points=\"");
    for (size_t i = 0; i < series[index].values.size(); ++i) {
      absl::StrAppend(&svg, kMarginPx + x_step * static_cast<double>(i), ",",
                      y_position(series[index].values[i]), " ");
    }
    absl::StrAppend(&svg, "\"/><text x=\"", kWidthPx - kMarginPx - 110,
                    "\" y=\"", kMarginPx + 16 * static_cast<double>(index),
                    "\" fill=\"", colour, "\">", series[index].name,
                    "</text>\n");
  }
  std::ofstream file(path);
  file << svg << "</svg>\n";
  return file.good();
}

}  // namespace chicory
