#pragma once

/// @file
/// The platform's machine list and weight store.

#include <memory>

#include "common/error.h"
#include "daemon/clients/http_call.h"
#include "daemon/membership/membership.h"
#include "daemon/upstream/engine_directory.h"

namespace linenpier::platform {

struct MachineList {
  std::vector<membership::MemberSeed> daemons;
  std::vector<upstream::EngineSeed> engines;
};

/// Blocking, thread-safe reads of what the platform publishes.
class PlatformDirectory {
 public:
  virtual ~PlatformDirectory() = default;
  /// @return all daemons, and the engines of `zone`. The list lags behind the truth.
  virtual CallResult<MachineList> machines(const ZoneName& zone) = 0;
  /// @return the newest version of a model in the weight store; 0 if there is none.
  virtual CallResult<WeightVersion> newestVersion(const ModelName& model) = 0;
};

using PlatformDirectorySharedPtr = std::shared_ptr<PlatformDirectory>;

/// `GET /machines?zone=`, `GET /weights?model=`.
class HttpPlatformDirectory : public PlatformDirectory {
 public:
  explicit HttpPlatformDirectory(PlatformService service) : service_(std::move(service)) {}
  CallResult<MachineList> machines(const ZoneName& zone) override;
  CallResult<WeightVersion> newestVersion(const ModelName& model) override;

 private:
  PlatformService service_;
};

}  // namespace linenpier::platform
