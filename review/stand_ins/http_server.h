// A small HTTP/1.1 server with one thread for each connection.

#ifndef REVIEW_STAND_INS_HTTP_SERVER_H_
#define REVIEW_STAND_INS_HTTP_SERVER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "review/stand_ins/endpoint.h"
#include "review/stand_ins/http_message.h"

namespace review {

class HttpServer {
 public:
  using Handler = std::function<HttpMessage(const HttpMessage& request)>;

  // Listens at a free port of the address.
  HttpServer(const std::string& ip, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Endpoint& endpoint() const { return this->bound; }

 private:
  void AcceptAll();
  void Serve(int socket);

  Handler handler;
  Endpoint bound;
  int listener = -1;
  std::atomic<bool> is_stopped = false;
  std::atomic<int> serving = 0;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_HTTP_SERVER_H_
