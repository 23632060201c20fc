// HTTP requests and responses as the rest of the project sees them, without
// the HTTP library's types.

#ifndef KNAPWEEDROAD_NET_HTTP_MESSAGE_H_
#define KNAPWEEDROAD_NET_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <string_view>

namespace knapweedroad {

// Orders header names without regard to case.
struct HeaderNameLess {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

// The header's value, or an empty view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // Ask the peer to close the connection after this answer.
  bool close = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_NET_HTTP_MESSAGE_H_
