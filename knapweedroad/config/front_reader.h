// Reads one front of a deployment, with every check that concerns it alone.

#ifndef KNAPWEEDROAD_CONFIG_FRONT_READER_H_
#define KNAPWEEDROAD_CONFIG_FRONT_READER_H_

#include <array>
#include <string_view>

#include "knapweedroad/config/front_config.h"

namespace knapweedroad {

class ObjectReader;

// The words of the file, in the order of the enums.
inline constexpr std::array<std::string_view, 2> kFrontKindWords = {"search",
                                                                    "records"};
inline constexpr std::array<std::string_view, 2> kAnswerPolicyWords = {
    "tail", "coverage"};

// Reports every fault to the reader's list; the front is of use only where
// there was none.
FrontConfig ReadFront(ObjectReader& reader);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_FRONT_READER_H_
