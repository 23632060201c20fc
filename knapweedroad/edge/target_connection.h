// One connection to a target: one exchange at a time.
//
//   auto connection = TargetConnection::Make(io, header_names, scratch);
//   connection->Connect(endpoint, [](ConnectEnd end) { ... });
//   connection->Exchange({.bytes = bytes, .request_id = id},
//                        [](TargetReply reply) { ... });
//   if (connection->reusable()) KeepForLater(connection);

#ifndef KNAPWEEDROAD_EDGE_TARGET_CONNECTION_H_
#define KNAPWEEDROAD_EDGE_TARGET_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "knapweedroad/base/time.h"
#include "knapweedroad/config/host_settings.h"

namespace knapweedroad {

namespace internal {
template <bool kIsRequest>
class MessageReader;
}  // namespace internal

class ReceiveBudget;
struct HeaderNames;
enum class ReplyKind : uint8_t;
struct TargetReply;

// How an attempt to connect ended.
enum class ConnectEnd : uint8_t {
  kConnected,
  kFailed,  // nobody listens, or nothing answers
  // Somebody listens, and ended the connection at once: it has too many.
  kRejected,
};

using ReplyHandler = std::function<void(TargetReply reply)>;

struct TargetQuestion {
  std::string bytes;
  std::string request_id;
  // Whether the answer's header lines are wanted, beside those that are read.
  bool wants_header = true;
  // Longer answers are taken for bytes that are none.
  size_t max_answer_bytes = 8 << 20;
};

class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  // `scratch` is a read buffer that all connections of a thread share; it,
  // `budget` and `header_names` outlive the connection.
  static std::shared_ptr<TargetConnection> Make(boost::asio::io_context& io,
                                                const HeaderNames& header_names,
                                                ReceiveBudget& budget,
                                                std::span<char> scratch);
  ~TargetConnection();

  // Once, first. `done` is called unless the connection is closed before.
  void Connect(const Endpoint& endpoint, std::function<void(ConnectEnd)> done);

  // Sends the request and reads its answer. An answer that names another
  // request's id is left over from an earlier exchange and is skipped. The
  // connection is closed once there are too many of these, or too many bytes.
  void Exchange(TargetQuestion question, ReplyHandler done);

  // Between exchanges: calls `closed` when the target closes, or sends bytes
  // that nobody asked for.
  void WatchIdle(std::function<void()> closed);
  // Whether one of the two will be noticed.
  bool is_watched() const { return this->is_waiting; }

  // Between exchanges: whether neither has happened so far. Asks the kernel.
  bool IsQuiet();

  // No callback comes after it.
  void Close();

  // Whether another exchange may follow.
  bool reusable() const { return this->is_reusable; }
  // When the connection was last used, and how long the target lets it idle;
  // zero: it doesn't say.
  TimePoint idle_since() const { return this->last_used; }
  Duration idle_limit() const { return this->keep_alive; }

 private:
  using Reader = internal::MessageReader<false>;

  TargetConnection(boost::asio::io_context& io,
                   const HeaderNames& header_names,
                   ReceiveBudget& budget,
                   std::span<char> scratch);
  void Write();
  void AwaitBytes();
  void OnReadable(const boost::system::error_code& error);
  void Parse(std::string_view bytes);
  // Whether the message being read has fields that only final answers have: its
  // status is then wrong, and nothing comes after it.
  bool HasFinalFields() const;
  // Whether the message just read was another request's.
  bool IsLeftOver() const;
  void Finish(bool has_extra_bytes);
  void Break(ReplyKind kind);
  TargetReply Convert();
  // Takes the line in, if it is one that a host reads itself.
  void ReadLine(std::string_view name,
                std::string_view value,
                TargetReply& reply);
  // The header lines to pass on.
  std::string PassedOn() const;
  void NewReader();
  // Skips the message just read; false: there were too many.
  bool Skip();
  // Tells the budget of the bytes held; false: the answer can't be read on.
  bool CountHeldBytes();
  void DropReader();

  boost::asio::ip::tcp::socket socket;
  const HeaderNames& header_names;
  std::span<char> scratch;
  ReceiveBudget& budget;
  std::unique_ptr<Reader> reader;
  // As the budget knows it.
  size_t held_bytes = 0;
  // Messages skipped in this exchange.
  int skipped = 0;
  TargetQuestion question;
  bool is_written = false;
  bool is_waiting = false;
  bool is_busy = false;
  bool is_reusable = false;
  bool skipped_left_over = false;
  ReplyHandler on_done;
  std::function<void()> on_idle_closed;
  TimePoint sent;
  TimePoint last_used;
  Duration keep_alive{};
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_TARGET_CONNECTION_H_
