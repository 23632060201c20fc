// A stand-in searcher that behaves as the users' protocol page says: announces
// itself, runs requests that name it, and says of others that it didn't.

#ifndef REVIEW_STAND_INS_SEARCHER_H_
#define REVIEW_STAND_INS_SEARCHER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/endpoint.h"
#include "review/stand_ins/http_message.h"
#include "review/stand_ins/http_server.h"
#include "review/stand_ins/record.h"

namespace review {

struct SearcherOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  int slots = 8;
  int queue = 16;
  // How long the work of a request takes, by its path.
  Milliseconds (*work)(const std::string& path) = nullptr;
  // The hosts that serve control.
  std::vector<Endpoint> control;
  // Called with the request's id when the searcher begins to work on it.
  std::function<void(const std::string& id)> on_run;
};

class Searcher {
 public:
  Searcher(SearcherOptions options, Record& record);
  ~Searcher();
  Searcher(const Searcher&) = delete;
  Searcher& operator=(const Searcher&) = delete;

 private:
  HttpMessage Answer(const HttpMessage& request);
  HttpMessage Run(const HttpMessage& request);
  // Whether a slot is free now or soon enough.
  bool TakeSlot(TimePoint deadline);
  void LeaveSlot();
  void Announce();
  bool Heartbeat(const Endpoint& host);
  HttpMessage AnswerHealth();

  SearcherOptions options;
  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  int running = 0;
  int waiting = 0;
  int64_t born = 0;
  int64_t sequence = 0;
  std::atomic<bool> is_stopped = false;
  std::unique_ptr<HttpServer> server;
  // Where a host asked for later heartbeats; empty: nowhere.
  Endpoint heartbeat_address;
  std::thread announcer;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_SEARCHER_H_
