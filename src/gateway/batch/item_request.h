#pragma once

/** @file
 * The request that an item is sent with, and the key under which engines that crash under it are
 * counted. Pure.
 */

#include "gateway/batch/batch_run.h"
#include "gateway/forward/field_names.h"
#include "gateway/http/http_types.h"
#include "gateway/routing/route_table.h"
#include "gateway/suspects/suspect_tracker.h"

namespace linenpier::batch {

struct active_job;

/** @return the item's request; it asks for the events behind those that the item has already.
 * @param table the newest one, which names the tenant and its priority; may be empty.
 */
http::Request itemRequest(const active_job& active, ItemIndex item,
                          const forward::field_names& names, const routing::RouteTablePtr& table);

suspects::request_key keyOf(const active_job& active, ItemIndex item);

}  // namespace linenpier::batch
