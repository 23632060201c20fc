#include "knapweedroad/edge/directory_cache.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "knapweedroad/net/runtime.h"

namespace knapweedroad {
namespace {

std::string MakeFolder() {
  std::string folder = "/tmp/kwr_directory_XXXXXX";
  return mkdtemp(folder.data());
}

DirectorySnapshot Known() {
  return {.targets = {{.id = TargetId("t"),
                       .service = ServiceId("s"),
                       .zone = ZoneId("z"),
                       .address = {"10.0.0.1", 80},
                       .sequence = 7}},
          .entry_hosts = {{.host = HostId("entry-1"), .zone = ZoneId("a")},
                          {.host = HostId("entry-2")}}};
}

// All hosts lose their power. For a second after they are back no request is
// served although every target runs: nobody knows of them yet.
Test(directory_cache, what_was_known_is_known_after_a_restart) {
  const std::string folder = MakeFolder();
  Runtime runtime;
  DirectoryCache cache(runtime, folder);
  cr_expect(cache.Load() == DirectorySnapshot());
  cr_expect(cache.Save(Known()));
  cr_expect(DirectoryCache(runtime, folder).Load() == Known());
  std::filesystem::remove_all(folder);
}

// The power went in the middle of a write.
Test(directory_cache, a_damaged_file_is_left_aside) {
  const std::string folder = MakeFolder();
  Runtime runtime;
  DirectoryCache cache(runtime, folder);
  cr_assert(cache.Save(Known()));
  std::filesystem::resize_file(folder + "/directory", 20);
  cr_expect(cache.Load() == DirectorySnapshot());
  std::filesystem::remove_all(folder);
}

Test(directory_cache, a_disk_that_refuses_costs_nothing_but_the_help) {
  Runtime runtime;
  DirectoryCache cache(runtime, "/nowhere/at/all");
  cr_expect(!cache.Save(Known()));
}

}  // namespace
}  // namespace knapweedroad
