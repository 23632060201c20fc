// An HTTP/1.1 request or response with a length.

#ifndef REVIEW_STAND_INS_HTTP_MESSAGE_H_
#define REVIEW_STAND_INS_HTTP_MESSAGE_H_

#include <map>
#include <string>

namespace review {

struct HttpMessage {
  // Of a request.
  std::string method;
  std::string path;
  // Of a response.
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  bool ClosesConnection() const;
};

std::string EncodeRequest(const HttpMessage& request);
std::string EncodeResponse(const HttpMessage& response);

}  // namespace review

#endif  // REVIEW_STAND_INS_HTTP_MESSAGE_H_
