#include "gateway/routing/tenant_table.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

namespace linenpier::routing {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

/** @return the index key of a digest. The index only narrows the search; whole digests are compared
 * in constant time. */
std::uint64_t prefixOf(const key_digest& digest) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, digest.data(), sizeof(prefix));
  return prefix;
}

}  // namespace

key_digest digestOf(std::string_view key) {
  key_digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  return digest;
}

std::string toHex(const key_digest& digest) {
  std::string text;
  for (const std::uint8_t byte : digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

std::optional<key_digest> digestFromHex(std::string_view text) {
  key_digest digest{};
  if (text.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t value = kDigits.find(text[i]);
    if (value == std::string_view::npos) return std::nullopt;
    digest[i / 2] = static_cast<std::uint8_t>(digest[i / 2] << 4U | value);
  }
  return digest;
}

tl::expected<tenant_table, Findings> tenant_table::make(std::vector<tenant> tenants) {
  Findings findings;
  tenant_table table;
  table.requires_keys_ = true;
  std::map<key_digest, std::size_t> owners;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const std::string place = "tenants[" + std::to_string(i) + "]";
    if (!table.by_name_.emplace(tenants[i].name, i).second) {
      findings.push_back({place + ".name", "is not unique"});
    }
    for (const key_digest& digest : tenants[i].keys) {
      const auto [owner, fresh] = owners.try_emplace(digest, i);
      if (fresh) {
        table.by_prefix_.emplace(prefixOf(digest), std::pair(digest, i));
      } else if (owner->second != i) {
        findings.push_back(
            {place, "shares a key with tenants[" + std::to_string(owner->second) + "]"});
      }
    }
  }
  if (!findings.empty()) return tl::make_unexpected(findings);
  table.tenants_ = std::move(tenants);
  return table;
}

const tenant* tenant_table::find(const key_digest& digest) const {
  const tenant* found = nullptr;
  const auto [begin, end] = this->by_prefix_.equal_range(prefixOf(digest));
  for (auto at = begin; at != end; ++at) {
    const auto& [known, index] = at->second;
    if (CRYPTO_memcmp(known.data(), digest.data(), digest.size()) == 0) {
      found = &this->tenants_[index];
    }
  }
  return found;
}

std::optional<int> tenant_table::priorityOf(const TenantId& name) const {
  const auto at = this->by_name_.find(name);
  return at == this->by_name_.end() ? std::nullopt : this->tenants_[at->second].priority;
}

fleet::data_residency tenant_table::residencyOf(const TenantId& name) const {
  const auto at = this->by_name_.find(name);
  return at == this->by_name_.end() ? fleet::data_residency()
                                    : this->tenants_[at->second].residency;
}

}  // namespace linenpier::routing
