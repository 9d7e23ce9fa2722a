#include "daemon/config/documents.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace linenpier::config {

namespace {

using nlohmann::json;

/// Reads members of one JSON object and collects what is wrong with them.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string place, Findings& findings)
      : object_(object), place_(std::move(place)), findings_(findings) {}

  /// Reports members that were never asked for.
  ~ObjectReader() {
    for (const auto& item : object_.items()) {
      if (!known_.contains(item.key())) report(item.key(), "unknown key");
    }
  }

  template <typename Number>
  void number(const std::string& key, Number& value, double lowest, double highest) {
    const json* member = find(key);
    if (member == nullptr) return;
    const bool right_type =
        std::is_integral_v<Number> ? member->is_number_integer() : member->is_number();
    if (!right_type) return report(key, "must be a number");
    const double read = member->get<double>();
    if (read < lowest || read > highest) {
      return report(key, "out of range " + trim(lowest) + " … " + trim(highest));
    }
    value = static_cast<Number>(read);
  }

  void name(const std::string& key, std::string& value, bool required) {
    const json* member = find(key);
    if (member == nullptr) {
      if (required) report(key, "is missing");
      return;
    }
    if (!member->is_string()) return report(key, "must be a string");
    value = member->get<std::string>();
    if (!isName(value)) report(key, "must be 1 to 64 of a-z, 0-9, '-', '.', '_'");
  }

  /// @return the member as an array; an empty one if it is missing or of another type.
  const json& array(const std::string& key) {
    static const json kEmpty = json::array();
    const json* member = find(key);
    if (member == nullptr) return kEmpty;
    if (member->is_array()) return *member;
    report(key, "must be an array");
    return kEmpty;
  }

  void report(const std::string& key, const std::string& problem) {
    findings_.push_back({place_ + "." + key, problem});
  }

  const std::string& place() const { return place_; }

 private:
  static bool isName(const std::string& text) {
    const auto allowed = [](unsigned char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
    };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), allowed);
  }
  static std::string trim(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text;
  }
  const json* find(const std::string& key) {
    known_.insert(key);
    const auto member = object_.find(key);
    return member == object_.end() ? nullptr : &*member;
  }

  const json& object_;
  std::string place_;
  Findings& findings_;
  std::set<std::string> known_;  ///< Keys asked for so far.
};

/// Parses text into an object. @return null with a finding if it is not one.
json parseObject(const std::string& place, const std::string& text, Findings& findings) {
  json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    findings.push_back({place, "is not valid JSON"});
    return nullptr;
  }
  if (!document.is_object()) {
    findings.push_back({place, "must be a JSON object"});
    return nullptr;
  }
  return document;
}

void readKind(ObjectReader& reader, WorkKind& kind) {
  std::string name = "serving";
  reader.name("kind", name, true);
  if (name == "rollout") {
    kind = WorkKind::kRollout;
  } else if (name != "serving") {
    reader.report("kind", "must be \"serving\" or \"rollout\"");
  }
}

template <typename ReadElement>
void readObjects(ObjectReader& reader, const std::string& key, Findings& findings,
                 ReadElement read_element) {
  std::size_t index = 0;
  for (const json& element : reader.array(key)) {
    const std::string place = reader.place() + "." + key + "[" + std::to_string(index++) + "]";
    if (!element.is_object()) {
      findings.push_back({place, "must be an object"});
      continue;
    }
    ObjectReader element_reader(element, place, findings);
    read_element(element_reader);
  }
}

void readStrings(ObjectReader& reader, const std::string& key, std::vector<std::string>& values) {
  for (const json& element : reader.array(key)) {
    if (element.is_string()) {
      values.push_back(element.get<std::string>());
    } else {
      reader.report(key, "must hold strings only");
    }
  }
}

void checkKeyHashes(const Tenant& tenant, ObjectReader& reader) {
  for (const std::string& hash : tenant.key_hashes) {
    const bool hexadecimal = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (hash.size() != 64 || !hexadecimal) {
      reader.report("key_hashes", "must hold SHA-256 sums of 64 hexadecimal digits");
    }
  }
}

void checkTrainers(const Tenant& tenant, ObjectReader& reader) {
  for (const TenantTrainer& trainer : tenant.trainers) {
    if (tenant.findModel(trainer.model) == nullptr) {
      reader.report("trainers", "trainer " + trainer.trainer.str() +
                                    " names a model that the tenant does not list");
    }
  }
}

}  // namespace

const TenantModel* Tenant::findModel(const ModelName& model) const {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&](const TenantModel& entry) { return entry.model == model; });
  return found == models.end() ? nullptr : &*found;
}

const TenantTrainer* Tenant::findTrainer(const TrainerId& trainer) const {
  const auto found =
      std::find_if(trainers.begin(), trainers.end(),
                   [&](const TenantTrainer& entry) { return entry.trainer == trainer; });
  return found == trainers.end() ? nullptr : &*found;
}

Parsed<Template> parseTemplate(const std::string& place, const std::string& text) {
  Findings findings;
  Template result;
  const json document = parseObject(place, text, findings);
  if (document.is_object()) {
    ObjectReader reader(document, place, findings);
    reader.name("name", result.name, true);
    readKind(reader, result.kind);
    reader.number("priority", result.priority, -10, 10);
    reader.number("weight", result.weight, 0.01, 1000);
    reader.number("max_in_flight", result.max_in_flight, 1, 100000);
    reader.number("max_queued", result.max_queued, 0, 100000);
    reader.number("max_tokens", result.max_tokens, 1, 1000000);
    reader.number("default_deadline_ms", result.default_deadline_ms, 1, 3600000);
  }
  if (!findings.empty()) return tl::make_unexpected(findings);
  return result;
}

Parsed<Tenant> parseTenant(const std::string& place, const std::string& text) {
  Findings findings;
  Tenant result;
  const json document = parseObject(place, text, findings);
  if (document.is_object()) {
    ObjectReader reader(document, place, findings);
    std::string name;
    reader.name("name", name, true);
    result.name = TenantId(name);
    readStrings(reader, "key_hashes", result.key_hashes);
    readStrings(reader, "scorers", result.scorers);
    readObjects(reader, "models", findings, [&result](ObjectReader& element) {
      std::string model;
      std::string template_name;
      element.name("model", model, true);
      element.name("template", template_name, true);
      result.models.push_back({ModelName(model), template_name});
    });
    readObjects(reader, "trainers", findings, [&result](ObjectReader& element) {
      TenantTrainer trainer;
      std::string id;
      std::string model;
      element.name("trainer", id, true);
      element.name("model", model, true);
      element.number("staleness_bound", trainer.staleness_bound, 0, 1000);
      element.number("steps_ahead", trainer.steps_ahead, 0, 64);
      trainer.trainer = TrainerId(id);
      trainer.model = ModelName(model);
      result.trainers.push_back(trainer);
    });
    checkKeyHashes(result, reader);
    checkTrainers(result, reader);
  }
  if (!findings.empty()) return tl::make_unexpected(findings);
  return result;
}

std::string sha256Hex(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int bytes = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &bytes, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int i = 0; i < bytes; ++i) {
    constexpr char kDigits[] = "0123456789abcdef";
    hex += kDigits[digest[i] >> 4];
    hex += kDigits[digest[i] & 15];
  }
  return hex;
}

}  // namespace linenpier::config
