// Compares the JSON reports of two runs, and plots a report.

#ifndef KNAPWEEDROAD_LOAD_REPORT_COMPARE_H_
#define KNAPWEEDROAD_LOAD_REPORT_COMPARE_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace knapweedroad {

// Returns a line for every figure in either report, with the ratio of the
// second to the first. The error names the report that is invalid.
tl::expected<std::string, std::string> CompareReports(std::string_view first,
                                                      std::string_view second);

// Returns a gnuplot script with inline data that plots, per second, the calls
// by outcome and the latency of answers. The script writes the PNG file
// `image`. Returns an error if the report is invalid.
tl::expected<std::string, std::string> PlotReport(std::string_view report,
                                                  std::string_view image);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_REPORT_COMPARE_H_
