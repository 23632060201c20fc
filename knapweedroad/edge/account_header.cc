#include "knapweedroad/edge/account_header.h"

#include <string>
#include <utility>

#include "knapweedroad/accounts/client_account.h"
#include "knapweedroad/edge/caller_message.h"
#include "knapweedroad/edge/header_names.h"
#include "knapweedroad/edge/header_text.h"
#include "knapweedroad/routing/route_config.h"

namespace knapweedroad {

void SetAccount(CallerRequest& request, const AccountHeaderOptions& options) {
  const std::string of_caller = std::exchange(request.account_header, {});
  request.authorization.clear();
  request.priority = options.route.priority;
  if (!options.has_accounts) {
    request.header += of_caller;
    return;
  }
  if (options.account == nullptr) {
    return;
  }
  request.account = options.account->name;
  request.priority = options.account->priority.value_or(request.priority);
  AppendLine(request.header, options.header_names.account,
             request.account.str());
}

}  // namespace knapweedroad
