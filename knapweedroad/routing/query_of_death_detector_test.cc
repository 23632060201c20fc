#include "knapweedroad/routing/query_of_death_detector.h"

#include <criterion/criterion.h>

#include <string>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
constexpr RequestFingerprint kDeadly{7};
const ServiceId kService("s");

// A host with a clock; targets are named by their service and a number.
class Fixture {
 public:
  static AttemptTarget Of(const std::string& service, int number) {
    return {ServiceId(service), TargetId(service + std::to_string(number))};
  }

  void Lose(const AttemptTarget& attempt, TimePoint sent) {
    this->detector.OnEnded(kDeadly, attempt, AttemptFate::kLost, sent,
                           this->now);
  }
  // Sends an attempt now and loses it a moment later.
  void SendAndLose(const AttemptTarget& attempt) {
    const TimePoint sent = this->now;
    this->detector.OnSent(kDeadly, attempt);
    this->now += milliseconds(5);
    this->Lose(attempt, sent);
  }
  void Answer(const AttemptTarget& attempt) {
    this->now += milliseconds(5);
    this->detector.OnEnded(kDeadly, attempt, AttemptFate::kAnswered, kStart,
                           this->now);
  }
  SendPermission Check(const ServiceId& service = kService) const {
    return this->detector.Check(kDeadly, service);
  }

  QueryOfDeathDetector detector{{}};
  TimePoint now = kStart;
};

// Guards against a request that is sent to one target after another although
// each ends under it.
Test(query_of_death_detector, three_targets_lost_in_turn_condemn_a_request) {
  Fixture fixture;
  cr_expect(fixture.detector.is_empty());
  fixture.SendAndLose(Fixture::Of("s", 1));
  cr_expect(fixture.Check() == SendPermission::kAllowed);
  fixture.SendAndLose(Fixture::Of("s", 2));
  cr_expect(fixture.Check() == SendPermission::kAllowed);
  fixture.SendAndLose(Fixture::Of("s", 3));
  cr_expect(fixture.Check() == SendPermission::kRefused);
  cr_expect(fixture.Check(ServiceId("t")) == SendPermission::kRefused);
  cr_expect(fixture.detector.condemned_count() == 1);
}

// Guards against a sound scatter that is condemned because all of its targets
// ended at once with their failure domain.
Test(query_of_death_detector, targets_lost_at_once_leave_one_attempt) {
  Fixture fixture;
  fixture.now += milliseconds(5);
  for (int i = 0; i < 10; ++i) {
    fixture.Lose(Fixture::Of("s" + std::to_string(i), 1), kStart);
  }
  cr_expect(fixture.Check(ServiceId("s0")) == SendPermission::kAllowed);
  fixture.detector.OnSent(kDeadly, Fixture::Of("s0", 2));
  cr_expect(fixture.Check(ServiceId("s1")) == SendPermission::kHeld);
  fixture.Answer(Fixture::Of("s0", 2));
  for (int i = 0; i < 10; ++i) {
    cr_expect(fixture.Check(ServiceId("s" + std::to_string(i))) ==
              SendPermission::kAllowed);
  }
  cr_expect(!fixture.detector.MakeReport(kDeadly) ||
            fixture.detector.condemned_count() == 0);
}

Test(query_of_death_detector, one_more_loss_after_many_at_once_condemns) {
  Fixture fixture;
  fixture.now += milliseconds(5);
  for (int i = 0; i < 10; ++i) {
    fixture.Lose(Fixture::Of("s" + std::to_string(i), 1), kStart);
  }
  fixture.SendAndLose(Fixture::Of("s0", 2));
  cr_expect(fixture.Check(ServiceId("s0")) == SendPermission::kRefused);
  cr_expect(fixture.Check(ServiceId("s9")) == SendPermission::kRefused);
}

// Guards against retries of one request that are out at once to more targets
// than it may lose.
Test(query_of_death_detector, attempts_in_flight_count_as_possible_losses) {
  Fixture fixture;
  fixture.SendAndLose(Fixture::Of("s", 1));
  cr_expect(fixture.detector.Check(kDeadly, kService, /*unsent=*/1) ==
            SendPermission::kAllowed);
  cr_expect(fixture.detector.Check(kDeadly, kService, /*unsent=*/2) ==
            SendPermission::kHeld);
  fixture.detector.OnSent(kDeadly, Fixture::Of("s", 2));
  fixture.detector.OnSent(kDeadly, Fixture::Of("s", 3));
  cr_expect(fixture.Check() == SendPermission::kHeld);
  // The caller has left: nothing is known of this one.
  fixture.detector.OnEnded(kDeadly, Fixture::Of("s", 3), AttemptFate::kUnknown,
                           fixture.now, fixture.now);
  cr_expect(fixture.Check() == SendPermission::kAllowed);
}

