#pragma once

/// @file
/// Templates and tenant parameters: what operators edit, as typed documents.

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/error.h"
#include "common/ids.h"

namespace linenpier::config {

/// Kind of work that a template describes.
enum class WorkKind { kServing, kRollout };

/// Operator-made defaults for one kind of work.
struct Template {
  std::string name;
  WorkKind kind = WorkKind::kServing;
  int priority = 0;                  ///< −10 … 10; higher goes first.
  double weight = 1.0;               ///< Share in the fair queue; 0.01 … 1000.
  std::uint32_t max_in_flight = 64;  ///< Streams of one tenant at a daemon.
  std::uint32_t max_queued = 256;    ///< Requests of one tenant waiting at a daemon.
  std::uint32_t max_tokens = 4096;   ///< Longest generation a request may ask for.
  std::uint32_t default_deadline_ms = 30000;
};

/// One model that a tenant may use.
struct TenantModel {
  ModelName model;
  std::string template_name;  ///< Template that its requests follow.
};

struct TenantTrainer {
  TrainerId trainer;
  ModelName model;
  std::uint32_t staleness_bound = 2;  ///< Versions behind the trainer that a sample may be.
  std::uint32_t steps_ahead = 1;      ///< Steps that may be generated before they are pulled.
};

/// One tenant's parameters.
struct Tenant {
  TenantId name;
  std::vector<std::string> key_hashes;  ///< SHA-256 of each bearer key, hexadecimal.
  std::vector<TenantModel> models;
  std::vector<TenantTrainer> trainers;
  std::vector<std::string> scorers;  ///< Scoring services, by name.

  const TenantModel* findModel(const ModelName& model) const;
  const TenantTrainer* findTrainer(const TrainerId& trainer) const;
};

template <typename T>
using Parsed = tl::expected<T, Findings>;

/// Parses and checks a document as a whole; every finding names its JSON path.
/// @param place prefix of the findings' places, such as a file name.
Parsed<Template> parseTemplate(const std::string& place, const std::string& text);
Parsed<Tenant> parseTenant(const std::string& place, const std::string& text);

/// @return SHA-256 of `text` in hexadecimal.
std::string sha256Hex(const std::string& text);

}  // namespace linenpier::config
