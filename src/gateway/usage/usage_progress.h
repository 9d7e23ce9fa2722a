#pragma once

/** @file
 * The last report that a leader committed to: a row of the store.
 */

#include <string>

#include "gateway/usage/usage_port.h"

namespace linenpier::usage {

struct usage_progress {
  Revision revision = 0;  ///< Revision of the progress row; 0: there was no report.
  usage_report report;
  bool accepted = false;  ///< The platform accepted the report from this leader; not stored.
};

/** @return the value of the progress row for the report. */
std::string encodeProgress(const usage_report& report);
/** @return the progress; without counts if they are malformed. */
usage_progress decodeProgress(Revision revision, const std::string& value);

}  // namespace linenpier::usage
