// A blocking TCP connection that carries HTTP/1.1 messages.

#ifndef REVIEW_STAND_INS_CONNECTION_H_
#define REVIEW_STAND_INS_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>

#include "review/stand_ins/endpoint.h"
#include "review/stand_ins/http_message.h"
#include "review/stand_ins/record.h"

namespace review {

class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null if nobody accepts the connection in time.
  static std::unique_ptr<Connection> Open(const Endpoint& endpoint,
                                          TimePoint deadline);

  bool Send(const std::string& bytes);
  // Reads one message; nothing if the connection ends, or the deadline passes,
  // before it is complete.
  std::optional<HttpMessage> Receive(TimePoint deadline);
  // Whether the last Receive() ended because the peer closed the connection.
  bool was_closed() const { return this->is_closed; }

 private:
  bool ReadMore(TimePoint deadline);

  int socket;
  bool is_closed = false;
  std::string inbox;
};

// Sends one request over a new connection.
std::optional<HttpMessage> Call(const Endpoint& endpoint,
                                const HttpMessage& request,
                                Milliseconds timeout);

}  // namespace review

#endif  // REVIEW_STAND_INS_CONNECTION_H_
