#include "daemon/api/completion_answer.h"

#include <nlohmann/json.hpp>

namespace linenpier::api {

using nlohmann::json;

namespace {

json versionsJson(const std::vector<wire::VersionPiece>& pieces) {
  json versions = json::array();
  for (const wire::VersionPiece& piece : pieces) {
    versions.push_back({{"version", piece.version}, {"tokens", piece.tokens}});
  }
  return versions;
}

json envelope(CompletionKind kind, const RequestId& id, const ModelName& model, bool chunk) {
  const bool chat = kind == CompletionKind::kChat;
  const std::string object =
      chat ? (chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
  return {{"id", id.str()}, {"object", object}, {"model", model.str()}};
}

std::string event(const json& object) {
  return "data: " + object.dump() + "\n\n";
}

}  // namespace

std::string pieceEvent(CompletionKind kind, const RequestId& id, const ModelName& model,
                       const engine::Piece& piece) {
  json object = envelope(kind, id, model, true);
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (kind == CompletionKind::kChat) {
    choice["delta"] = {{"content", piece.text}};
  } else {
    choice["text"] = piece.text;
  }
  object["choices"] = json::array({choice});
  object["weight_version"] = piece.version;
  object["tokens"] = piece.tokens;
  return event(object);
}

std::string endEvents(CompletionKind kind, const RequestId& id, const ModelName& model,
                      const std::vector<wire::VersionPiece>& pieces) {
  json object = envelope(kind, id, model, true);
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (kind == CompletionKind::kChat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  object["choices"] = json::array({choice});
  object["weight_versions"] = versionsJson(pieces);
  return event(object) + "data: [DONE]\n\n";
}

std::string wholeAnswer(CompletionKind kind, const RequestId& id, const ModelName& model,
                        const std::string& text, const std::vector<wire::VersionPiece>& pieces) {
  json object = envelope(kind, id, model, false);
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (kind == CompletionKind::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  std::uint32_t tokens = 0;
  for (const wire::VersionPiece& piece : pieces) tokens += piece.tokens;
  object["choices"] = json::array({choice});
  object["weight_versions"] = versionsJson(pieces);
  object["usage"] = {{"completion_tokens", tokens}};
  return object.dump();
}

}  // namespace linenpier::api
