#pragma once

/// @file
/// Strongly typed identifiers, so that an engine id cannot be passed as a daemon id.

#include <boost/serialization/level.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/tracking.hpp>
#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace linenpier {

/// A string identifier. `Tag` distinguishes the types.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Id&) const = default;

  template <typename Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& value_;
  }

 private:
  std::string value_;  ///< Opaque.
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const Id<Tag>& id) {
  return out << id.str();
}

using DaemonId = Id<struct DaemonIdTag>;        ///< One running daemon process.
using EngineId = Id<struct EngineIdTag>;        ///< One model engine (a sampler).
using ZoneName = Id<struct ZoneNameTag>;        ///< A failure domain, such as a data hall.
using RegionName = Id<struct RegionNameTag>;    ///< A group of zones.
using TenantId = Id<struct TenantIdTag>;        ///< A customer of the service.
using ModelName = Id<struct ModelNameTag>;      ///< A model or adapter that engines serve.
using TrainerId = Id<struct TrainerIdTag>;      ///< A trainer, unique within its tenant.
using RequestId = Id<struct RequestIdTag>;      ///< One client request; globally unique.
using ServiceName = Id<struct ServiceNameTag>;  ///< A pool of engines that requests are routed to.
using RouteName = Id<struct RouteNameTag>;      ///< A route of the operator's configuration.
using JobId = Id<struct JobIdTag>;              ///< A batch job.
using ItemId = Id<struct ItemIdTag>;            ///< One request of a batch job.
using GroupId = Id<struct GroupIdTag>;          ///< Items of a job that belong together.
using LeaseId = Id<struct LeaseIdTag>;          ///< The lease of one run of a gateway process.
using AttemptId = Id<struct AttemptIdTag>;      ///< One write or dispatch attempt; unique.

/// Version of a model's weights. Trainers publish 1, 2, 3, …; 0 means "none known".
using WeightVersion = std::uint64_t;
/// Fencing token of an order to an engine: the revision of the engine's ownership row.
using FencingToken = std::uint64_t;
/// Revision of a table row, or of the whole configuration. 0 means "absent".
using Revision = std::uint64_t;

}  // namespace linenpier

namespace std {
template <typename Tag>
struct hash<linenpier::Id<Tag>> {
  size_t operator()(const linenpier::Id<Tag>& id) const { return hash<string>()(id.str()); }
};
}  // namespace std

namespace boost::serialization {
/// Identifiers carry no class header and no object tracking on the wire.
template <typename Tag>
struct implementation_level<linenpier::Id<Tag>> {
  using tag = mpl::integral_c_tag;
  using type = mpl::int_<object_serializable>;
  BOOST_STATIC_CONSTANT(int, value = implementation_level::type::value);
};
template <typename Tag>
struct tracking_level<linenpier::Id<Tag>> {
  using tag = mpl::integral_c_tag;
  using type = mpl::int_<track_never>;
  BOOST_STATIC_CONSTANT(int, value = tracking_level::type::value);
};
}  // namespace boost::serialization
