#pragma once

/** @file
 * Tenants and the digests of their keys. The keys themselves are not stored, so that they can't
 * leak into logs, metrics or messages between daemons.
 */

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "gateway/fleet/data_residency.h"

namespace linenpier::routing {

/** SHA-256 of a key. No salt is needed, as keys are long and random. */
using key_digest = std::array<std::uint8_t, 32>;

key_digest digestOf(std::string_view key);
std::string toHex(const key_digest& digest);
/** @return the digest; no value if the text is not a digest in lower-case hexadecimal digits. */
std::optional<key_digest> digestFromHex(std::string_view text);

struct tenant {
  TenantId name;
  std::optional<int> priority;   ///< Priority that overrides that of a route; 0 is the highest.
  std::vector<key_digest> keys;  ///< Digests of the accepted keys; may be empty.
  fleet::data_residency residency = {};  ///< Residency that applies in addition to that of a route.

  bool operator==(const tenant&) const = default;
};

/** The tenants of one configuration. Invariant: a key belongs to one tenant. */
class tenant_table {
 public:
  /** Constructs an empty table, with which no request requires a key. */
  tenant_table() = default;

  /** @return the table, or an error for each duplicate name or key. */
  static tl::expected<tenant_table, Findings> make(std::vector<tenant> tenants);

  bool requiresKeys() const { return this->requires_keys_; }
  /** Compares digests in constant time. @return the tenant with the key, or nullptr. */
  const tenant* find(const key_digest& digest) const;
  std::optional<int> priorityOf(const TenantId& name) const;
  /** @return the residency of the tenant; unrestricted if the tenant is unknown. */
  fleet::data_residency residencyOf(const TenantId& name) const;
  const std::vector<tenant>& all() const { return this->tenants_; }

 private:
  bool requires_keys_ = false;
  std::vector<tenant> tenants_;
  std::map<TenantId, std::size_t> by_name_;
  std::multimap<std::uint64_t, std::pair<key_digest, std::size_t>> by_prefix_;
};

}  // namespace linenpier::routing
