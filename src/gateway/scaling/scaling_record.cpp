#include "gateway/scaling/scaling_record.h"

#include <nlohmann/json.hpp>

namespace linenpier::scaling {

using nlohmann::json;

namespace {

constexpr char kBaseline[] = "usual";
constexpr char kOrdered[] = "ordered";
constexpr char kZone[] = "zone";
constexpr char kKind[] = "kind";
constexpr char kCount[] = "count";

json encodeCounts(const fleet::group_counts& counts) {
  json list = json::array();
  for (const auto& [group, count] : counts) {
    list.push_back({{kZone, group.zone.str()}, {kKind, toText(group.purchase)}, {kCount, count}});
  }
  return list;
}

fleet::group_counts decodeCounts(const json& list) {
  fleet::group_counts counts;
  for (const json& each : list) {
    const bool spot = each.at(kKind).get<std::string>() == toText(fleet::PurchaseOption::kSpot);
    const fleet::PurchaseOption purchase =
        spot ? fleet::PurchaseOption::kSpot : fleet::PurchaseOption::kOnDemand;
    const ZoneName zone(each.at(kZone).get<std::string>());
    counts[{zone, purchase}] = each.at(kCount).get<std::size_t>();
  }
  return counts;
}

}  // namespace

std::size_t scaling_record::current(const fleet::engine_group& group) const {
  const auto last = this->ordered.find(group);
  if (last != this->ordered.end()) return last->second;
  const auto found = this->baseline.find(group);
  return found == this->baseline.end() ? 0 : found->second;
}

std::string encodeRecord(const scaling_record& record) {
  const json document = {{kBaseline, encodeCounts(record.baseline)},
                         {kOrdered, encodeCounts(record.ordered)}};
  return document.dump();
}

std::optional<scaling_record> decodeRecord(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    scaling_record record;
    record.baseline = decodeCounts(document.at(kBaseline));
    record.ordered = decodeCounts(document.at(kOrdered));
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace linenpier::scaling
