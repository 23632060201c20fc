#include <string>

#include <gflags/gflags.h>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/cli/command.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_host_settings.h"
#include "knapweedroad/host/host.h"
#include "knapweedroad/net/runtime.h"

DEFINE_string(settings, "", "the host's settings file; required");
DEFINE_int32(drain_ms,
             2000,
             "how long a stopping host still takes new requests, in ms");

namespace knapweedroad {
namespace {

// The settings of the file, with the initial configuration's text.
std::optional<HostOptions> LoadOptions() {
  const auto text = ReadFileOrComplain(FLAGS_settings);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseHostSettings(*text, FLAGS_settings);
  if (!settings) {
    for (const ConfigError& error : settings.error()) {
      Complain(error.ToString());
    }
    return std::nullopt;
  }
  HostOptions options{.settings = std::move(*settings),
                      .drain_time = std::chrono::milliseconds(FLAGS_drain_ms)};
  if (options.settings.initial_configuration) {
    auto initial = ReadFileOrComplain(*options.settings.initial_configuration);
    if (!initial) {
      return std::nullopt;
    }
    options.initial_configuration = std::move(*initial);
  }
  return options;
}

int RunServe(std::span<const std::string> words) {
  if (!words.empty() || FLAGS_settings.empty()) {
    return UsageError(kServeCommand, "it takes --settings FILE and no words");
  }
  auto options = LoadOptions();
  if (!options) {
    return kExitUsage;
  }
  const std::string name = options->settings.name.str();
  Runtime runtime;
  Host host(runtime, std::move(*options));
  if (const auto started = host.Start(); !started) {
    Complain(started.error());
    return kExitFailed;
  }
  LogLine("host_started").Add("host", name).Info();
  runtime.OnShutdownSignal([&] {
    host.Shutdown();
    runtime.Stop();
  });
  runtime.Run();
  LogLine("host_stopped").Add("host", name).Info();
  EndServer(kExitDone);
}

}  // namespace

const Command kServeCommand{
    .name = "serve",
    .summary = "runs one host of the system",
    .usage =
        "serve --settings FILE\n\nRuns until SIGTERM or SIGINT, then "
        "stops without cutting off a request.\n",
    .flags_file = "serve_command",
    .run = RunServe};

}  // namespace knapweedroad
