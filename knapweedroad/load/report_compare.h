// Two runs' JSON reports side by side, and plots of one.

#ifndef KNAPWEEDROAD_LOAD_REPORT_COMPARE_H_
#define KNAPWEEDROAD_LOAD_REPORT_COMPARE_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace knapweedroad {

// A line for every figure that either report has, with the ratio of the second
// to the first. The error says which report can't be read.
tl::expected<std::string, std::string> CompareReports(std::string_view first,
                                                      std::string_view second);

// A gnuplot script, its data inside, that draws a report second by second:
// calls by how they ended, and the latency of the answers. It writes
// `image`, a PNG file.
tl::expected<std::string, std::string> PlotReport(std::string_view report,
                                                  std::string_view image);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_REPORT_COMPARE_H_
