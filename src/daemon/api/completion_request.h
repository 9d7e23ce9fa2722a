#pragma once

/// @file
/// Reads OpenAI-style completion requests.

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "common/ids.h"

namespace linenpier::api {

enum class CompletionKind { kText, kChat };

struct CompletionRequest {
  CompletionKind kind = CompletionKind::kText;
  ModelName model;
  std::string prompt;            ///< For a chat: its messages, one a line, with their roles.
  std::uint32_t max_tokens = 0;  ///< 0: not given.
  bool stream = false;
};

/// @return the request, or what is wrong with it as one sentence.
tl::expected<CompletionRequest, std::string> parseCompletion(CompletionKind kind,
                                                             const std::string& body);

}  // namespace linenpier::api
