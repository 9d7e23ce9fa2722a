#include "daemon/rollout/step_types.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace linenpier::rollout {

using nlohmann::json;

namespace {

/// Runs `read` over parsed JSON; any missing or mistyped member becomes one finding.
template <typename T, typename Read>
tl::expected<T, Findings> parseWith(const std::string& place, const std::string& text, Read read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception& error) {
    return tl::make_unexpected(Findings{{place, error.what()}});
  }
}

json stepJson(const StepKey& key) {
  return {{"tenant", key.tenant.str()}, {"trainer", key.trainer.str()}, {"step", key.step}};
}

StepKey stepFromJson(const json& object) {
  return {TenantId(object.at("tenant").get<std::string>()),
          TrainerId(object.at("trainer").get<std::string>()),
          object.at("step").get<std::uint64_t>()};
}

json sampleJson(const Sample& sample) {
  json pieces = json::array();
  for (const VersionPiece& piece : sample.pieces) {
    pieces.push_back({{"version", piece.version}, {"tokens", piece.tokens}});
  }
  json object = stepJson(sample.key.step);
  object["index"] = sample.key.index;
  object["attempt"] = sample.key.attempt;
  object["text"] = sample.text;
  object["versions"] = pieces;
  return object;
}

const char* stateName(StepRow::State state) {
  switch (state) {
    case StepRow::State::kOpen:
      return "open";
    case StepRow::State::kCommitted:
      return "committed";
    case StepRow::State::kAcknowledged:
      return "acknowledged";
  }
  return "open";
}

StepRow::State stateFrom(const std::string& name) {
  if (name == "committed") return StepRow::State::kCommitted;
  if (name == "acknowledged") return StepRow::State::kAcknowledged;
  return StepRow::State::kOpen;
}

std::string stepPath(const StepKey& step) {
  return trainerKey(step.tenant, step.trainer) + "/" + std::to_string(step.step);
}

}  // namespace

std::size_t StepSpec::sampleCount() const {
  std::size_t count = 0;
  for (const PromptGroup& group : groups) count += group.samples;
  return count;
}

const std::string& StepSpec::promptOf(std::size_t index) const {
  static const std::string kNone;
  for (const PromptGroup& group : groups) {
    if (index < group.samples) return group.prompt;
    index -= group.samples;
  }
  return kNone;
}

WeightVersion Sample::oldestVersion() const {
  const auto oldest = std::min_element(
      pieces.begin(), pieces.end(),
      [](const VersionPiece& a, const VersionPiece& b) { return a.version < b.version; });
  return oldest == pieces.end() ? 0 : oldest->version;
}

bool freshEnough(WeightVersion version, WeightVersion trainer_version, std::uint32_t bound) {
  return version + bound >= trainer_version;
}

std::string toJson(const StepSpec& spec) {
  json object = stepJson(spec.key);
  object["model"] = spec.model.str();
  object["max_tokens"] = spec.max_tokens;
  json groups = json::array();
  for (const PromptGroup& group : spec.groups) {
    groups.push_back({{"prompt", group.prompt}, {"samples", group.samples}});
  }
  object["groups"] = groups;
  return object.dump();
}

tl::expected<StepSpec, Findings> parseStepSpec(const std::string& place, const std::string& text) {
  return parseWith<StepSpec>(
      place, text, [&](const json& object) -> tl::expected<StepSpec, Findings> {
        StepSpec spec;
        spec.key = stepFromJson(object);
        spec.model = ModelName(object.at("model").get<std::string>());
        spec.max_tokens = object.at("max_tokens").get<std::uint32_t>();
        Findings findings;
        for (const json& element : object.at("groups")) {
          PromptGroup group{element.at("prompt").get<std::string>(),
                            element.at("samples").get<std::uint32_t>()};
          if (group.prompt.size() > kMaxPromptBytes) {
            findings.push_back({place + ".groups", "a prompt is over 24 KiB"});
          }
          spec.groups.push_back(std::move(group));
        }
        const std::size_t count = spec.sampleCount();
        if (count == 0 || count > kMaxSamplesPerStep) {
          findings.push_back({place + ".groups", "must ask for 1 to 8192 samples"});
        }
        if (!findings.empty()) return tl::make_unexpected(findings);
        return spec;
      });
}

