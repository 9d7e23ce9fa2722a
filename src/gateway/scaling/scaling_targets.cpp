#include "gateway/scaling/scaling_targets.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace linenpier::scaling {

namespace {

std::size_t sumOf(const fleet::group_counts& counts) {
  std::size_t sum = 0;
  for (const auto& [group, count] : counts) sum += count;
  return sum;
}

/** @return the baseline limited to what each group can have, and how many engines are missing from
 * it.
 */
scaling_targets reachableBaseline(const target_inputs& inputs) {
  scaling_targets targets;
  for (const ZoneName& zone : zonesOf(inputs.baseline)) {
    if (inputs.unavailable.contains(zone)) {
      targets.to_replace += countInZone(inputs.baseline, zone);
      continue;
    }
    for (const fleet::PurchaseOption purchase :
         {fleet::PurchaseOption::kOnDemand, fleet::PurchaseOption::kSpot}) {
      const fleet::engine_group group{zone, purchase};
      const std::size_t baseline = countOf(inputs.baseline, group);
      const std::size_t there = std::min(baseline, inputs.view.of(group).serving);
      const bool without_capacity = inputs.without_capacity.contains(group);
      targets.wanted[group] = without_capacity ? there : baseline;
      if (without_capacity) targets.to_replace += baseline - there;
    }
  }
  return targets;
}

/** Adds up to `count` engines of the purchase option to the groups in `wanted`, one at a time: to
 * the group that exceeds its baseline by the fewest engines; among equal groups, to the cheapest.
 * @return how many could not be added.
 */
std::size_t addEngines(const target_inputs& inputs, std::size_t count,
                       fleet::PurchaseOption purchase, fleet::group_counts& wanted) {
  for (; count > 0; --count) {
    auto best = wanted.end();
    std::tuple<std::size_t, double> best_rank;
    for (auto at = wanted.begin(); at != wanted.end(); ++at) {
      const fleet::engine_group& group = at->first;
      if (group.purchase != purchase || inputs.without_capacity.contains(group)) continue;
      if (countInZone(wanted, group.zone) >= inputs.bounds.max_engines) continue;
      const std::size_t baseline = countOf(inputs.baseline, group);
      const std::size_t extra = at->second > baseline ? at->second - baseline : 0;
      const std::tuple<std::size_t, double> rank{extra, inputs.bounds.priceOf(group)};
      if (best != wanted.end() && best_rank <= rank) continue;
      best = at;
      best_rank = rank;
    }
    if (best == wanted.end()) return count;
    ++best->second;
  }
  return 0;
}

/** Removes up to `count` engines from the groups in `wanted`, the most expensive first; every zone
 * keeps its minimum share of the baseline and its lower bound.
 */
void removeEngines(const target_inputs& inputs, std::size_t count, fleet::group_counts& wanted) {
  for (; count > 0; --count) {
    auto best = wanted.end();
    for (auto at = wanted.begin(); at != wanted.end(); ++at) {
      const auto baseline = static_cast<double>(countInZone(inputs.baseline, at->first.zone));
      const auto kept = static_cast<std::size_t>(std::ceil(baseline * inputs.options.min_share));
      const std::size_t least = std::max(kept, inputs.bounds.min_engines);
      if (at->second == 0 || countInZone(wanted, at->first.zone) <= least) continue;
      const bool dearer = best == wanted.end() ||
                          inputs.bounds.priceOf(at->first) > inputs.bounds.priceOf(best->first);
      if (dearer) best = at;
    }
    if (best == wanted.end()) return;
    --best->second;
  }
}

/** Clamps every zone to its bounds by changing its on-demand engines. */
void clampToBounds(const fleet::scaling_bounds& bounds, fleet::group_counts& wanted) {
  for (auto& [group, count] : wanted) {
    if (group.purchase != fleet::PurchaseOption::kOnDemand) continue;
    const std::size_t spot = countOf(wanted, {group.zone, fleet::PurchaseOption::kSpot});
    if (count + spot < bounds.min_engines) count = bounds.min_engines - spot;
    if (count + spot > bounds.max_engines)
      count = bounds.max_engines - std::min(spot, bounds.max_engines);
  }
}

}  // namespace

std::size_t countOf(const fleet::group_counts& counts, const fleet::engine_group& group) {
  const auto at = counts.find(group);
  return at == counts.end() ? 0 : at->second;
}

std::size_t countInZone(const fleet::group_counts& counts, const ZoneName& zone) {
  return countOf(counts, {zone, fleet::PurchaseOption::kOnDemand}) +
         countOf(counts, {zone, fleet::PurchaseOption::kSpot});
}

std::set<ZoneName> zonesOf(const fleet::group_counts& counts) {
  std::set<ZoneName> found;
  for (const auto& [group, count] : counts) found.insert(group.zone);
  return found;
}

scaling_targets computeTargets(const target_inputs& inputs) {
  scaling_targets targets = reachableBaseline(inputs);
  const std::size_t baseline = sumOf(inputs.baseline);
  std::size_t needed = baseline;
  if (inputs.options.mode == ScalingMode::kDemand) {
    needed = inputs.view.engines_for_work.value_or(baseline);
  }
  // If the work needs n engines less than the baseline, n of the missing engines are not replaced.
  std::size_t fewer = baseline - std::min(baseline, needed);
  const std::size_t not_replaced = std::min(fewer, targets.to_replace);
  targets.to_replace -= not_replaced;
  fewer -= not_replaced;
  removeEngines(inputs, fewer, targets.wanted);
  const std::size_t left =
      addEngines(inputs, targets.to_replace, fleet::PurchaseOption::kOnDemand, targets.wanted);
  std::size_t more = needed - std::min(baseline, needed) + left;
  const bool spot_is_cheaper = inputs.bounds.spot_price < 1;
  if (spot_is_cheaper) {
    more = addEngines(inputs, more, fleet::PurchaseOption::kSpot, targets.wanted);
  }
  addEngines(inputs, more, fleet::PurchaseOption::kOnDemand, targets.wanted);
  clampToBounds(inputs.bounds, targets.wanted);
  return targets;
}

}  // namespace linenpier::scaling
