#pragma once

/** @file
 * Builds the HTTP request of an item. Pure.
 */

#include "gateway/batch/batch_run.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/configuration.h"

namespace linenpier::batch {

struct active_job;

/** @return the item's request, which resumes after the last event received.
 * @param table the newest table, which provides the tenant's fields; may be null.
 */
http::Request itemRequest(const active_job& active, ItemIndex item,
                          const forward::field_names& names,
                          const routing::ConfigurationPtr& table);

}  // namespace linenpier::batch
