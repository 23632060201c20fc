#include "knapweedroad/testing/stand_in_searcher.h"

#include <criterion/criterion.h>

#include "knapweedroad/net/http_client.h"
#include "knapweedroad/net/http_server.h"
#include "knapweedroad/net/runtime.h"
#include "knapweedroad/testing/searcher_counts_json.h"
#include "knapweedroad/testing/stand_in_fault.h"

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StandInOptions Options() {
  return {.core = {.target = TargetId("redactie-1-1"),
                   .front = FrontId("redactie"),
                   .service = ServiceId("redactie-1"),
                   .slots = 2,
                   .connections = 2,
                   .starts_cold = false,
                   .service_time_median = milliseconds(1)},
          .endpoint = {.ip = "127.0.0.1"}};
}

HttpRequest Search() {
  HttpRequest request{.method = "POST", .path = "/v1/search"};
  request.headers["Knapweed-Attempt-Id"] = "a-1";
  request.headers["Knapweed-Snapshot"] = "1.1";
  request.body = R"({"query": "storm"})";
  return request;
}

HttpClientOptions ClientOf(uint16_t port) {
  return {.endpoint = {.ip = "127.0.0.1", .port = port}};
}

TimePoint Late() {
  return Runtime::Now() + seconds(60);
}

Test(StandInSearcher, AnswersAndEchoesTheAttempt) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  const auto ports = searcher.Start();
  HttpClient client(runtime, ClientOf(ports->work));
  const auto answer = client.Send(Search(), Late());
  cr_assert(answer && answer->status == 200);
  cr_assert(FindHeader(answer->headers, "Knapweed-Attempt-Id") == "a-1");
  cr_assert(FindHeader(answer->headers, "Knapweed-Target-State") == "ready");
}

Test(StandInSearcher, ClosesConnectionsOverItsCap) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  const auto ports = searcher.Start();
  HttpClient first(runtime, ClientOf(ports->work));
  HttpClient second(runtime, ClientOf(ports->work));
  HttpClient third(runtime, ClientOf(ports->work));
  cr_assert(first.Send(Search(), Late()).has_value());
  cr_assert(second.Send(Search(), Late()).has_value());
  cr_assert(!third.Send(Search(), Late()).has_value());
  cr_assert_eq(searcher.core().counts().peak_connections, 3);
}

Test(StandInSearcher, OpenConnectionsGoSilentAndNewOnesWork) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  const auto ports = searcher.Start();
  HttpClient client(runtime, ClientOf(ports->work));
  cr_assert(client.Send(Search(), Late()).has_value());
  searcher.Apply({.kind = StandInFaultKind::kGoSilent});
  const auto silent = client.Send(Search(), Runtime::Now() + milliseconds(50));
  cr_assert(!silent && silent.error().kind == NetErrorKind::kTimeout);
  cr_assert_eq(searcher.core().counts().received, 1);
  cr_assert(
      client.Send(Search(), Late(), {.fresh_connection = true}).has_value());
}

Test(StandInSearcher, AChangeOfVersionWithoutANumberIsTheNextOne) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  searcher.Apply({.kind = StandInFaultKind::kChangeVersion});
  searcher.Apply({.kind = StandInFaultKind::kChangeVersion});
  cr_assert_eq(searcher.core().holds().back().ToString(), "1.3");
  cr_assert_eq(searcher.core().holds().size(), 2);
}

Test(StandInSearcher, ATruncatedAnswerIsNoAnswer) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  const auto ports = searcher.Start();
  HttpClient client(runtime, ClientOf(ports->work));
  searcher.Apply({.faults = {.truncated_probability = 1.0}});
  const auto answer = client.Send(Search(), Late());
  cr_assert(!answer && answer.error().kind == NetErrorKind::kClosed);
}

Test(StandInSearcher, ARestartResetsConnectionsAndListensAgain) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  const auto ports = searcher.Start();
  HttpClient client(runtime, ClientOf(ports->work));
  cr_assert(client.Send(Search(), Late()).has_value());
  searcher.Apply({.kind = StandInFaultKind::kRestart, .down = milliseconds(1)});
  while (!client.Send(Search(), Late())) {
  }
  cr_assert_eq(searcher.core().options().incarnation, 2);
}

Test(StandInSearcher, AnnouncesItselfToAHostThatAnswers) {
  Runtime runtime;
  StandInOptions options = Options();
  bool announced = false;
  HttpServer host(runtime,
                  {.endpoint = {.ip = "127.0.0.1"},
                   .handler = [&](const HttpRequest& request, HttpExchange&) {
                     announced = request.path == "/v1/targets/report";
                     runtime.Stop();
                     return HttpResponse{.body = "{}"};
                   }});
  constexpr uint16_t kNobodyListens = 1;
  options.host_addresses = {{.ip = "127.0.0.1", .port = kNobodyListens},
                            {.ip = "127.0.0.1", .port = host.Start().value()}};
  StandInSearcher searcher(runtime, options);
  cr_assert(searcher.Start().has_value());
  runtime.Run();
  cr_assert(announced);
}

Test(StandInSearcher, TakesFaultsAndTellsCountsOnItsControlAddress) {
  Runtime runtime;
  StandInSearcher searcher(runtime, Options());
  const auto ports = searcher.Start();
  HttpClient control(runtime, ClientOf(ports->control));
  const HttpRequest fault{.method = "POST",
                          .path = "/v1/stand-in/fault",
                          .body = R"({"fault": "fall_cold"})"};
  cr_assert_eq(control.Send(fault, Late())->status, 200);
  cr_assert(searcher.core().state() == TargetState::kCold);
  const auto counts =
      control.Send({.path = "/v1/stand-in/counts"}, Late()).value();
  cr_assert_eq(ReadCounts(counts.body)->counts.falls_cold, 1);
}

}  // namespace
}  // namespace knapweedroad
