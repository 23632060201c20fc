// How a host reads the text of a routing configuration.

#ifndef KNAPWEEDROAD_EDGE_ROUTING_READER_H_
#define KNAPWEEDROAD_EDGE_ROUTING_READER_H_

#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace knapweedroad {

struct RoutingConfig;

// Reads the text of a routing configuration; the error says what is wrong.
using RoutingReader =
    std::function<tl::expected<RoutingConfig, std::string>(std::string_view)>;

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ROUTING_READER_H_
