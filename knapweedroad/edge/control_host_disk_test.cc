// A control host that is started while its disk refuses writes.

#include <criterion/criterion.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "knapweedroad/edge/control_host.h"
#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

const Endpoint kControlAddress{"127.0.68.1", 27861};
constexpr uint16_t kPeerPort = 27860;
constexpr uint64_t kNumber = 7;
constexpr size_t kSyncMarkerBytes = 40;

// Bounds the files of this process, so that the disk refuses or takes writes.
void LetDiskTakeWrites(bool takes_writes) {
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = takes_writes ? limit.rlim_max : 0;
  setrlimit(RLIMIT_FSIZE, &limit);
}

std::unique_ptr<ControlHost> MakeHost(Runtime& runtime,
                                      const std::string& folder) {
  return std::make_unique<ControlHost>(
      runtime, ControlHostOptions{
                   .settings = {.name = HostId("a"),
                                .zone = ZoneId("a"),
                                .control_address = kControlAddress,
                                .peer_address = {kControlAddress.ip, kPeerPort},
                                .control_seeds = {kControlAddress},
                                .first_start = true,
                                .data_folder = folder},
                   .on_request = [](const HttpRequest&, const CallOrigin&) {
                     return HttpResponse();
                   }});
}

bool WaitFor(const std::function<bool()>& is_done) {
  const TimePoint give_up = Runtime::Now() + 20s;
  while (Runtime::Now() < give_up) {
    if (is_done()) {
      return true;
    }
    Runtime::SleepFor(20ms);
  }
  return false;
}

// What a loss of power leaves of the folder: the last marker isn't synced.
void CopyWithoutLastMarker(const std::string& from, const std::string& to) {
  std::filesystem::copy(from, to);
  for (const auto& entry : std::filesystem::directory_iterator(to)) {
    if (entry.path().filename().string().starts_with("state-")) {
      std::filesystem::resize_file(entry, entry.file_size() - kSyncMarkerBytes);
    }
  }
}

// Power is lost, and the disk refuses writes for a while at the restart: the
// control host ends for good, and the next lost disk takes the quorum.
Test(control_host_disk,
     a_host_waits_at_its_start_for_a_disk_that_refuses_writes,
     .timeout = 60) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
  const std::string folder = mkdtemp(pattern.data());
  Runtime runtime;
  runtime.Spawn([&] {
    auto host = MakeHost(runtime, folder + "/1");
    cr_assert(host->Start().has_value());
    cr_assert(WaitFor([&] {
      return host->PutRouting(kNumber, "text", Runtime::Now() + 2s);
    }));
    host.reset();
    CopyWithoutLastMarker(folder + "/1", folder + "/2");

    LetDiskTakeWrites(false);
    runtime.Spawn([] {
      Runtime::SleepFor(700ms);
      LetDiskTakeWrites(true);
    });
    host = MakeHost(runtime, folder + "/2");
    const auto started = host->Start();
    cr_assert(started.has_value(), "%s", started.error().c_str());
    cr_expect(WaitFor([&] {
      const auto state = host->ReadAgreed(Runtime::Now() + 900ms);
      return state && state->number == kNumber;
    }));
    host.reset();
    runtime.Stop();
  });
  runtime.Run();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace knapweedroad
