// The control address of a stand-in searcher; see StandInSearcher.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_CONTROL_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_CONTROL_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "knapweedroad/config/host_settings.h"
#include "knapweedroad/net/net_error.h"

namespace knapweedroad {

class HttpServer;
class Runtime;
class SearcherCore;
struct StandInFault;

struct SearcherControlOptions {
  Endpoint endpoint;
  // Outlives this.
  const SearcherCore* core = nullptr;
  std::function<void(const StandInFault&)> on_fault;
};

class SearcherControl {
 public:
  SearcherControl(Runtime& runtime, SearcherControlOptions options);
  ~SearcherControl();

  // The port it listens on.
  tl::expected<uint16_t, NetError> Start();

 private:
  std::unique_ptr<HttpServer> server;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_CONTROL_H_
