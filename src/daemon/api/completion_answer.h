#pragma once

/// @file
/// Writes OpenAI-style answers, whole or as server-sent events, with the weight versions that
/// produced them.

#include <string>
#include <vector>

#include "daemon/api/completion_request.h"
#include "daemon/ports/engine_client.h"

namespace linenpier::api {

/// @return one server-sent event for a piece.
std::string pieceEvent(CompletionKind kind, const RequestId& id, const ModelName& model,
                       const engine::Piece& piece);
/// @return the last piece's event and the end mark.
std::string endEvents(CompletionKind kind, const RequestId& id, const ModelName& model,
                      const std::vector<wire::VersionPiece>& pieces);
/// @return the whole answer in one JSON object.
std::string wholeAnswer(CompletionKind kind, const RequestId& id, const ModelName& model,
                        const std::string& text, const std::vector<wire::VersionPiece>& pieces);

}  // namespace linenpier::api
