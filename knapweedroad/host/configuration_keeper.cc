#include "knapweedroad/host/configuration_keeper.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "knapweedroad/base/log_line.h"
#include "knapweedroad/config/config_error.h"
#include "knapweedroad/config/parse_deployment.h"

namespace knapweedroad {
namespace {

using nlohmann::json;

// Versions that a difference can start from.
constexpr size_t kPastVersions = 32;

uint64_t ChecksumOf(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

// The text without comments and layout, with keys in one order: what is
// compared, summed and patched. It isn't printed from the parsed
// configuration: programs of two releases would print two texts of one
// version, and during an upgrade no host could take a version from another.
std::optional<std::string> CanonicalText(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false,
                                    /*ignore_comments=*/true);
  if (document.is_discarded()) {
    return std::nullopt;
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The difference between two canonical texts, or nothing where it is no
// shorter than the whole.
std::optional<std::string> Difference(const std::string& from,
                                      const std::string& to) {
  const json old_document = json::parse(from, nullptr, false);
  const json new_document = json::parse(to, nullptr, false);
  std::string patch = json::diff(old_document, new_document).dump();
  if (patch.size() >= to.size()) {
    return std::nullopt;
  }
  return patch;
}

tl::expected<std::string, std::string> Patched(const std::string& base,
                                               const std::string& patch) {
  const json document = json::parse(base, nullptr, false);
  const json change = json::parse(patch, nullptr, false);
  if (document.is_discarded() || change.is_discarded()) {
    return tl::unexpected(std::string("the difference is no JSON patch"));
  }
  try {
    return document.patch(change).dump();
  } catch (const json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace

ConfigurationKeeper::ConfigurationKeeper()
    : configuration(std::make_shared<DeploymentConfig>()) {}

void ConfigurationKeeper::OnChange(
    std::function<void(const DeploymentConfig&)> listener) {
  this->listeners.push_back(std::move(listener));
}

tl::expected<void, std::string> ConfigurationKeeper::Offer(
    uint64_t version,
    const std::string& text,
    TimePoint now) {
  if (!this->current_text.empty() && version <= this->current_version) {
    return {};
  }
  return this->PutIntoForce(version, text, now);
}

tl::expected<void, std::string> ConfigurationKeeper::OfferAgreed(
    uint64_t version,
    const std::string& text,
    TimePoint now) {
  // Two texts under one version number would stay until the next change; what
  // was agreed is right.
  if (!this->current_text.empty() && version != 0 &&
      version == this->current_version &&
      CanonicalText(text) != this->current_text) {
    LogLine("configuration_conflict").Add("version", version).Error();
    return this->PutIntoForce(version, text, now);
  }
  return this->Offer(version, text, now);
}

tl::expected<void, std::string> ConfigurationKeeper::PutIntoForce(
    uint64_t version,
    const std::string& text,
    TimePoint now) {
  auto parsed = ParseDeployment(text, "version " + std::to_string(version));
  auto canonical = CanonicalText(text);
  if (!parsed) {
    return tl::unexpected(parsed.error().front().ToString());
  }
  // A text that was replaced under its own number is no base of a difference.
  if (!this->current_text.empty() && version != this->current_version) {
    this->past.push_back(
        {.version = this->current_version, .text = this->current_text});
    if (this->past.size() > kPastVersions) {
      this->past.pop_front();
    }
  }
  this->current_version = version;
  this->current_text = std::move(*canonical);
  this->configuration =
      std::make_shared<const DeploymentConfig>(std::move(*parsed));
  this->in_force_since = now;
  LogLine("configuration_in_force").Add("version", version).Info();
  for (const auto& listener : this->listeners) {
    listener(*this->configuration);
  }
  return {};
}

ConfigurationPush ConfigurationKeeper::PushFrom(uint64_t base_version) const {
  ConfigurationPush push{.version = this->current_version,
                         .body = this->current_text,
                         .checksum = ChecksumOf(this->current_text)};
  const auto base = std::find_if(
      this->past.begin(), this->past.end(),
      [&](const Past& each) { return each.version == base_version; });
  if (base_version != 0 && base != this->past.end()) {
    if (auto patch = Difference(base->text, this->current_text)) {
      push.base_version = base_version;
      push.body = std::move(*patch);
    }
  }
  return push;
}

tl::expected<void, std::string> ConfigurationKeeper::Apply(
    const ConfigurationPush& push,
    TimePoint now) {
  if (push.version <= this->current_version) {
    return {};
  }
  std::string text = push.body;
  if (push.base_version != 0) {
    if (push.base_version != this->current_version) {
      return tl::unexpected(
          std::string("the difference starts from another version"));
    }
    auto patched = Patched(this->current_text, push.body);
    if (!patched) {
      return tl::unexpected(patched.error());
    }
    text = std::move(*patched);
  }
  // A difference that is applied to another base gives another text under the
  // same version number. The sum is of the text that the first host has in
  // force.
  if (ChecksumOf(CanonicalText(text).value_or("")) != push.checksum) {
    return tl::unexpected(std::string("the text's checksum differs"));
  }
  return this->Offer(push.version, text, now);
}

}  // namespace knapweedroad
