// What targets are told of the client account that sent a request.
//
//   SetAccount(request, header_names, {.has_accounts = true, ...});

#ifndef KNAPWEEDROAD_EDGE_ACCOUNT_HEADER_H_
#define KNAPWEEDROAD_EDGE_ACCOUNT_HEADER_H_

namespace knapweedroad {

struct CallerRequest;
struct ClientAccount;
struct HeaderNames;
struct RouteConfig;

struct AccountHeaderOptions {
  const HeaderNames& header_names;
  const RouteConfig& route;
  // Whether the configuration has client accounts.
  bool has_accounts = false;
  // The account that holds the request's key; null if there is none.
  const ClientAccount* account = nullptr;
};

// Sets the account and the priority of an admitted request and completes the
// header lines that are passed on. If the configuration has accounts, they
// contain the account that was found and none of the lines that the caller sent
// for it; otherwise they contain all lines of the caller. Afterwards the
// request contains no key apart from those lines. Called once.
void SetAccount(CallerRequest& request, const AccountHeaderOptions& options);

}  // namespace knapweedroad

#endif  // KNAPWEEDROAD_EDGE_ACCOUNT_HEADER_H_
