// Lists of addresses as written on a command line.
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

// IP:PORT or IP:FIRST-LAST, separated by commas; an empty text is an empty
// list. The error names the entry that is wrong.
tl::expected<std::vector<Endpoint>, std::string> ParseAddressList(
    std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_LOAD_ADDRESS_LIST_H_
