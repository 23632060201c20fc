// Peers that send without end, or take nothing, on many connections at once.

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "knapweedroad/net/endless_sender.h"
#include "knapweedroad/net/http_message.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/receive_budget.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/wire/codec.h"
#include "knapweedroad/wire/frame_header.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Under a quarter of the smallest host's memory.
constexpr size_t kMostHeld = 40 << 20;
constexpr size_t kConnections = 32;

std::string FrameOf(size_t body_bytes) {
  return EncodeBytes(
      FrameHeader{.type = PeerMessageType::kPull,
                  .body_bytes = static_cast<uint32_t>(body_bytes)});
}

PeerServerOptions Answering(size_t reply_bytes) {
  return {.endpoint = {"127.0.0.1", 0},
          .handler = [reply_bytes](PeerMessageType, const std::string&) {
            return tl::expected<std::string, std::string>(
                std::string(reply_bytes, 'r'));
          }};
}

using Senders = std::vector<std::unique_ptr<EndlessSender>>;

std::unique_ptr<EndlessSender> Start(Runtime& runtime,
                                     uint16_t port,
                                     const std::string& begin,
                                     size_t bytes) {
  tcp::socket socket(runtime.io());
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  auto sender =
      std::make_unique<EndlessSender>(std::move(socket), begin, bytes);
  sender->Send();
  return sender;
}

size_t CountCut(const Senders& senders) {
  size_t cut = 0;
  for (const auto& sender : senders) {
    cut += sender->is_cut ? 1 : 0;
  }
  return cut;
}

// A host of the system sends long frames that never end: each takes up to
// 16 MB, and together they take all memory.
Test(endless_message, frames_of_many_hosts_share_one_budget, .timeout = 60) {
  Runtime runtime;
  PeerServer server(runtime, Answering(0));
  const uint16_t port = server.Start().value();
  Senders senders;
  size_t most = 0;
  for (size_t i = 0; i < kConnections; ++i) {
    senders.push_back(
        Start(runtime, port, FrameOf(kMaxFrameBody), kMaxFrameBody - 1));
  }
  for (int i = 0; i < 300; ++i) {
    Runtime::SleepFor(10ms);
    most = std::max(most, runtime.frame_budget().used_bytes());
  }
  cr_expect(most < kMostHeld, "%zu", most);
  cr_expect(CountCut(senders) > 0);
}

// A length that lies takes memory before any byte of the body has come.
Test(endless_message, a_frame_takes_memory_as_it_comes, .timeout = 60) {
  Runtime runtime;
  PeerServer server(runtime, Answering(0));
  const uint16_t port = server.Start().value();
  const auto sender = Start(runtime, port, FrameOf(kMaxFrameBody), 0);
  Runtime::SleepFor(200ms);
  cr_expect(runtime.frame_budget().used_bytes() < (1 << 20));
}

// A host asks again and again and reads no reply.
Test(endless_message, a_host_that_reads_no_reply_is_cut, .timeout = 60) {
  Runtime runtime;
  PeerServer server(runtime, Answering(1 << 20));
  const uint16_t port = server.Start().value();
  std::string calls;
  for (int i = 0; i < 500; ++i) {
    calls += FrameOf(0);
  }
  const auto sender = Start(runtime, port, calls, 0);
  for (int i = 0; i < 100; ++i) {
    Runtime::SleepFor(10ms);
  }
  boost::system::error_code error;
  boost::asio::write(sender->socket, boost::asio::buffer(FrameOf(0)), error);
  Runtime::SleepFor(50ms);
  boost::asio::write(sender->socket, boost::asio::buffer(FrameOf(0)), error);
  cr_expect(static_cast<bool>(error));
}

// Bodies of 8 MB to the control port on many connections.
Test(endless_message, bodies_of_many_callers_share_one_budget, .timeout = 60) {
  Runtime runtime;
  HttpServer server(runtime,
                    {.endpoint = {"127.0.0.1", 0},
                     .handler = [](const HttpRequest&,
                                   HttpExchange&) { return HttpResponse(); },
                     .max_body_bytes = 8 << 20,
                     .read_timeout = 50s});
  const uint16_t port = server.Start().value();
  Senders senders;
  for (size_t i = 0; i < kConnections; ++i) {
    senders.push_back(
        Start(runtime, port,
              "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n",
              (8 << 20) - 1));
  }
  Runtime::SleepFor(3s);
  size_t refused = 0;
  for (const auto& sender : senders) {
    std::string answer(64, '\0');
    boost::system::error_code error;
    sender->socket.non_blocking(true);
    sender->socket.read_some(boost::asio::buffer(answer), error);
    refused += sender->is_cut || answer.starts_with("HTTP/1.1 503") ? 1 : 0;
  }
  // 32 MB of 8 MB each.
  cr_expect(refused >= kConnections - 5, "%zu", refused);
}

}  // namespace
}  // namespace knapweedroad
