// Names and bodies of the platform's interface, read from wire.txt.

#ifndef REVIEW_STAND_INS_2_WIRE_H_
#define REVIEW_STAND_INS_2_WIRE_H_

#include <map>
#include <string>

namespace review {

using Values = std::map<std::string, std::string>;

// Reads the file; ends the process with 2 if it can't be read.
void LoadWire(const std::string& path);

const std::string& Wire(const std::string& key);

// The body under the key with each $name replaced.
std::string Fill(const std::string& key, const Values& values);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_WIRE_H_
