// The answer of `GET /v1/status` as tables for a terminal.
//
//   std::cout << StatusText(response.body).value_or(response.body);

#ifndef KNAPWEEDROAD_CLI_STATUS_PRINTER_H_
#define KNAPWEEDROAD_CLI_STATUS_PRINTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace knapweedroad {

// Nothing where the text is no such answer.
std::optional<std::string> StatusText(std::string_view json);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CLI_STATUS_PRINTER_H_
