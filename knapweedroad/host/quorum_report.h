// Describes for a log line which control replicas answered, and why what they
// hold isn't known to be chosen.
//
//   const ControlPeek peek = service.Peek(deadline);
//   if (!peek.chosen) {
//     LogLine line("read_failed");
//     AddQuorumReport(line, peek);
//     line.Warning();
//   }

#ifndef KNAPWEEDROAD_HOST_QUORUM_REPORT_H_
#define KNAPWEEDROAD_HOST_QUORUM_REPORT_H_

#include <cstddef>
#include <string_view>

namespace knapweedroad {

class LogLine;
struct ControlPeek;

// One of "chosen", "no_answer" (no replica answered), "no_membership" (replicas
// answered, and none knows of members), "no_quorum" (too few members of the
// newest value answered) and "undecided" (enough answered, and too few of them
// hold the newest value).
std::string_view QuorumState(const ControlPeek& peek);

// Adds the pairs state, version, epoch, phase, members, answering, missing and
// holding. Members are written as HOST#INCARNATION; all refer to the newest
// value that was seen.
void AddQuorumReport(LogLine& line, const ControlPeek& peek);

// How many members of the newest value that was seen answered.
size_t CountAnsweringMembers(const ControlPeek& peek);

// Leaves out all that a report doesn't tell: the values may be megabytes.
ControlPeek KeepForReport(ControlPeek peek);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_QUORUM_REPORT_H_
