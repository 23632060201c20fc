#include <iostream>

#include <gflags/gflags.h>

#include "knapweedroad/cli/command.h"
#include "knapweedroad/cli/one_call.h"
#include "knapweedroad/cli/operator_call.h"
#include "knapweedroad/cli/status_printer.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_deployment.h"

DEFINE_string(operators,
              "127.0.0.1:7003",
              "operator addresses of hosts, IP:PORT, separated by commas");
DEFINE_string(operator_id, "", "who makes the change; required");
DEFINE_string(request_id,
              "",
              "names the change, so that a resend is known; made up if empty");
DEFINE_int64(base_version,
             -1,
             "the version the change was made from; required for apply");
DEFINE_bool(as_json, false, "print the status as the host sent it");

namespace knapweedroad {
namespace {

int RunApply(std::span<const std::string> words) {
  if (words.size() != 1 || FLAGS_operator_id.empty() ||
      FLAGS_base_version < 0) {
    return UsageError(kApplyCommand,
                      "it takes --operator_id, --base_version and a file");
  }
  const auto text = ReadFileOrComplain(words[0]);
  if (!text) {
    return kExitUsage;
  }
  if (const auto parsed = ParseDeployment(*text, words[0]); !parsed) {
    for (const ConfigError& error : parsed.error()) {
      Complain(error.ToString());
    }
    return kExitUsage;
  }
  return SendChange(
      FLAGS_operators,
      {.method = "PUT",
       .path = "/v1/configuration",
       .headers = OperatorHeaders(FLAGS_operator_id, ChangeId(FLAGS_request_id),
                                  static_cast<uint64_t>(FLAGS_base_version)),
       .body = *text});
}

int RunZone(std::span<const std::string> words) {
  if (words.size() != 2 || (words[0] != "out" && words[0] != "in") ||
      FLAGS_operator_id.empty()) {
    return UsageError(kZoneCommand,
                      "it takes --operator_id and 'out ZONE' or 'in ZONE'");
  }
  std::optional<uint64_t> base;
  if (FLAGS_base_version >= 0) {
    base = static_cast<uint64_t>(FLAGS_base_version);
  }
  return SendChange(FLAGS_operators,
                    {.method = "POST",
                     .path = "/v1/zones/" + words[1] + "/" + words[0],
                     .headers = OperatorHeaders(
                         FLAGS_operator_id, ChangeId(FLAGS_request_id), base)});
}

int RunReplica(std::span<const std::string> words) {
  const bool known =
      (words.size() == 1 && words[0] == "give-up") ||
      (words.size() == 2 && (words[0] == "add" || words[0] == "remove")) ||
      (words.size() == 3 && words[0] == "replace");
  if (!known || FLAGS_operator_id.empty()) {
    return UsageError(kReplicaCommand,
                      "it takes --operator_id and 'add HOST', 'remove HOST', "
                      "'replace OLD NEW' or 'give-up'");
  }
  std::string path = "/v1/replicas";
  for (const std::string& word : words) {
    path += "/" + word;
  }
  return SendChange(
      FLAGS_operators,
      {.method = "POST",
       .path = path,
       .headers = OperatorHeaders(FLAGS_operator_id, ChangeId(FLAGS_request_id),
                                  std::nullopt)});
}

int RunStatus(std::span<const std::string> words) {
  if (!words.empty()) {
    return UsageError(kStatusCommand, "it takes no words");
  }
  const auto response =
      CallHost(FLAGS_operators,
               {.path = "/v1/status", .headers = {{"Host", "knapweedroad"}}},
               kChangeTimeout);
  if (!response) {
    return kExitFailed;
  }
  const auto text = FLAGS_as_json ? std::nullopt : StatusText(response->body);
  std::cout << text.value_or(response->body + "\n");
  return response->status == 200 ? kExitDone : kExitFailed;
}

}  // namespace

const Command kApplyCommand{
    .name = "apply",
    .summary = "puts a configuration into force",
    .usage =
        "apply --operator_id WHO --base_version N FILE\n\nThe file is "
        "checked first. Of two changes from one base version exactly one "
        "is accepted.\nExit 0 accepted, 1 rejected, 2 bad file, 3 unknown "
        "(resend with the same --request_id).\n",
    .flags_file = "apply_command",
    .run = RunApply};

const Command kZoneCommand{
    .name = "zone",
    .summary = "takes an availability zone out of service or in again",
    .usage = "zone out|in ZONE --operator_id WHO\n\nExit codes as for apply.\n",
    .flags_file = "apply_command",
    .run = RunZone};

const Command kReplicaCommand{
    .name = "replica",
    .summary = "adds, removes or replaces a control replica",
    .usage =
        "replica add HOST | remove HOST | replace OLD NEW | give-up "
        "--operator_id WHO\n\nReplace a host by itself when its disk was lost. "
        "It is done once the new replica\nholds everything; interrupted, it "
        "goes on with the same --request_id. give-up ends\na move whose new "
        "replica never came. Exit codes as for apply.\n",
    .flags_file = "apply_command",
    .run = RunReplica};

const Command kStatusCommand{
    .name = "status",
    .summary = "shows hosts, versions in force, targets and replicas",
    .usage =
        "status [--as_json]\n\nAs the first host that answers sees it. Exit 0, "
        "or "
        "1 where none answers.\n",
    .flags_file = "apply_command",
    .run = RunStatus};

}  // namespace knapweedroad
