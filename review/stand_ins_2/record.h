// What was sent, answered and run, with the time since the start.

#ifndef REVIEW_STAND_INS_2_RECORD_H_
#define REVIEW_STAND_INS_2_RECORD_H_

#include <string>

namespace review {

void OpenRecord(const std::string& path);
// Milliseconds since OpenRecord().
double Since();
void Note(const std::string& line);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_RECORD_H_
