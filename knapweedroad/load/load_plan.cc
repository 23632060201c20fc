#include "knapweedroad/load/load_plan.h"

#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "knapweedroad/load/plan_fields.h"
#include "knapweedroad/testing/stand_in_fault.h"

namespace knapweedroad {
namespace {

using nlohmann::json;
using Errors = std::vector<std::string>;

constexpr uint32_t kDefaultMaxOutstanding = 5000;
constexpr uint32_t kDefaultResends = 2;
constexpr uint32_t kDefaultLimit = 100;
constexpr uint32_t kDefaultSubjects = 1000;

std::string At(const std::string& place, size_t index) {
  return place + "/" + std::to_string(index);
}

// {"number": 1, "prefix": "redactie-", "services": 10, "units": 10}: the
// services PREFIX1 to PREFIXn, each with that many units.
void ReadGeneration(const json& object,
                    const std::string& place,
                    Errors& errors,
                    FrontTruth& front) {
  PlanFields fields(object, place, errors);
  const uint32_t number = fields.UnsignedInteger("number", 1);
  const std::string prefix = fields.RequiredText("prefix");
  const uint32_t services = fields.UnsignedInteger("services", 0);
  const uint32_t units = fields.UnsignedInteger("units", 0);
  if (services == 0 || units == 0) {
    fields.AddError("services", "services and units are needed, above zero");
  }
  for (uint32_t index = 1; index <= services; ++index) {
    const ServiceId service(prefix + std::to_string(index));
    front.units[number][service] = units;
  }
  fields.ReportUnknownFields();
}

FrontTruth ReadFront(const json& object,
                     const std::string& place,
                     Errors& errors) {
  PlanFields fields(object, place, errors);
  FrontTruth front{.name = FrontId(fields.RequiredText("name"))};
  size_t index = 0;
  for (const json* generation : fields.Elements("generations", false)) {
    ReadGeneration(*generation, At(place + "/generations", index++), errors,
                   front);
  }
  fields.ReportUnknownFields();
  return front;
}

CallerMix ReadCaller(const json& object,
                     const std::string& place,
                     Errors& errors) {
  PlanFields fields(object, place, errors);
  CallerMix mix{.tenant = TenantId(fields.RequiredText("tenant")),
                .request_class = fields.Text("class", "normal"),
                .share = fields.Number("share", 1.0)};
  fields.ReportUnknownFields();
  return mix;
}

CallStream ReadStream(const json& object,
                      const std::string& place,
                      Duration run,
                      Errors& errors) {
  PlanFields fields(object, place, errors);
  CallStream stream;
  stream.front = FrontId(fields.RequiredText("front"));
  const std::string kind = fields.Text("kind", "search");
  stream.is_search = kind == "search";
  if (kind != "search" && kind != "records") {
    fields.AddError("kind", "expected \"search\" or \"records\"");
  }
  stream.rate_per_second = fields.RequiredNumber("rate_per_s");
  stream.from = fields.Milliseconds("from_ms", Duration::zero());
  stream.until = fields.Milliseconds("until_ms", run);
  if (stream.until <= stream.from || stream.until > run) {
    fields.AddError("until_ms", "expected after from_ms and within the run");
  }
  stream.deadline = fields.RequiredMilliseconds("deadline_ms");
  stream.limit = fields.UnsignedInteger("limit", kDefaultLimit);
  stream.distinct_subjects =
      fields.UnsignedInteger("subjects", kDefaultSubjects);
  if (stream.distinct_subjects == 0) {
    fields.AddError("subjects", "expected one or more");
  }
  stream.lookup_share = fields.Share("lookup_share", 0.0);
  stream.cancel_share = fields.Share("leave_share", 0.0);
  size_t index = 0;
  for (const json* caller : fields.Elements("callers", true)) {
    stream.callers.push_back(
        ReadCaller(*caller, At(place + "/callers", index++), errors));
  }
  fields.ReportUnknownFields();
  return stream;
}

void ReadZoneChange(PlanFields& fields, TimelineEvent& event) {
  event.zone = ZoneId(fields.RequiredText("zone"));
  const std::string direction = fields.Text("take", "out");
  event.take_zone_out = direction == "out";
  if (direction != "out" && direction != "in") {
    fields.AddError("take", "expected \"out\" or \"in\"");
  }
}

void ReadFaultOrder(PlanFields& fields, TimelineEvent& event) {
  event.targets = fields.Text("targets", "*");
  if (fields.Has("target_zone")) {
    event.target_zone = ZoneId(fields.RequiredText("target_zone"));
  }
  event.every = fields.UnsignedInteger("every", 1);
  if (event.every == 0) {
    fields.AddError("every", "expected one or more");
  }
  const json* fault = fields.Find("send");
  if (fault == nullptr) {
    fields.AddError("send", "a fault to send, or a zone to take out or in");
    return;
  }
  event.fault = fault->dump();
  if (const auto parsed = ParseStandInFault(event.fault); !parsed) {
    fields.AddError("send", parsed.error());
  }
}

TimelineEvent ReadEvent(const json& object,
                        const std::string& place,
                        Errors& errors) {
  PlanFields fields(object, place, errors);
  TimelineEvent event;
  event.at = fields.Milliseconds("at_ms", Duration::zero());
  if (fields.Has("zone")) {
    ReadZoneChange(fields, event);
  } else {
    ReadFaultOrder(fields, event);
  }
  fields.ReportUnknownFields();
  return event;
}

void CheckStreamFronts(const LoadPlan& plan, Errors& errors) {
  std::set<FrontId> known;
  for (const FrontTruth& front : plan.fronts) {
    known.insert(front.name);
  }
  size_t index = 0;
  for (const CallStream& stream : plan.streams) {
    if (!known.contains(stream.front)) {
      errors.push_back(At("/streams", index) + "/front: '" +
                       stream.front.str() + "' isn't among the fronts");
    }
    ++index;
  }
}

LoadPlan ReadPlan(const json& object, Errors& errors) {
  PlanFields fields(object, "", errors);
  LoadPlan plan;
  plan.name = fields.RequiredText("name");
  plan.seed = fields.UnsignedInteger("seed", 1);
  plan.duration = fields.RequiredMilliseconds("duration_ms");
  plan.warm_up = fields.Milliseconds("warm_up_ms", Duration::zero());
  plan.max_outstanding =
      fields.UnsignedInteger("max_outstanding", kDefaultMaxOutstanding);
  plan.resends = fields.UnsignedInteger("resends", kDefaultResends);
  size_t index = 0;
  for (const json* front : fields.Elements("fronts", true)) {
    plan.fronts.push_back(ReadFront(*front, At("/fronts", index++), errors));
  }
  index = 0;
  for (const json* stream : fields.Elements("streams", true)) {
    plan.streams.push_back(
        ReadStream(*stream, At("/streams", index++), plan.duration, errors));
  }
  index = 0;
  for (const json* event : fields.Elements("timeline", false)) {
    plan.timeline.push_back(
        ReadEvent(*event, At("/timeline", index++), errors));
  }
  fields.ReportUnknownFields();
  CheckStreamFronts(plan, errors);
  return plan;
}

}  // namespace

tl::expected<LoadPlan, std::vector<std::string>> ReadLoadPlan(
    std::string_view text) {
  Errors errors;
  try {
    const json parsed = json::parse(text, nullptr, true, true);
    LoadPlan plan = ReadPlan(parsed, errors);
    if (errors.empty()) {
      return plan;
    }
  } catch (const json::exception& error) {
    errors.emplace_back(error.what());
  }
  return tl::unexpected(std::move(errors));
}

}  // namespace knapweedroad
