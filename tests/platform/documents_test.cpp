#include "base64.h"
#include "batch_json_codec.h"
#include "configuration_document.h"
#include "engine_document.h"
#include "gateway/tenants/residency.h"

// Included last, since Criterion's macros break Boost headers that are included after them.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

using namespace linenpier;
using namespace linenpier::platform_adapter;

namespace {

constexpr char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"idempotent","timeoutMs":1500,
   "targetLatencyMs":150,"priority":2,"maxAttempts":2,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
  {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"rollout","service":"s1",
   "timeoutMs":10000,"targetLatencyMs":400,"maxAttempts":3,"maxQueueS":40.0,
   "targetFinishMs":7500,"singleVersion":false,"sticky":true,"resumable":true,"later":1}],
 "services":[{"name":"s1","healthPath":"/healthz","maxConnections":170,"coldStartS":3.0,"coldPerS":9.3,
   "engine":{"slots":16,"kvCacheTokens":52385,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

bool mentions(const Findings& findings, const std::string& place) {
  for (const Finding& finding : findings) {
    if (finding.place.find(place) != std::string::npos) return true;
  }
  return false;
}

}  // namespace

Test(documents, configuration_is_parsed) {
  const auto table = parseConfiguration(kConfiguration);
  cr_assert(table.has_value());
  cr_assert_eq(table->version, 7U);
  const routing::Route* route = table->find("a.example", "/x/1");
  cr_assert_eq(route->services.size(), 2U);
  cr_assert_eq(route->services[0].weight, 90U);
  cr_assert_eq(route->max_attempts, 2);
  cr_assert(route->timeout == std::chrono::milliseconds(1500));
  const routing::Route* batch = table->find("a.example", "/y/1");
  cr_assert_eq(batch->kind, routing::RequestKind::kBatch);
  cr_assert(batch->max_item_age == std::chrono::seconds(40));
  cr_assert_eq(table->services.at(ServiceName("s1")).models.size(), 1U);
  cr_assert_eq(table->limits.max_body_bytes, 1000U);
  const routing::Service& service = table->services.at(ServiceName("s1"));
  cr_assert_float_eq(service.cold_per_second, 9.3, 1e-9);
  cr_assert(service.cold_time == std::chrono::seconds(3));
}

Test(documents, configuration_errors_are_reported_with_their_place) {
  const auto table = parseConfiguration(
      R"({"version":"x","routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"odd"}]})");
  cr_assert_not(table.has_value());
  cr_assert(mentions(table.error(), "configuration.version"));
  cr_assert(mentions(table.error(), "routes[0].kind"));
  cr_assert(mentions(table.error(), "routes[0].service"));
  cr_assert_not(parseConfiguration("{").has_value());
  cr_assert_not(parseConfiguration("[]").has_value());
}

Test(documents, engine_entry_is_parsed) {
  const auto engine = parseEngine(
      "i-1",
      R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":16,
          "state":"draining","coldRemainingMs":1500,"models":[{"name":"m","version":4}],"seq":4})");
  cr_assert(engine.has_value());
  cr_assert_eq(engine->id.str(), "i-1");
  cr_assert(engine->draining);
  cr_assert_eq(engine->models.at(ModelName("m")), 4U);
  cr_assert(engine->cold_remaining == std::chrono::milliseconds(1500));
  cr_assert_not(parseEngine("i-1", "{}").has_value());
  cr_assert_not(parseEngine("i-1", R"({"service":"s","address":"nowhere"})").has_value());
  cr_assert_not(parseEngine("i-1", "nonsense").has_value());
}

Test(documents, malformed_engine_entries_are_rejected) {
  const std::string whole = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
      "state":"ready","born":1700000000123,"models":[{"name":"m","version":2}],"coldRemainingMs":0})";
  cr_assert(parseEngine("i-1", whole).has_value());
  cr_assert_eq(parseEngine("i-1", whole)->start, 1700000000123);
  const std::vector<std::pair<std::string, std::string>> malformed = {
      {R"("service":"s")", R"("service":7)"},
      {R"("service":"s")", R"("service":"")"},
      {R"("service":"s",)", ""},
      {R"("address":"10.0.0.1:80")", R"("address":["10.0.0.1",80])"},
      {R"("zone":"z",)", ""},
      {R"("zone":"z")", R"("zone":null)"},
      {R"("slots":4,)", ""},
      {R"("slots":4)", R"("slots":0)"},
      {R"("slots":4)", R"("slots":-3)"},
      {R"("slots":4)", R"("slots":"4")"},
      {R"("slots":4)", R"("slots":4.5)"},
      {R"("state":"ready",)", ""},
      {R"("state":"ready")", R"("state":"resting")"},
      {R"("born":1700000000123)", R"("born":1700000000.5)"},
      {R"("born":1700000000123)", R"("born":"soon")"},
      {R"("models":[{"name":"m","version":2}])", R"("models":{"m":2})"},
      {R"("version":2)", R"("version":"two")"},
      {R"("coldRemainingMs":0)", R"("coldRemainingMs":"long")"},
  };
  for (const auto& [part, other] : malformed) {
    std::string text = whole;
    text.replace(text.find(part), part.size(), other);
    cr_assert_not(parseEngine("i-1", text).has_value(), "%s", text.c_str());
  }
  for (const char* text : {"", "[]", "7", "\"\"", "\xff\xfe", "{\"service\":\"s\""}) {
    cr_assert_not(parseEngine("i-1", text).has_value(), "%s", text);
  }
}

