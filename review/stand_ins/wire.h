// What the stand-ins say in the words of the platform's protocol. The words
// stand in wire.txt: the project keeps them out of C++ files outside platform/.

#ifndef REVIEW_STAND_INS_WIRE_H_
#define REVIEW_STAND_INS_WIRE_H_

#include <map>
#include <string>

namespace review {

// The text of that name, with `values` in place of their names between @ signs.
// Ends the program with 2 if there is no such text; run it from the root of the
// repository.
std::string WireText(const std::string& name,
                     const std::map<std::string, std::string>& values = {});

}  // namespace review

#endif  // REVIEW_STAND_INS_WIRE_H_
