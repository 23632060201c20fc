#include "knapweedroad/edge/target_message.h"

#include <criterion/criterion.h>

#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"

namespace knapweedroad {
namespace {

using namespace std::chrono_literals;

Test(target_message, names_the_target_and_the_time_left) {
  const CallerRequest request{.method = "GET",
                              .path = "/a/b",
                              .host = "a.example",
                              .id = "id-1",
                              .header = "Accept: */*\r\n"};
  cr_expect(MakeTargetMessage(HeaderNames(), request, TargetId("t-1"),
                              1499ms + 900us) ==
            "GET /a/b HTTP/1.1\r\nHost: a.example\r\nAccept: */*\r\n"
            "Knapweed-Request-Id: id-1\r\nKnapweed-Deadline-Ms: 1499\r\n"
            "Knapweed-Target: t-1\r\n\r\n");
}

// Guards against a target that takes "0" for no deadline and works on for ever.
Test(target_message, the_time_left_is_never_zero) {
  const std::string bytes =
      MakeTargetMessage(HeaderNames(), {.method = "GET"}, TargetId("t"), -5ms);
  cr_expect(bytes.find("Knapweed-Deadline-Ms: 1\r\n") != std::string::npos);
}

// Guards against a target that waits for a body whose length isn't told.
Test(target_message, a_method_with_a_body_has_a_length) {
  const std::string bytes =
      MakeTargetMessage(HeaderNames(), {.method = "POST"}, TargetId("t"), 1s);
  cr_expect(bytes.find("Content-Length: 0\r\n") != std::string::npos);
}

}  // namespace
}  // namespace knapweedroad
