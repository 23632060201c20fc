#include "knapweedroad/registry/outlier_detector.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace knapweedroad {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

ServiceId OneService(const TargetId&) {
  return ServiceId("s");
}

TargetOutcomes Answered(const char* target, uint32_t count, uint64_t each_us) {
  return {.target = TargetId(target),
          .answered = count,
          .timed = count,
          .latency_us = count * each_us};
}

void AddReport(OutlierDetector& detector,
               const std::vector<TargetOutcomes>& report,
               TimePoint now) {
  detector.Add(report, now);
}

// Dozens of hosts each query a target once in two seconds, and it refuses every
// second request. Each host sees one or two refusals, too few to avoid the
// target; the combined reports show it at once.
Test(outlier_detector, target_that_refuses_many_hosts_is_listed) {
  OutlierDetector detector;
  for (int host = 0; host < 8; ++host) {
    AddReport(detector,
              {{.target = TargetId("bad"), .answered = 1, .failed = 1},
               Answered("good", 2, 10'000)},
              kStart);
  }
  cr_assert(detector.Refresh(OneService, kStart));
  cr_assert_eq(detector.outliers().size(), 1);
  cr_expect_eq(detector.outliers()[0].target, TargetId("bad"));
  cr_expect_eq(detector.outliers()[0].failed, 4);
}

// Guards against a target that becomes seven times as slow and delays the
// answers of its shard until every host has detected it alone.
Test(outlier_detector, slow_target_is_listed_with_its_slowdown) {
  OutlierDetector detector;
  AddReport(detector,
            {Answered("slow", 10, 70'000), Answered("a", 10, 10'000),
             Answered("b", 10, 15'000)},
            kStart);
  cr_assert(detector.Refresh(OneService, kStart));
  cr_assert_eq(detector.outliers().size(), 1);
  cr_expect_eq(detector.outliers()[0].target, TargetId("slow"));
  cr_expect_eq(detector.outliers()[0].slowdown, 7);
}

// The hosts of a zone send nearly all requests to the target of their own zone,
// which becomes eight times as slow. Guards against a missed detection because
// the other targets have too few requests to compare it with.
Test(outlier_detector,
     target_with_nearly_all_requests_is_compared_with_earlier_latency) {
  OutlierDetector detector;
  AddReport(detector,
            {Answered("near", 30, 12'000), Answered("far", 2, 12'000)}, kStart);
  detector.Refresh(OneService, kStart);
  cr_assert(detector.outliers().empty());
  const TimePoint later = kStart + seconds(8);
  AddReport(detector,
            {Answered("near", 30, 96'000), Answered("far", 2, 12'000)}, later);
  cr_assert(detector.Refresh(OneService, later));
  cr_assert_eq(detector.outliers().size(), 1);
  cr_expect_eq(detector.outliers()[0].target, TargetId("near"));
}

// All targets of a service have twice the load for a minute. They are compared
// with each other again, and none is an outlier.
Test(outlier_detector, service_under_higher_load_has_no_outliers) {
  OutlierDetector detector;
  for (int second = 0; second < 60; ++second) {
    const TimePoint now = kStart + seconds(second);
    const uint64_t latency_us = second < 20 ? 10'000 : 20'000;
    AddReport(detector,
              {Answered("a", 20, latency_us), Answered("b", 20, latency_us)},
              now);
    detector.Refresh(OneService, now);
  }
  cr_expect(detector.outliers().empty());
}

Test(outlier_detector, too_few_attempts_list_no_target) {
  OutlierDetector detector;
  AddReport(detector,
            {{.target = TargetId("t"), .answered = 1, .failed = 3},
             Answered("u", 5, 70'000),
             Answered("v", 10, 10'000)},
            kStart);
  cr_expect_not(detector.Refresh(OneService, kStart));
}

// A listed target receives few requests. Without new outcomes it must neither
// be unlisted within moments, after which all hosts use it again, nor stay
// listed permanently.
Test(outlier_detector, listed_target_without_new_outcomes_is_kept_for_a_while) {
  OutlierDetector detector;
  AddReport(detector, {{.target = TargetId("bad"), .failed = 10}}, kStart);
  cr_assert(detector.Refresh(OneService, kStart));
  cr_expect_not(detector.Refresh(OneService, kStart + seconds(10)));
  cr_expect_eq(detector.outliers().size(), 1);
  cr_expect(detector.Refresh(OneService, kStart + seconds(24)));
  cr_expect(detector.outliers().empty());
}

Test(outlier_detector, recovered_target_is_unlisted_at_once) {
  OutlierDetector detector;
  AddReport(detector, {{.target = TargetId("t"), .failed = 10}}, kStart);
  cr_assert(detector.Refresh(OneService, kStart));
  const TimePoint later = kStart + seconds(8);
  AddReport(detector, {Answered("t", 20, 10'000)}, later);
  cr_assert(detector.Refresh(OneService, later));
  cr_expect(detector.outliers().empty());
}

// Guards against avoiding half of the targets because of sporadic failures,
// which would overload the other half.
Test(outlier_detector, small_share_of_failures_lists_no_target) {
  OutlierDetector detector;
  AddReport(detector, {{.target = TargetId("t"), .answered = 95, .failed = 5}},
            kStart);
  cr_expect_not(detector.Refresh(OneService, kStart));
}

Test(outlier_detector, removed_targets_are_dropped) {
  OutlierDetector detector;
  AddReport(detector, {{.target = TargetId("t"), .failed = 10}}, kStart);
  cr_assert(detector.Refresh(OneService, kStart));
  cr_expect(
      detector.Refresh([](const TargetId&) { return ServiceId(); }, kStart));
  cr_expect_eq(detector.size(), 0);
  cr_expect_eq(detector.revision(), 2);
}

Test(outlier_detector, list_size_is_bounded) {
  OutlierDetector detector;
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "t" + std::to_string(i);
    AddReport(detector, {{.target = TargetId(name), .failed = 10}}, kStart);
  }
  cr_assert(detector.Refresh(OneService, kStart));
  cr_expect_eq(detector.outliers().size(), 256);
}

// Guards against listing a busy target as slow, and preferring targets that
// refuse half of their requests and answer the rest fast.
Test(outlier_detector, busy_target_is_not_compared_with_refusing_target) {
  OutlierDetector detector;
  AddReport(detector,
            {{.target = TargetId("refuses"),
              .answered = 10,
              .failed = 10,
              .timed = 10,
              .latency_us = 100'000},
             Answered("busy", 20, 40'000)},
            kStart);
  detector.Refresh(OneService, kStart);
  cr_assert_eq(detector.outliers().size(), 1);
  cr_expect_eq(detector.outliers()[0].target, TargetId("refuses"));
}

TargetOutlier SlowOutlier(const char* target, uint8_t slowdown) {
  return {.target = TargetId(target), .slowdown = slowdown};
}

const HostId kRemoteControlHost("control-of-another-zone");

// A target of another zone becomes slow. The hosts of this zone together query
// it once a second, too rarely to detect it, and with dozens of shards nearly
// every scatter waits for one such target until its own zone reports it.
Test(outlier_detector, outliers_of_another_zone_are_listed) {
  OutlierDetector detector;
  AddReport(detector, {Answered("far", 2, 90'000)}, kStart);
  detector.SetRemoteOutliers(kRemoteControlHost, {SlowOutlier("far", 8)},
                             kStart);
  cr_assert(detector.Refresh(OneService, kStart));
  cr_assert_eq(detector.outliers().size(), 1);
  cr_expect_eq(detector.outliers()[0].slowdown, 8);
  // It is not reported as observed by this zone; otherwise zones would keep it
  // listed for each other permanently.
  cr_expect(detector.own_outliers().empty());
}

// A target fails for the callers of one zone only. The hosts of other zones,
// which query it often and get answers, keep using it.
Test(outlier_detector,
     outcomes_of_this_zone_take_precedence_over_remote_lists) {
  OutlierDetector detector;
  AddReport(detector, {Answered("near", 20, 10'000)}, kStart);
  detector.SetRemoteOutliers(kRemoteControlHost, {SlowOutlier("near", 8)},
                             kStart);
  detector.Refresh(OneService, kStart);
  cr_expect(detector.outliers().empty());
}

// Guards against a list that stays in use after its zone is partitioned and can
// no longer report that a target has recovered.
Test(outlier_detector, list_of_an_unreachable_zone_is_dropped) {
  OutlierDetector detector;
  detector.SetRemoteOutliers(kRemoteControlHost, {SlowOutlier("far", 8)},
                             kStart);
  detector.Refresh(OneService, kStart);
  detector.RefreshRemoteOutliers(kRemoteControlHost, kStart + seconds(3));
  detector.Refresh(OneService, kStart + seconds(6));
  cr_expect_eq(detector.outliers().size(), 1);
  detector.Refresh(OneService, kStart + seconds(8));
  cr_expect(detector.outliers().empty());
}

}  // namespace
}  // namespace knapweedroad
