// An IPv4 address and a port.

#ifndef REVIEW_STAND_INS_ENDPOINT_H_
#define REVIEW_STAND_INS_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace review {

struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

}  // namespace review

#endif  // REVIEW_STAND_INS_ENDPOINT_H_
