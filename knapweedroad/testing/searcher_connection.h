// One connection to a stand-in searcher, with the ways in which a connection
// can fail its client: it falls silent, is reset, or cuts an answer off.
//
//   auto connection = std::make_shared<SearcherConnection>(
//       std::move(socket), SearcherConnectionHooks{...});
//   connection->Start(6ms);
//
// It is driven by completion handlers and blocks no fiber. The project's own
// server isn't used here, since it rightly offers none of these faults.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_CONNECTION_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_CONNECTION_H_

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/net/http_message.h"

namespace knapweedroad {

class SearcherConnection;
using SearcherConnectionPtr = std::shared_ptr<SearcherConnection>;

struct SearcherConnectionHooks {
  // A whole request has come; Answer() is to be called for it once.
  std::function<void(const SearcherConnectionPtr&, const HttpRequest&)>
      on_request;
  // The connection is closed; called once.
  std::function<void(const SearcherConnectionPtr&)> on_closed;
};

class SearcherConnection
    : public std::enable_shared_from_this<SearcherConnection> {
 public:
  SearcherConnection(boost::asio::ip::tcp::socket socket,
                     SearcherConnectionHooks hooks);
  ~SearcherConnection();

  // Begins to read after `connect_cost`.
  void Start(Duration connect_cost);

  // Writes the answer to the request at hand; `truncated` closes the
  // connection in the middle of the body. Nothing on a silent or closed one.
  void Answer(const HttpResponse& response, bool truncated);

  // From now on nothing is read or written, and the socket stays open.
  void GoSilent();

  // Closes at once; `reset` shows the client a reset instead of an end.
  void Close(bool reset);

 private:
  struct State;

  void ReadNext();
  void Finish();

  std::unique_ptr<State> state;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_CONNECTION_H_