Test(documents, engine_entry_round_trips) {
  const auto read =
      parseEngine("i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
      "state":"draining","born":1700000000123,"models":[{"name":"m","version":2}],
      "coldRemainingMs":1500,"spot":true,"leaves_ms":2500})");
  const auto again = parseEngine("i-1", encodeEngine(*read));
  cr_assert(again.has_value());
  cr_assert_eq(again->start, read->start);
  cr_assert(again->service == read->service);
  cr_assert(again->address == read->address);
  cr_assert(again->zone == read->zone);
  cr_assert_eq(again->slots, 4U);
  cr_assert(again->draining);
  cr_assert(again->spot);
  cr_assert(again->models == read->models);
  cr_assert(again->cold_remaining == read->cold_remaining);
  cr_assert(again->reclaim_in == read->reclaim_in);
}

Test(documents, published_version_is_read_from_version_rows_only) {
  const auto published = parsePublishedVersion("version/m", R"({"model":"m","version":8})");
  cr_assert_eq(published->version, 8U);
  cr_assert_not(parsePublishedVersion("other/m", R"({"model":"m","version":8})").has_value());
  cr_assert_not(parsePublishedVersion("version/m", R"({"model":"m"})").has_value());
}

Test(documents, batch_job_is_parsed_with_items) {
  const batch_json_codec codec;
  const auto job = codec.parseJob(JobId("j"),
                                  R"({"step":7,"model":"m","minVersion":6,"desired":12,"requests":[
          {"id":"i1","path":"/y/3","headers":{"Model":"m","Token-Usage":"540,400",
           "Length-Hint":"123"},"body":"q83vEjRWeJA=","tokens":940,"group":"g"}]})");
  cr_assert(job.has_value());
  cr_assert_eq(job->minimum_version, 6U);
  cr_assert_eq(job->desired_groups, 12U);
  const batch::batch_item& item = job->items.at(0);
  cr_assert_eq(item.body.size(), 8U);
  cr_assert_eq(item.model.str(), "m");
  cr_assert_eq(item.length_hint, 123U);
  cr_assert_eq(item.fields.size(), 3U);
}

Test(documents, batch_job_errors_are_reported_with_their_place) {
  const batch_json_codec codec;
  const auto job = codec.parseJob(
      JobId("j"),
      R"({"minVersion":"x","requests":[{"id":"i1","path":"/y/3","body":"!!"},{"path":7}]})");
  cr_assert_not(job.has_value());
  cr_assert(mentions(job.error(), "job.minVersion"));
  cr_assert(mentions(job.error(), "requests[0].body"));
  cr_assert(mentions(job.error(), "requests[1].id"));
  cr_assert(mentions(job.error(), "requests[1].path"));
  cr_assert_not(codec.parseJob(JobId("j"), "{}").has_value());
  cr_assert_not(codec.parseJob(JobId("j"), "\xff\xfe").has_value());
}

Test(documents, item_scorer_is_parsed) {
  const batch_json_codec codec;
  const auto job = codec.parseJob(JobId("j"), R"({"requests":[
      {"id":"a","path":"/x/1","scorer":{"id":"s","host":"h","path":"/y/2","body":"aGk="}},
      {"id":"b","path":"/x/2"}]})");
  cr_assert(job.has_value());
  const batch::reward_request expected{"s", "h", "/y/2", "hi"};
  cr_assert(job->items[0].scorer == expected);
  cr_assert_not(job->items[1].scorer.has_value());
}

Test(documents, scorer_errors_are_reported_with_their_place) {
  const batch_json_codec codec;
  const auto job = codec.parseJob(JobId("j"), R"({"requests":[
      {"id":"a","path":"/x/1","scorer":"s"},
      {"id":"b","path":"/x/2","scorer":{"id":7,"host":"h","body":"?"}}]})");
  cr_assert_not(job.has_value());
  cr_assert(mentions(job.error(), "requests[0].scorer"));
  cr_assert(mentions(job.error(), "requests[1].scorer.id"));
  cr_assert(mentions(job.error(), "requests[1].scorer.path"));
  cr_assert(mentions(job.error(), "requests[1].scorer.body"));
}

