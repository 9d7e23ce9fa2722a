#pragma once

/** @file
 * Tenants and the digests of their keys. Values only.
 *
 * Keys are secrets: only digests are kept, so that no log line, metric or message between daemons
 * can give a key away.
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

/** SHA-256 of a key. Unsalted: keys are long and random, so that none is found from its digest. */
using key_digest = std::array<std::uint8_t, 32>;

key_digest digestOf(std::string_view key);
std::string toHex(const key_digest& digest);
/** @return nothing if the text is not a digest in lower-case hexadecimal digits. */
std::optional<key_digest> digestFromHex(std::string_view text);

/** One of those who share the service. It may have no key. */
struct tenant {
  TenantId name;
  std::optional<int> priority;           ///< Goes before that of a route; 0 is the highest.
  std::vector<key_digest> keys;          ///< Each admits to the same.
  fleet::data_residency residency = {};  ///< Binds in addition to that of a route.

  bool operator==(const tenant&) const = default;
};

/** The tenants of one configuration.
 *
 * Invariant: a key belongs to one tenant.
 */
class tenant_table {
 public:
  /** Without tenants no request needs a key. */
  tenant_table() = default;

  /** @return the table, or a finding for each duplicate name or key. */
  static tl::expected<tenant_table, Findings> make(std::vector<tenant> tenants);

  /** @return whether requests need a key. */
  bool requiresKeys() const { return this->requires_keys_; }
  /** Compares digests in constant time. @return the tenant with the key, or nullptr. */
  const tenant* find(const key_digest& digest) const;
  /** @return the tenant's own priority, if it has one. */
  std::optional<int> priorityOf(const TenantId& name) const;
  /** @return where the tenant's requests may be served; anywhere if the tenant is not known. */
  fleet::data_residency residencyOf(const TenantId& name) const;
  const std::vector<tenant>& all() const { return this->tenants_; }

 private:
  bool requires_keys_ = false;
  std::vector<tenant> tenants_;
  std::map<TenantId, std::size_t> by_name_;
  std::multimap<std::uint64_t, std::pair<key_digest, std::size_t>> by_prefix_;
};

}  // namespace linenpier::routing
