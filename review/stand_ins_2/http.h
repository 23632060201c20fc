// Blocking HTTP/1.1 over TCP.

#ifndef REVIEW_STAND_INS_2_HTTP_H_
#define REVIEW_STAND_INS_2_HTTP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

struct Message {
  // Of a request: method and path. Of an answer: the status.
  std::string method;
  std::string path;
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

std::string Lower(std::string text);

// A connected socket, closed at the end.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::optional<int> Connect(const std::string& ip,
                                    uint16_t port,
                                    std::chrono::milliseconds timeout);

  bool Write(const std::string& bytes) const;
  // Nothing: the peer closed, sent no message, or was silent until `until`.
  std::optional<Message> Read(Clock::time_point until);

 private:
  bool Fill(Clock::time_point until);

  int socket;
  std::string unread;
};

// One request on a connection of its own.
std::optional<Message> Ask(const std::string& ip,
                           uint16_t port,
                           const std::string& method,
                           const std::string& path,
                           const std::string& headers,
                           const std::string& body,
                           std::chrono::milliseconds timeout);

// A socket that listens; -1 if the address is taken.
int Listen(const std::string& ip, uint16_t port);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HTTP_H_
