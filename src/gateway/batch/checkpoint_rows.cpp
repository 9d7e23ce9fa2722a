#include "gateway/batch/checkpoint_rows.h"

#include <algorithm>
#include <cstdlib>

namespace linenpier::batch {

namespace {

// The value of each row starts with "NUMBER/COUNT:", such as "2/3:" for the second of three pieces.
constexpr char kCountSeparator = '/';
constexpr char kHeaderEnd = ':';
constexpr std::size_t kHeaderBytes = 32;  ///< Maximum size of the "NUMBER/COUNT:" header.

/** A piece of an encoded part, as stored in one row. */
struct row_piece {
  std::size_t number = 0;  ///< Number of the piece, from 1; 0: the value is malformed.
  std::size_t count = 0;
  std::string bytes;
};

row_piece parsePiece(const std::string& value) {
  const std::size_t slash = value.find(kCountSeparator);
  const std::size_t colon = value.find(kHeaderEnd);
  if (slash == std::string::npos || colon == std::string::npos || colon < slash) return {};
  row_piece piece;
  piece.number = std::strtoull(value.c_str(), nullptr, 10);
  piece.count = std::strtoull(value.c_str() + slash + 1, nullptr, 10);
  piece.bytes = value.substr(colon + 1);
  return piece;
}

}  // namespace

std::vector<std::string> toRows(const item_checkpoints& part, std::size_t max_bytes) {
  const std::string bytes = encodeCheckpoint(part);
  const std::size_t room = max_bytes - kHeaderBytes;
  const std::size_t pieces = std::max<std::size_t>(1, (bytes.size() + room - 1) / room);
  std::vector<std::string> rows;
  rows.reserve(pieces);
  for (std::size_t i = 0; i < pieces; ++i) {
    std::string row = std::to_string(i + 1) + kCountSeparator + std::to_string(pieces) + kHeaderEnd;
    row.append(bytes, i * room, room);
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<item_checkpoints> partsFromRows(const std::vector<std::string>& values) {
  std::vector<item_checkpoints> parts;
  std::string bytes;
  std::size_t next = 1;
  for (const std::string& value : values) {
    row_piece piece = parsePiece(value);
    if (piece.number == 1) {
      bytes.clear();
      next = 1;
    }
    if (piece.number != next || piece.number == 0) {
      next = 0;
      continue;
    }
    bytes += piece.bytes;
    ++next;
    if (piece.number < piece.count) continue;
    if (auto part = decodeCheckpoint(bytes)) parts.push_back(std::move(*part));
    next = 0;
  }
  return parts;
}

}  // namespace linenpier::batch
