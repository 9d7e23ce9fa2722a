#pragma once

/** @file
 * What the leader decided to report last: a row of the store. Values.
 */

#include <string>

#include "gateway/usage/usage_port.h"

namespace linenpier::usage {

struct usage_progress {
  Revision revision = 0;  ///< Of the row; 0: nothing was ever decided.
  usage_report report;
  bool taken = false;  ///< The platform took the report from this leader; not part of the row.
};

/** @return the row's value. */
std::string encodeProgress(const usage_report& report);
/** @return the progress; without counts if the value holds none that can be read. */
usage_progress decodeProgress(Revision revision, const std::string& value);

}  // namespace linenpier::usage
