#pragma once

/// @file
/// The text that a stand-in engine generates: each token is a function of the prompt and the
/// position, so that a checker can tell a whole answer from a mixed or torn one.

#include <cstdint>
#include <string>

namespace linenpier::standin {

/// @return the token at `position` of the answer to `prompt`.
std::string tokenAt(const std::string& prompt, std::uint32_t position);
/// @return the whole answer to `prompt` under a token limit.
std::string wholeText(const std::string& prompt, std::uint32_t max_tokens);
/// @return how many tokens the answer has: the number after "len=" in the prompt, or 32.
std::uint32_t answerLength(const std::string& prompt, std::uint32_t max_tokens);
/// @return the id after "once=" in the prompt; empty if there is none.
std::string onceId(const std::string& prompt);

}  // namespace linenpier::standin
