// Lasting faults of a stand-in searcher: how it misbehaves from now on.

#ifndef KNAPWEEDROAD_TESTING_SEARCHER_FAULTS_H_
#define KNAPWEEDROAD_TESTING_SEARCHER_FAULTS_H_

namespace knapweedroad {

struct SearcherFaults {
  // A share (0 to 1) of requests takes `straggle_factor` times as long.
  double straggle_probability = 0.0;
  double straggle_factor = 20.0;
  // A share is shed although there is room.
  double shed_probability = 0.0;
  // A share runs and is answered by a plain 500 without an outcome.
  double error_probability = 0.0;
  // A share is answered with another attempt's id and another query's hits.
  double crossed_probability = 0.0;
  // A share is answered with fewer bytes than the head promises.
  double truncated_probability = 0.0;
  // Reports say "ready" whatever the state.
  bool reports_ready = false;
  // Answers don't tell the state; only reports do.
  bool answers_hide_state = false;
  // Reports say that nothing is in flight.
  bool reports_idle = false;
};

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_TESTING_SEARCHER_FAULTS_H_
