#include "knapweedroad/edge/account_header.h"

#include <criterion/criterion.h>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/routing/route_config.h"

namespace knapweedroad {
namespace {

const HeaderNames kNames;

CallerRequest Request() {
  return {.header = "Accept: */*\r\n",
          .account_header =
              "authorization: Bearer k\r\nknapweed-account: forged\r\n",
          .authorization = {"Bearer k"}};
}

// Guards against keys that reach targets, and against callers that choose the
// account under which a target serves them.
Test(account_header, lines_of_the_caller_are_replaced_by_the_account) {
  const RouteConfig route{.priority = 4};
  const ClientAccount account{.name = AccountId("acme")};
  CallerRequest request = Request();
  SetAccount(request, {.header_names = kNames,
                       .route = route,
                       .has_accounts = true,
                       .account = &account});
  cr_expect(request.header == "Accept: */*\r\nKnapweed-Account: acme\r\n");
  cr_expect(request.account == account.name && request.priority == 4);
  cr_expect(request.account_header.empty() && request.authorization.empty());
}

Test(account_header, a_public_route_without_an_account_tells_none) {
  const RouteConfig route{.is_public = true};
  CallerRequest request = Request();
  SetAccount(request,
             {.header_names = kNames, .route = route, .has_accounts = true});
  cr_expect(request.header == "Accept: */*\r\n");
  cr_expect(request.account.empty() && request.authorization.empty());
}

// Guards against a deployment without accounts whose targets check the
// credentials themselves.
Test(account_header, without_accounts_all_lines_are_passed_on) {
  const RouteConfig route;
  CallerRequest request = Request();
  SetAccount(request, {.header_names = kNames, .route = route});
  cr_expect(request.header ==
            "Accept: */*\r\nauthorization: Bearer k\r\n"
            "knapweed-account: forged\r\n");
}

Test(account_header, the_priority_of_the_account_precedes_that_of_the_route) {
  const RouteConfig route{.priority = 4};
  const ClientAccount account{.name = AccountId("acme"), .priority = 0};
  CallerRequest request = Request();
  SetAccount(request, {.header_names = kNames,
                       .route = route,
                       .has_accounts = true,
                       .account = &account});
  cr_expect(request.priority == 0);
}

}  // namespace
}  // namespace knapweedroad
