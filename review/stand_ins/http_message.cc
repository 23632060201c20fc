#include "review/stand_ins/http_message.h"

namespace review {
namespace {

std::string EncodeRest(const HttpMessage& message, bool has_length) {
  std::string bytes;
  for (const auto& [name, value] : message.headers) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  if (has_length) {
    bytes += "content-length: " + std::to_string(message.body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += message.body;
  return bytes;
}

}  // namespace

std::string HttpMessage::Header(const std::string& name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? std::string() : found->second;
}

bool HttpMessage::ClosesConnection() const {
  return this->Header("connection") == "close";
}

std::string EncodeRequest(const HttpMessage& request) {
  return request.method + " " + request.path + " HTTP/1.1\r\n" +
         EncodeRest(request, request.method != "GET");
}

std::string EncodeResponse(const HttpMessage& response) {
  return "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n" +
         EncodeRest(response, /*has_length=*/true);
}

}  // namespace review
