#include "knapweedroad/cli/status_printer.h"

#include <chrono>

#include <criterion/criterion.h>

#include "knapweedroad/host/status_report.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

StatusReport Report() {
  return {.host = HostId("leuven-1"),
          .configuration = {.version = 7,
                            .newest_heard = 8,
                            .source = ConfigurationSource::kPeer,
                            .in_force_for = 300s,
                            .out_of_touch_for = 1500ms},
          .hosts = {{.host = HostId("leuven-1"),
                     .zone = ZoneId("leuven"),
                     .alive = true,
                     .configuration_version = 7,
                     .silent_for = 0s},
                    {.host = HostId("gent-1"),
                     .zone = ZoneId("gent"),
                     .alive = true,
                     .configuration_version = 8,
                     .silent_for = 100ms},
                    {.host = HostId("gent-2"), .zone = ZoneId("gent")}},
          .zones = {{.name = ZoneId("gent"), .out = true},
                    {.name = ZoneId("leuven")}},
          .targets = {{.target = TargetId("c-1-1"),
                       .front = FrontId("citaat"),
                       .zone = ZoneId("leuven"),
                       .state = TargetState::kCold,
                       .holder = HostId("leuven-1"),
                       .in_flight = 1,
                       .limit = 2,
                       .report_age = 400ms},
                      {.target = TargetId("c-1-2"), .zone = ZoneId("leuven")}},
          .replicas = {{.member = {HostId("leuven-1"), 12}, .joining = true}}};
}

bool Shows(const std::string& text, std::string_view line) {
  return text.find(line) != std::string::npos;
}

Test(StatusPrinter, ShowsWhoIsMissingAndHowOldTheVersionIs) {
  const std::string text = StatusText(StatusJson(Report())).value_or("");
  cr_expect(Shows(text,
                  "version 8 is in force on 1 of 3 hosts; missing: leuven-1, "
                  "gent-2\n"
                  "here, on leuven-1: version 7 (peer) for 5 min; control "
                  "replicas last heard: 1.5 s ago\n"),
            "%s", text.c_str());
}

Test(StatusPrinter, ShowsHostsReplicasZonesAndTargets) {
  const std::string text = StatusText(StatusJson(Report())).value_or("");
  for (const char* line :
       {"HOST      ZONE    STATE   VERSION  HEARD\ngent-1 ",
        "leuven-1  leuven  alive   7        0.0 s\n",
        "gent-2    gent    silent  0        never\n",
        "leuven-1  12           no         joining\n",
        "gent    out      0        0      0     0        0\n",
        "leuven  in       2        0      2     0        1\n",
        "leuven  c-1-1   citaat  cold   leuven-1  1/2        0.4 s\n"}) {
    cr_expect(Shows(text, line), "%s in\n%s", line, text.c_str());
  }
}

Test(StatusPrinter, HostThatNeverHeardControlSaysSo) {
  StatusReport report = Report();
  report.configuration.out_of_touch_for.reset();
  const std::string text = StatusText(StatusJson(report)).value_or("");
  cr_expect(Shows(text, "control replicas last heard: never\n"));
}

Test(StatusPrinter, OtherTextsAreNoStatus) {
  cr_expect_not(StatusText("").has_value());
  cr_expect_not(StatusText("[]").has_value());
  cr_expect_not(StatusText(R"({"configuration": 7})").has_value());
}

}  // namespace
}  // namespace knapweedroad
