// Turns one JSON value into a typed one, or says what is wrong with it.
//
//   auto slots = ReadCount(node);
//   if (!slots) errors.Add(..., slots.error().message, slots.error().remedy);

#ifndef KNAPWEEDROAD_CONFIG_FIELD_VALUE_H_
#define KNAPWEEDROAD_CONFIG_FIELD_VALUE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

struct JsonNode;

// What is wrong with a value, without its place.
struct ValueFault {
  std::string message;
  std::string remedy;
};

template <typename Value>
using FieldValue = tl::expected<Value, ValueFault>;

// A text that `IsName` accepts.
FieldValue<std::string> ReadName(const JsonNode& node);

// A text with at least one byte.
FieldValue<std::string> ReadText(const JsonNode& node);

FieldValue<bool> ReadBoolean(const JsonNode& node);

// A whole number from 1 up: a limit, weight or number that can't be none.
FieldValue<uint32_t> ReadCount(const JsonNode& node);

// From 0 to 1, both included.
FieldValue<double> ReadShare(const JsonNode& node);

// Between 0 and 1, neither included.
FieldValue<double> ReadQuantile(const JsonNode& node);

// A string with a unit, "250ms".
FieldValue<Duration> ReadDuration(const JsonNode& node);

// A duration above zero.
FieldValue<Duration> ReadPositiveDuration(const JsonNode& node);

// An IP number and a port: "127.0.0.1:7001" or "[::1]:7001".
FieldValue<Endpoint> ReadEndpoint(const JsonNode& node);

// One of `words`: its index.
FieldValue<size_t> ReadWord(const JsonNode& node,
                            std::span<const std::string_view> words);

// A piece of the file for a message: cut after 64 bytes, with '?' for control
// characters, so that a message stays one short line.
std::string Excerpt(std::string_view text);
// The same in single quotes.
std::string Quoted(std::string_view text);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_CONFIG_FIELD_VALUE_H_
