#pragma once

/** @file
 * Batch jobs: many requests handed in together, run afterwards, whose results are appended one by
 * one at positions that never change.
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

/** The request that scores an item's text once it is complete. */
struct reward_request {
  std::string id;
  std::string host;
  std::string path;
  std::string body;

  bool operator==(const reward_request&) const = default;
};

/** A score, and the request that earned it. */
struct reward_score {
  std::string request_id;
  std::string signature;  ///< Of the answer; what a trainer is given.

  bool operator==(const reward_score&) const = default;
};

struct batch_item {
  ItemId id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> fields;  ///< HTTP fields, in order.
  std::string body;
  GroupId group;
  ModelName model;                       ///< Empty: none named.
  double tokens = 0;                     ///< Of the prompt, plus the most that may come out.
  std::uint64_t length_hint = 0;         ///< Expected tokens out; 0: not known.
  std::optional<reward_request> scorer;  ///< Absent: the text needs no score.
};

/** A job as it was handed in. */
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
  std::string score;  ///< Empty where the item has no scorer.
};

/** What every daemon knows of a job: the row that stands for it. */
struct job_record {
  JobId id;
  LeaseId owner;     ///< Empty: nobody, to be taken.
  std::string host;  ///< Of the route that it was handed in under.
  std::string path;
  ModelName model;  ///< Of its items; empty if none is named.
  TenantId tenant;  ///< Who handed it in; empty: nobody in particular, everybody may read it.
  std::set<RouteName> other_routes;  ///< Of items and scorers, where they are others'.
  std::size_t total = 0;
  std::size_t body_rows = 0;  ///< That hold the job as handed in; 0: an object does.
  std::size_t published = 0;  ///< Results that readers are shown; those behind are kept back.
  bool ended = false;
  bool started = false;          ///< An owner may have appended or kept something already.
  std::int64_t accepted_ms = 0;  ///< By the store's clock.
};

}  // namespace linenpier::batch