// Guards against a shard that ends all its targets under a request which other
// shards answer.
Test(query_of_death_detector, a_shard_is_condemned_by_itself) {
  Fixture fixture;
  fixture.Answer(Fixture::Of("t", 1));
  fixture.SendAndLose(Fixture::Of("s", 1));
  fixture.Answer(Fixture::Of("t", 1));
  fixture.SendAndLose(Fixture::Of("s", 2));
  fixture.SendAndLose(Fixture::Of("s", 3));
  cr_expect(fixture.Check() == SendPermission::kRefused);
  cr_expect(fixture.Check(ServiceId("t")) == SendPermission::kAllowed);
  cr_expect(fixture.Check(ServiceId("u")) == SendPermission::kAllowed);
}

// Guards against a sound request that many callers send, and that is condemned
// because now and then one of its targets crashes.
Test(query_of_death_detector, an_answer_between_losses_begins_anew) {
  Fixture fixture;
  for (int i = 1; i <= 5; ++i) {
    fixture.SendAndLose(Fixture::Of("s", i));
    cr_expect(fixture.Check() == SendPermission::kAllowed);
    fixture.Answer(Fixture::Of("s", 9));
    fixture.now += seconds(1);
  }
  fixture.SendAndLose(Fixture::Of("s", 6));
  fixture.SendAndLose(Fixture::Of("s", 7));
  cr_expect(fixture.Check() == SendPermission::kAllowed);
  fixture.SendAndLose(Fixture::Of("s", 8));
  cr_expect(fixture.Check() == SendPermission::kRefused);
}

// Guards against a request whose caller repeats it at another host, which knows
// nothing of the losses before.
Test(query_of_death_detector, losses_at_other_hosts_count) {
  Fixture first;
  first.SendAndLose(Fixture::Of("s", 1));
  first.SendAndLose(Fixture::Of("s", 2));
  const auto report = first.detector.MakeReport(kDeadly);
  cr_assert(report.has_value());

  Fixture second;
  cr_expect(second.detector.Merge(*report, second.now));
  cr_expect(!second.detector.Merge(*report, second.now));
  cr_expect(second.detector.Check(kDeadly, kService, /*unsent=*/1) ==
            SendPermission::kHeld);
  second.SendAndLose(Fixture::Of("s", 3));
  cr_expect(second.Check() == SendPermission::kRefused);
}

// Guards against a sound scatter that other hosts refuse although one of its
// shards has answered at the host that tells them of its losses.
Test(query_of_death_detector, an_answer_at_another_host_counts) {
  Fixture first;
  first.Lose(Fixture::Of("a", 1), kStart);
  first.Answer(Fixture::Of("t", 1));
  first.SendAndLose(Fixture::Of("b", 1));
  first.SendAndLose(Fixture::Of("c", 1));
  cr_expect(first.Check(ServiceId("b")) == SendPermission::kAllowed);
  Fixture second;
  second.detector.Merge(first.detector.MakeReport(kDeadly).value(), second.now);
  for (const char* service : {"a", "b", "c", "d"}) {
    cr_expect(second.Check(ServiceId(service)) == SendPermission::kAllowed);
  }
}

// Guards against a sound request that is refused because connections to its
// targets were reset, again and again, while the targets run on.
Test(query_of_death_detector, targets_that_run_on_do_not_count) {
  Fixture fixture;
  for (int i = 1; i <= 3; ++i) {
    fixture.SendAndLose(Fixture::Of("s", i));
  }
  cr_expect(fixture.Check() == SendPermission::kRefused);
  fixture.now += milliseconds(100);
  fixture.detector.OnTargetAlive(TargetId("s2"), fixture.now);
  cr_expect(fixture.Check() == SendPermission::kAllowed);
  cr_expect(fixture.detector.LossCount(kDeadly) == 2);
}

// Guards against a query of death that is allowed again as soon as the targets
// that it ended have been started anew.
Test(query_of_death_detector, targets_that_are_back_later_still_count) {
  Fixture fixture;
  for (int i = 1; i <= 3; ++i) {
    fixture.SendAndLose(Fixture::Of("s", i));
  }
  fixture.now += seconds(2);
  for (int i = 1; i <= 3; ++i) {
    fixture.detector.OnTargetAlive(TargetId("s" + std::to_string(i)),
                                   fixture.now);
  }
  cr_expect(fixture.Check() == SendPermission::kRefused);
}

Test(query_of_death_detector, a_request_is_forgotten_after_a_while) {
  Fixture fixture;
  for (int i = 1; i <= 3; ++i) {
    fixture.SendAndLose(Fixture::Of("s", i));
  }
  fixture.detector.Expire(fixture.now + seconds(59));
  cr_expect(fixture.Check() == SendPermission::kRefused);
  fixture.detector.Expire(fixture.now + seconds(61));
  cr_expect(fixture.Check() == SendPermission::kAllowed);
}

// Guards against memory that grows with the requests of an outage.
Test(query_of_death_detector, the_number_of_requests_is_bounded) {
  QueryOfDeathDetector detector({.max_requests = 10});
  for (uint64_t i = 1; i <= 100; ++i) {
    detector.OnEnded(RequestFingerprint{i}, Fixture::Of("s", 1),
                     AttemptFate::kLost, kStart, kStart);
  }
  cr_expect(detector.suspect_count() == 10);
}

}  // namespace
}  // namespace knapweedroad
