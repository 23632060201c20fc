#include "knapweedroad/edge/departure_store.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

TargetRecord Gone(int number) {
  return {.id = TargetId("t" + std::to_string(number)),
          .started_ms = 1000,
          .phase = TargetPhase::kGone};
}

void Play(const std::function<void(Runtime&, const std::string&)>& story) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "kwr-XXXXXX").string();
  const std::string folder = mkdtemp(pattern.data());
  Runtime runtime;
  runtime.Spawn([&] {
    story(runtime, folder);
    runtime.Stop();
  });
  runtime.Run();
  std::filesystem::remove_all(folder);
}

// A zone's targets sign off at once, and each waits for a sync of its own.
Test(departure_store, departures_at_once_share_syncs, .timeout = 20) {
  Play([](Runtime& runtime, const std::string& folder) {
    DepartureStore store(runtime, {.folder = folder});
    store.Load();
    store.Save({Gone(0)});
    const uint64_t before = store.stats().syncs;
    int saved = 0;
    for (int number = 1; number <= 1000; ++number) {
      runtime.Spawn([&store, &saved, number] {
        saved += store.Save({Gone(number)}) ? 1 : 0;
      });
    }
    while (saved < 1000) {
      Runtime::SleepFor(1ms);
    }
    cr_expect(store.stats().syncs - before <= 3);
  });
}

// The disk refuses a sync: nothing is acknowledged by this copy until it is
// well again, and then nothing is missing.
Test(departure_store, a_disk_that_refuses_loses_nothing, .timeout = 20) {
  Play([](Runtime& runtime, const std::string& folder) {
    bool is_failing = false;
    {
      DepartureStore store(runtime, {.folder = folder,
                                     .sync_fails = [&] { return is_failing; }});
      store.Load();
      cr_assert(store.Save({Gone(1)}));
      is_failing = true;
      cr_expect(!store.Save({Gone(2)}));
      is_failing = false;
      Runtime::SleepFor(600ms);
      cr_expect(store.Save({Gone(3)}));
    }
    cr_expect(DepartureStore(runtime, {.folder = folder}).Load().size() == 3);
  });
}

// Synced bytes are damaged: the host ends at each start.
Test(departure_store, damaged_files_are_moved_aside, .timeout = 20) {
  Play([](Runtime& runtime, const std::string& folder) {
    {
      DepartureStore store(runtime, {.folder = folder});
      store.Load();
      cr_assert(store.Save({Gone(1)}) && store.Save({Gone(2)}));
    }
    std::fstream file(folder + "/departures-1",
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(60);
    file.put('\x7f');
    file.close();
    DepartureStore store(runtime, {.folder = folder});
    cr_expect(store.Load().size() < 2);
    cr_expect(store.Save({Gone(3)}));
    cr_expect(std::filesystem::exists(folder + "/damaged-departures-1"));
  });
}

}  // namespace
}  // namespace knapweedroad
