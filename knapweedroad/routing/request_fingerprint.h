// Identifies the content of a request: requests with equal fingerprints ask
// targets for the same work, whoever sends them and under whatever id.
//
//   RequestFingerprint fingerprint = MakeRequestFingerprint(
//       {.method = "GET", .host = "a.example", .path = "/q/1?x=2"});
//   LogLine("target_lost").Add("fingerprint", ToString(fingerprint));

#ifndef KNAPWEEDROAD_ROUTING_REQUEST_FINGERPRINT_H_
#define KNAPWEEDROAD_ROUTING_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedroad {

// A hash that is the same on all hosts. Zero for no request.
enum class RequestFingerprint : uint64_t {};

// The parts of a request that determine what a target does. Ids, deadlines,
// keys and other header lines differ between repeats of the same request.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  // With the query.
  std::string_view path;
  std::string_view body;
};

RequestFingerprint MakeRequestFingerprint(const RequestContent& content);

// Returns 16 hexadecimal digits.
std::string ToString(RequestFingerprint fingerprint);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_ROUTING_REQUEST_FINGERPRINT_H_
