#include "knapweedroad/routing/request_fingerprint.h"

#include <criterion/criterion.h>

namespace knapweedroad {
namespace {

Test(request_fingerprint, equal_content_has_the_same_fingerprint_on_all_hosts) {
  const RequestContent content{.method = "GET", .host = "h", .path = "/q?x=1"};
  cr_expect(MakeRequestFingerprint(content) == MakeRequestFingerprint(content));
  cr_expect(ToString(MakeRequestFingerprint(content)).size() == 16);
  cr_expect(ToString(RequestFingerprint{255}) == "00000000000000ff");
}

// Guards against a sound request that is taken for another one because the
// parts of both read the same when joined.
Test(request_fingerprint, each_part_counts_by_itself) {
  const auto base = MakeRequestFingerprint(
      {.method = "POST", .host = "h", .path = "/a", .body = "b"});
  cr_expect(base != MakeRequestFingerprint(
                        {.method = "POST", .host = "h", .path = "/ab"}));
  cr_expect(base !=
            MakeRequestFingerprint(
                {.method = "POST", .host = "h/", .path = "a", .body = "b"}));
  cr_expect(base !=
            MakeRequestFingerprint(
                {.method = "PUT", .host = "h", .path = "/a", .body = "b"}));
}

}  // namespace
}  // namespace knapweedroad
