#include <filesystem>
#include <iterator>
#include <vector>

#include <criterion/criterion.h>

#include "knapweedroad/net/peer_client.h"
#include "knapweedroad/net/peer_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/net/udp_socket.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

TimePoint Late() {
  return Runtime::Now() + 60s;
}

PeerServerOptions Echo() {
  return {.endpoint = {.ip = "127.0.0.1"},
          .handler = [](PeerMessageType, std::string body)
              -> tl::expected<std::string, std::string> {
            if (body == "refuse") {
              return tl::unexpected(std::string("no"));
            }
            if (body == "slow") {
              Runtime::SleepFor(50ms);
            }
            return body;
          }};
}

Test(Peer, EachCallGetsItsOwnReplyInAnyOrder) {
  Runtime runtime;
  PeerServer server(runtime, Echo());
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  std::vector<std::string> order;
  for (const char* body : {"slow", "fast"}) {
    runtime.Spawn([&, body] {
      const auto reply = client.Call(PeerMessageType::kAttempt, body, Late());
      order.push_back(reply.value_or("?"));
      if (order.size() == 2) {
        runtime.Stop();
      }
    });
  }
  runtime.Run();
  cr_assert((order == std::vector<std::string>{"fast", "slow"}));
}

Test(Peer, ARefusalIsAnErrorAndTheConnectionGoesOn) {
  Runtime runtime;
  PeerServer server(runtime, Echo());
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  cr_assert(!client.Call(PeerMessageType::kAttempt, "refuse", Late()));
  const auto next = client.Call(PeerMessageType::kAttempt, "x", Late());
  cr_assert(next && *next == "x");
}

Test(Peer, AHostThatIsNotThereNeverHadTheCall) {
  Runtime runtime;
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = 1}});
  const auto reply = client.Call(PeerMessageType::kAttempt, "x", Late());
  cr_assert(!reply && !reply.error().written);
}

// Every query of a host fails for minutes: the one connection to a peer has
// gone silent, its calls time out one after the other, and each new call goes
// over the same connection. A call that waits without a word opens a new one.
Test(Peer, ASilentConnectionIsReplacedByANewOne) {
  Runtime runtime;
  PeerServerOptions options = Echo();
  int calls = 0;
  options.handler =
      [&](PeerMessageType,
          std::string body) -> tl::expected<std::string, std::string> {
    if (++calls == 1) {
      Runtime::SleepFor(200ms);
    }
    return body;
  };
  PeerServer server(runtime, options);
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port},
                              .silence = 10ms});
  runtime.Spawn([&] {
    static_cast<void>(client.Call(PeerMessageType::kAttempt, "1", Late()));
    runtime.Stop();
  });
  Runtime::SleepFor(30ms);
  const auto second = client.Call(PeerMessageType::kAttempt, "2", Late());
  cr_assert(second && *second == "2");
  cr_assert(client.silent_connections() == 1);
  runtime.Run();
}

// A host follows another one call after the other. A cut between them ends,
// but for seconds it hears nothing: each call waits on the connection of
// before the cut, whose packets are resent ever more rarely, and is alone on
// it whenever it is looked at. A call that timed out must open a new one.
Test(Peer, CallsThatFollowOneAnotherLeaveASilentConnection) {
  Runtime runtime;
  PeerServerOptions options = Echo();
  int calls = 0;
  options.handler =
      [&](PeerMessageType,
          std::string body) -> tl::expected<std::string, std::string> {
    if (++calls == 1) {
      Runtime::SleepFor(200ms);
    }
    return body;
  };
  PeerServer server(runtime, options);
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port},
                              .silence = 10ms});
  const auto first =
      client.Call(PeerMessageType::kAttempt, "1", Runtime::Now() + 30ms);
  cr_assert(!first);
  const auto second = client.Call(PeerMessageType::kAttempt, "2", Late());
  cr_assert(second && *second == "2");
  cr_assert(client.silent_connections() == 1);
  // The first call's handler still sleeps and writes to a closed connection.
  Runtime::SleepFor(300ms);
}

// A replica is asked every 100 ms, with deadlines shorter than the silence that
// gives a connection up: its host lost power, was back, and stayed unheard
// until the kernel resent its packets.
Test(Peer, CallsShorterThanTheSilenceLeaveASilentConnection) {
  Runtime runtime;
  PeerServerOptions options = Echo();
  options.handler =
      [](PeerMessageType,
         std::string body) -> tl::expected<std::string, std::string> {
    Runtime::SleepFor(1s);
    return body;
  };
  PeerServer server(runtime, options);
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port},
                              .silence = 150ms});
  for (int i = 0; i < 10; ++i) {
    cr_assert(
        !client.Call(PeerMessageType::kAttempt, "x", Runtime::Now() + 30ms));
  }
  cr_expect(client.silent_connections() > 0);
  // The handlers still sleep and write to closed connections.
  Runtime::SleepFor(1200ms);
}

size_t CountOpenFiles() {
  const std::filesystem::directory_iterator files("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(files), end(files)));
}

// Guards against connections that stay open, unused, for as long as the process
// runs: two calls to a host at the same time each opened one.
Test(Peer, CallsThatBeginTogetherShareOneConnection) {
  Runtime runtime;
  PeerServer server(runtime, Echo());
  const uint16_t port = server.Start().value();
  PeerClient client(runtime, {.endpoint = {.ip = "127.0.0.1", .port = port}});
  const size_t before = CountOpenFiles();
  constexpr int kCalls = 5;
  int answered = 0;
  for (int i = 0; i < kCalls; ++i) {
    runtime.Spawn([&] {
      const auto reply = client.Call(PeerMessageType::kAttempt, "x", Late());
      answered += reply.has_value() ? 1 : 0;
    });
  }
  while (answered < kCalls) {
    Runtime::SleepFor(1ms);
  }
  // The server sees the others end.
  const TimePoint give_up = Late();
  while (CountOpenFiles() > before + 2 && Runtime::Now() < give_up) {
    Runtime::SleepFor(1ms);
  }
  cr_expect(CountOpenFiles() == before + 2);
}

Test(Udp, ADatagramArrivesWhole) {
  Runtime runtime;
  std::string heard;
  UdpSocket socket(runtime, {.endpoint = {.ip = "127.0.0.1", .port = 39117},
                             .on_datagram = [&](std::string_view bytes) {
                               heard = std::string(bytes);
                               runtime.Stop();
                             }});
  cr_assert(socket.Start().has_value());
  cr_assert(socket.Send({.ip = "127.0.0.1", .port = 39117}, "beat"));
  runtime.Run();
  cr_assert(heard == "beat");
}

}  // namespace
}  // namespace knapweedroad
