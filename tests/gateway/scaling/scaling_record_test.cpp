#include "gateway/scaling/scaling_record.h"

#include <criterion/criterion.h>

using namespace linenpier;
using fleet::engine_group;
using fleet::PurchaseOption;
using scaling::scaling_record;

namespace {

const engine_group kA{ZoneName("a"), PurchaseOption::kOnDemand};
const engine_group kB{ZoneName("b"), PurchaseOption::kOnDemand};
const engine_group kC{ZoneName("c"), PurchaseOption::kOnDemand};
const engine_group kSpotB{ZoneName("b"), PurchaseOption::kSpot};

}  // namespace

Test(scaling_record, round_trips_and_rejects_malformed_text) {
  scaling_record record;
  record.baseline = {{kA, 4}, {kB, 4}, {kC, 4}};
  record.ordered = {{kA, 6}, {kSpotB, 0}};
  const auto read = scaling::decodeRecord(scaling::encodeRecord(record));
  cr_assert(read.has_value());
  cr_assert(*read == record);
  cr_assert_not(scaling::decodeRecord("6").has_value());
  cr_assert_not(scaling::decodeRecord("{}").has_value());
}