Test(documents, result_page_has_expected_format) {
  const batch_json_codec codec;
  batch::batch_result result;
  result.item = ItemId("i");
  result.text = "a\nb";
  result.versions = {6, 7};
  const std::string encoded = codec.encodeResult(result);
  cr_assert_eq(encoded, R"({"id":"i","state":"completed","text":"a\nb","versions":[6,7]})");
  cr_assert_eq(codec.encodePage(40, 13, {encoded}),
               R"({"total":40,"nextToken":13,"results":[)" + encoded + "]}");
}

Test(base64, round_trip) {
  for (std::size_t length = 0; length < 20; ++length) {
    std::string bytes;
    for (std::size_t i = 0; i < length; ++i) bytes.push_back(static_cast<char>(i * 37));
    cr_assert_eq(*decodeBase64(encodeBase64(bytes)), bytes);
  }
  cr_assert_not(decodeBase64("abc").has_value());
  cr_assert_not(decodeBase64("ab!=").has_value());
}

Test(documents, scaling_bounds_are_parsed) {
  const auto table = parseConfiguration(
      R"({"version":1,"services":[{"name":"s","scaling":{"min":1,"max":32,"bootTimeS":4.0,
          "spotPrice":0.22,"zonePrices":{"a":1.0,"b":0.8}}},{"name":"t"}]})");
  cr_assert(table.has_value());
  const auto& bounds = table->services.at(ServiceName("s")).scaling;
  cr_assert(bounds.has_value());
  cr_assert_eq(bounds->min_engines, 1U);
  cr_assert_eq(bounds->max_engines, 32U);
  cr_assert(bounds->boot_time == std::chrono::seconds(4));
  cr_assert_eq(bounds->spot_price, 0.22);
  cr_assert_eq(bounds->priceOf({ZoneName("b"), fleet::PurchaseOption::kOnDemand}), 0.8);
  cr_assert_eq(bounds->priceOf({ZoneName("c"), fleet::PurchaseOption::kOnDemand}), 1.0);
  cr_assert_not(table->services.at(ServiceName("t")).scaling.has_value());
}

Test(documents, invalid_scaling_bounds_are_reported) {
  const auto table = parseConfiguration(
      R"({"version":1,"services":[{"name":"s","scaling":{"min":5,"max":3}},
          {"name":"t","scaling":{"min":1}}]})");
  cr_assert_not(table.has_value());
  cr_assert(mentions(table.error(), "services[0].scaling.max"));
  cr_assert(mentions(table.error(), "services[1].scaling.max"));
}

Test(documents, spot_engine_and_its_departure_are_parsed) {
  const auto spot =
      parseEngine("i-1", R"({"service":"s","address":"10.0.0.1:8080","zone":"a","state":"draining",
                 "slots":2,"spot":true,"leaves_ms":2500})");
  cr_assert(spot.has_value());
  cr_assert(spot->spot);
  cr_assert(spot->draining);
  cr_assert(*spot->reclaim_in == std::chrono::milliseconds(2500));
  const auto other = parseEngine("i-2", R"({"service":"s","address":"10.0.0.2:8080","zone":"a",
                 "slots":2,"state":"ready"})");
  cr_assert_not(other->spot);
  cr_assert_not(other->reclaim_in.has_value());
}

Test(documents, allowed_regions_are_parsed) {
  const auto table = parseConfiguration(
      R"({"version":1,"routes":[
        {"name":"bound","host":"h","pathPrefix":"/b/","kind":"idempotent","service":"s",
         "allowedRegions":["r1","r2"]},
        {"name":"free","host":"h","pathPrefix":"/f/","kind":"idempotent","service":"s"},
        {"name":"empty","host":"h","pathPrefix":"/e/","kind":"idempotent","service":"s",
         "allowedRegions":[]}],
       "services":[{"name":"s"}],
       "tenants":[{"name":"ada","apiKeys":["k"],"allowedRegions":["r2","r3"]},
                  {"name":"bob","apiKeys":["l"]}]})");
  cr_assert(table.has_value());
  const routing::Route* bound = table->find("h", "/b/1");
  const TenantId ada("ada");
  cr_assert(bound->residency == fleet::data_residency({RegionName("r1"), RegionName("r2")}));
  cr_assert_not(table->find("h", "/f/1")->residency.isRestricted());
  cr_assert_not(table->find("h", "/e/1")->residency.isRestricted(),
                "an empty list means no restriction");
  cr_assert(tenants::residencyOf(*table, bound, ada) == fleet::data_residency({RegionName("r2")}));
  cr_assert(tenants::residencyOf(*table, bound, TenantId("bob")) == bound->residency);
  cr_assert_not(tenants::residencyOf(*table, table->find("h", "/f/1"), TenantId()).isRestricted());
}

Test(documents, allowed_regions_of_wrong_type_are_reported) {
  const auto table = parseConfiguration(
      R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent",
          "service":"s","allowedRegions":"r1"}]})");
  cr_assert_not(table.has_value());
  cr_assert(mentions(table.error(), "allowedRegions"));
}
