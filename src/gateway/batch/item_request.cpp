#include "gateway/batch/item_request.h"

#include <string>

#include "gateway/batch/active_job.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

http::Request itemRequest(const active_job& active, ItemIndex item,
                          const forward::field_names& names,
                          const routing::ConfigurationPtr& table) {
  const batch_item& each = active.run.job().items[item];
  http::Request request(boost::beast::http::verb::post, each.path, 11);
  request.set(boost::beast::http::field::host, active.record.host);
  for (const auto& [name, value] : each.fields) request.insert(name, value);
  request.set(names.request_id, each.id.str());
  const item_progress& progress = active.run.progress(item);
  if (progress.last_event > 0) {
    request.set(names.last_event_id, std::to_string(progress.last_event));
  }
  if (table) {
    tenants::setTenantField(*table, names.tenant, active.record.tenant, request);
    const std::optional<int> priority = table->tenants.priorityOf(active.record.tenant);
    if (priority) request.set(names.priority, std::to_string(*priority));
  }
  request.body() = each.body;
  request.prepare_payload();
  return request;
}

}  // namespace linenpier::batch
