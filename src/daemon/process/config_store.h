#pragma once

/// @file
/// The configuration in the table: one row an item and one head row that counts all changes.

#include <string>
#include <vector>

#include "daemon/config/config_state.h"
#include "daemon/ports/conditional_write.h"

namespace linenpier::daemon {

/// Everything in the table at one revision.
struct StoredConfig {
  Revision revision = 0;
  std::vector<wire::ConfigItem> items;  ///< Empty if the revision is the one already had.
};

/// An operator's edit.
struct ConfigEdit {
  std::string key;         ///< "template/NAME" or "tenant/NAME".
  Revision made_from = 0;  ///< Revision of the item that the operator saw; 0 for a new one.
  std::string document;    ///< Checked JSON.
};

enum class EditOutcome { kAccepted, kConflict, kNotAccepted, kUnknown };

struct EditResult {
  EditOutcome outcome = EditOutcome::kUnknown;
  wire::ConfigItem item;  ///< As accepted, or as it stands in the table if there was a conflict.
};

/// Blocking; safe from any thread.
class ConfigStore {
 public:
  explicit ConfigStore(table::TableClientSharedPtr table) : table_(std::move(table)) {}

  /// @param have the items are not read if the head is still at this revision; 0 reads them.
  CallResult<StoredConfig> read(Revision have) const;
  /// Commits an edit by compare-and-set on the item and on the head. A lost answer is settled by
  /// the attempt id; an edit is accepted only if it is in the table.
  EditResult commit(const ConfigEdit& edit, const AttemptId& attempt) const;

 private:
  table::TableClientSharedPtr table_;
};

}  // namespace linenpier::daemon
