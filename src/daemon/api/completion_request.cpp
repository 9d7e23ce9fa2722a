#include "daemon/api/completion_request.h"

#include <nlohmann/json.hpp>

namespace linenpier::api {

using nlohmann::json;

namespace {

constexpr std::uint32_t kMaxTokens = 1000000;

tl::unexpected<std::string> wrong(const std::string& problem) {
  return tl::make_unexpected(problem);
}

tl::expected<std::string, std::string> readMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return wrong("\"messages\" must be an array with at least one message.");
  }
  std::string prompt;
  for (const json& message : *messages) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() && message.contains("content") &&
                       message["content"].is_string();
    if (!valid) return wrong("Each message must have a \"role\" and a \"content\" string.");
    prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>();
    prompt += '\n';
  }
  return prompt;
}

tl::expected<std::string, std::string> readPrompt(const json& body) {
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) return wrong("\"prompt\" must be a string.");
  return prompt->get<std::string>();
}

}  // namespace

tl::expected<CompletionRequest, std::string> parseCompletion(CompletionKind kind,
                                                             const std::string& body) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return wrong("The body must be a JSON object.");
  CompletionRequest request;
  request.kind = kind;
  const auto model = object.find("model");
  if (model == object.end() || !model->is_string()) return wrong("\"model\" must be a string.");
  request.model = ModelName(model->get<std::string>());
  const auto prompt = kind == CompletionKind::kChat ? readMessages(object) : readPrompt(object);
  if (!prompt) return tl::make_unexpected(prompt.error());
  request.prompt = *prompt;
  if (const auto tokens = object.find("max_tokens"); tokens != object.end()) {
    const bool valid = tokens->is_number_integer() && tokens->get<std::int64_t>() >= 1 &&
                       tokens->get<std::int64_t>() <= kMaxTokens;
    if (!valid) return wrong("\"max_tokens\" must be a whole number from 1 to 1000000.");
    request.max_tokens = tokens->get<std::uint32_t>();
  }
  if (const auto stream = object.find("stream"); stream != object.end()) {
    if (!stream->is_boolean()) return wrong("\"stream\" must be true or false.");
    request.stream = stream->get<bool>();
  }
  return request;
}

}  // namespace linenpier::api
