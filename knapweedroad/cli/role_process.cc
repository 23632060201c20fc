#include "knapweedroad/cli/role_process.h"

#include <malloc.h>

#include <optional>

#include <gflags/gflags.h>

#include "knapweedroad/base/event_log.h"
#include "knapweedroad/base/log_line.h"
#include "knapweedroad/cli/command.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_role_settings.h"
#include "knapweedroad/net/runtime.h"

DECLARE_string(settings);

namespace knapweedroad {
namespace {

// Seeds may be exchanged in the file without a signal.
constexpr Duration kRereadInterval = std::chrono::seconds(2);

std::optional<RoleSettings> LoadSettings() {
  const auto text = ReadFileOrComplain(FLAGS_settings);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseRoleSettings(*text, FLAGS_settings);
  if (!settings) {
    for (const ConfigError& error : settings.error()) {
      Complain(error.ToString());
    }
    return std::nullopt;
  }
  return *std::move(settings);
}

// A file that can't be read leaves what is in force.
void Reread(RoleSettings& settings, const RoleHost& host) {
  const auto read = LoadSettings();
  if (!read) {
    LogLine("settings_unreadable").Add("file", FLAGS_settings).Error();
    return;
  }
  if (*read != settings) {
    settings = *read;
    host.reload(settings);
  }
}

// Large blocks go back to the system when they are freed, and small ones don't
// start an arena a thread: the resident size of a host is paid for.
void SetUpMemory() {
  constexpr int kMapThreshold = 64 << 10;
  constexpr int kTrimThreshold = 64 << 10;
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

}  // namespace

int RunRole(const Command& command,
            std::span<const std::string> words,
            const MakeRoleHost& make) {
  if (!words.empty() || FLAGS_settings.empty()) {
    return UsageError(command, "it takes --settings FILE and no words");
  }
  SetUpMemory();
  auto settings = LoadSettings();
  if (!settings) {
    return kExitUsage;
  }
  EventLog log({});
  LogLine::SetSink(
      [&log](std::string_view line) { log.Write(line, Runtime::Now()); });
  Runtime runtime;
  RoleHost host =
      make(runtime, *settings, [&log] { log.Flush(Runtime::Now()); });
  if (const auto started = host.start(); !started) {
    Complain(started.error());
    return kExitFailed;
  }
  LogLine("started")
      .Add("role", command.name)
      .Add("host", settings->name)
      .Add("zone", settings->zone)
      .Add("seeds", settings->control_seeds.size())
      .Add("first_start", settings->first_start)
      .Info();
  runtime.OnReloadSignal([&] { Reread(*settings, host); });
  runtime.Spawn([&] {
    while (true) {
      Runtime::SleepFor(kRereadInterval);
      Reread(*settings, host);
    }
  });
  runtime.OnShutdownSignal([&] {
    host.shutdown();
    runtime.Stop();
  });
  runtime.Run();
  LogLine("stopped").Add("role", command.name).Info();
  log.Flush(Runtime::Now());
  EndServer(kExitDone);
}

}  // namespace knapweedroad
