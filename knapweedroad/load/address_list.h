// Parses address lists from command-line flags.
//
//   auto list = ParseAddressList("127.0.0.1:7001,127.0.0.1:9100-9129");

#ifndef KNAPWEEDROAD_LOAD_ADDRESS_LIST_H_
#define KNAPWEEDROAD_LOAD_ADDRESS_LIST_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

// Parses a comma-separated list of IP:PORT or IP:FIRST-LAST entries. Returns an
// empty list for an empty text, and an error that names the first invalid entry
// otherwise.
tl::expected<std::vector<Endpoint>, std::string> ParseAddressList(
    std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_ADDRESS_LIST_H_