std::string toJson(const Sample& sample) {
  return sampleJson(sample).dump();
}

tl::expected<Sample, Findings> parseSample(const std::string& place, const std::string& text) {
  return parseWith<Sample>(place, text, [](const json& object) {
    Sample sample;
    sample.key.step = stepFromJson(object);
    sample.key.index = object.at("index").get<std::uint32_t>();
    sample.key.attempt = object.at("attempt").get<std::uint32_t>();
    sample.text = object.at("text").get<std::string>();
    for (const json& piece : object.at("versions")) {
      sample.pieces.push_back(
          {piece.at("version").get<WeightVersion>(), piece.at("tokens").get<std::uint32_t>()});
    }
    return sample;
  });
}

std::string batchToJson(const StepKey& step, const std::vector<Sample>& samples) {
  json object = stepJson(step);
  json array = json::array();
  for (const Sample& sample : samples) array.push_back(sampleJson(sample));
  object["samples"] = std::move(array);
  return object.dump();
}

std::string trainerKey(const TenantId& tenant, const TrainerId& trainer) {
  return tenant.str() + "/" + trainer.str();
}

std::string stepRowKey(const StepKey& step) {
  return "step/" + stepPath(step);
}

std::string trainerRowKey(const StepKey& step) {
  return "trainer/" + trainerKey(step.tenant, step.trainer);
}

std::string specObjectKey(const StepKey& step, const AttemptId& attempt) {
  return "spec/" + stepPath(step) + "/" + attempt.str();
}

std::string sampleObjectPrefix(const StepKey& step) {
  return "sample/" + stepPath(step) + "/";
}

std::string sampleObjectKey(const SampleKey& sample, const AttemptId& attempt) {
  return sampleObjectPrefix(sample.step) + std::to_string(sample.index) + "." +
         std::to_string(sample.attempt) + "." + attempt.str();
}

std::string batchObjectKey(const StepKey& step, const AttemptId& attempt) {
  return "batch/" + stepPath(step) + "/" + attempt.str();
}

std::string toJson(const StepRow& row) {
  return json{{"state", stateName(row.state)},
              {"spec_object", row.spec_object},
              {"spec_hash", row.spec_hash},
              {"batch_object", row.batch_object},
              {"trainer_version", row.trainer_version},
              {"oldest_version", row.oldest_version},
              {"attempt", row.attempt.str()}}
      .dump();
}

tl::expected<StepRow, Findings> parseStepRow(const std::string& place, const std::string& text) {
  return parseWith<StepRow>(place, text, [](const json& object) {
    StepRow row;
    row.state = stateFrom(object.at("state").get<std::string>());
    row.spec_object = object.at("spec_object").get<std::string>();
    row.spec_hash = object.at("spec_hash").get<std::string>();
    row.batch_object = object.at("batch_object").get<std::string>();
    row.trainer_version = object.at("trainer_version").get<WeightVersion>();
    row.oldest_version = object.at("oldest_version").get<WeightVersion>();
    row.attempt = AttemptId(object.at("attempt").get<std::string>());
    return row;
  });
}

std::string toJson(const TrainerRow& row) {
  return json{{"version", row.version}, {"attempt", row.attempt.str()}}.dump();
}

tl::expected<TrainerRow, Findings> parseTrainerRow(const std::string& place,
                                                   const std::string& text) {
  return parseWith<TrainerRow>(place, text, [](const json& object) {
    return TrainerRow{object.at("version").get<WeightVersion>(),
                      AttemptId(object.at("attempt").get<std::string>())};
  });
}

}  // namespace linenpier::rollout
