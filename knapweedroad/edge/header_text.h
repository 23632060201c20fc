// Small questions about header lines.
//
//   if (IsSameName(name, "Connection")) ...

#ifndef KNAPWEEDROAD_EDGE_HEADER_TEXT_H_
#define KNAPWEEDROAD_EDGE_HEADER_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedroad {

// Without regard to case.
bool IsSameName(std::string_view left, std::string_view right);

// Whether a comma-separated list holds the word, without regard to case.
bool HasToken(std::string_view list, std::string_view word);

// Whether the header concerns one connection only and isn't passed on.
// `connection` is the value of the message's Connection header.
bool IsHopByHop(std::string_view name, std::string_view connection);

// The value as a whole number; nothing if it is anything else.
std::optional<uint64_t> ParseCount(std::string_view text);

// The seconds of `timeout=` in a Keep-Alive header.
std::optional<uint64_t> KeepAliveSeconds(std::string_view value);

// Appends "name: value\r\n".
void AppendLine(std::string& header,
                std::string_view name,
                std::string_view value);

// The standard phrase of a status, "OK" for 200.
std::string_view ReasonPhrase(int status);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_HEADER_TEXT_H_
