// Takes attempts and cancellations from other hosts' coordinators for the
// targets that this host holds.

#ifndef KNAPWEEDROAD_HOST_ATTEMPT_SERVICE_H_
#define KNAPWEEDROAD_HOST_ATTEMPT_SERVICE_H_

namespace knapweedroad {

class PeerLinks;
class TargetTable;

// Registers the handlers; both arguments outlive the links' server.
void ServeAttempts(PeerLinks& links, TargetTable& targets);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_HOST_ATTEMPT_SERVICE_H_
