// The project's codec under the names that this folder uses.

#ifndef KNAPWEEDROAD_CONTROL_CONTROL_CODEC_H_
#define KNAPWEEDROAD_CONTROL_CONTROL_CODEC_H_

#include "knapweedroad/wire/codec.h"

namespace knapweedroad::internal {

using knapweedroad::DecodeBytes;
using knapweedroad::EncodeBytes;

}  // namespace knapweedroad::internal

#endif  // KNAPWEEDROAD_CONTROL_CONTROL_CODEC_H_
