#pragma once

/** @file
 * Batch jobs: many requests that are submitted together and run asynchronously. Each result gets a
 * position that never changes.
 */

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace linenpier::batch {

/** The request that scores the text of an item once it is complete. */
struct reward_request {
  std::string id;
  std::string host;
  std::string path;
  std::string body;

  bool operator==(const reward_request&) const = default;
};

/** The score of a text, as returned by its reward request. */
struct reward_score {
  std::string request_id;  ///< Id of the reward request.
  std::string signature;   ///< Signature of the response; returned to the trainer as the score.

  bool operator==(const reward_score&) const = default;
};

struct batch_item {
  ItemId id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> fields;  ///< HTTP header fields, in order.
  std::string body;
  GroupId group;
  ModelName model;                       ///< Model of the item; empty if not specified.
  double tokens = 0;                     ///< Prompt tokens plus the maximum of generated tokens.
  std::uint64_t length_hint = 0;         ///< Expected number of generated tokens; 0: unknown.
  std::optional<reward_request> scorer;  ///< Request that scores the text, if it is to be scored.
};

/** A job as submitted. */
struct batch_job {
  JobId id;
  std::vector<batch_item> items;
  std::optional<std::uint64_t> step;
  WeightVersion minimum_version = 0;
  std::size_t desired_groups = 0;  ///< Complete groups that the trainer waits for; 0: all.
};

enum class ResultState { kCompleted, kTerminated };

struct batch_result {
  ItemId item;
  ResultState state = ResultState::kCompleted;
  std::string text;
  std::set<WeightVersion> versions;
  std::string score;  ///< Score of the text; empty if the item has no scorer.
};

/** A job's row, which is known to all daemons. */
struct job_record {
  JobId id;
  LeaseId owner;     ///< Owner of the job; empty: any daemon may take the job over.
  std::string host;  ///< Host of the route that the job was submitted to.
  std::string path;
  ModelName model;  ///< Model of the items; empty if not specified.
  TenantId tenant;  ///< Tenant that submitted the job; empty: the job is public.
  /// Routes of items and scorers that differ from the job's route.
  std::set<RouteName> other_routes;
  std::size_t total = 0;
  std::size_t body_rows = 0;  ///< Rows that hold the submitted job; 0: it is stored as an object.
  /// Number of results visible to readers. Later results are stored but not published.
  std::size_t published = 0;
  bool ended = false;
  bool started = false;          ///< An owner may have stored results or checkpoints.
  std::int64_t accepted_ms = 0;  ///< Time of acceptance by the store's clock.
};

}  // namespace linenpier::batch
