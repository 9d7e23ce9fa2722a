#include "testbed/standin/token_text.h"

#include <algorithm>
#include <charconv>

#include "common/hash.h"

namespace linenpier::standin {

namespace {

constexpr std::uint32_t kDefaultLength = 32;

/// @return the text between `name` and the next ';' or the end.
std::string field(const std::string& prompt, const std::string& name) {
  const auto begin = prompt.find(name);
  if (begin == std::string::npos) return "";
  const auto value = begin + name.size();
  return prompt.substr(value, prompt.find(';', value) - value);
}

}  // namespace

std::string tokenAt(const std::string& prompt, std::uint32_t position) {
  constexpr char kLetters[] = "abcdefghijklmnopqrstuvwxyz";
  std::uint64_t hash = hash64(prompt, position + 1);
  std::string token;
  for (int i = 0; i < 4; ++i) {
    token += kLetters[hash % 26];
    hash /= 26;
  }
  return token + " ";
}

std::string wholeText(const std::string& prompt, std::uint32_t max_tokens) {
  std::string text;
  const std::uint32_t length = answerLength(prompt, max_tokens);
  for (std::uint32_t position = 0; position < length; ++position) text += tokenAt(prompt, position);
  return text;
}

std::uint32_t answerLength(const std::string& prompt, std::uint32_t max_tokens) {
  const std::string text = field(prompt, "len=");
  std::uint32_t length = kDefaultLength;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return std::clamp(length, 1U, max_tokens);
}

std::string onceId(const std::string& prompt) {
  return field(prompt, "once=");
}

}  // namespace linenpier::standin
