#pragma once

/** @file
 * The last report that a leader committed to: a row of the store.
 */

#include <string>

#include "gateway/usage/usage_port.h"

namespace linenpier::usage {

struct usage_progress {
  Revision revision = 0;  ///< Of the row; 0: no report yet.
  usage_report report;
  bool accepted = false;  ///< The platform accepted the report from this leader; not stored.
};

/** @return the row's value. */
std::string encodeProgress(const usage_report& report);
/** @return the progress; without counts if they are malformed. */
usage_progress decodeProgress(Revision revision, const std::string& value);

}  // namespace linenpier::usage
