#include "common/http_syntax.h"

#include <algorithm>

namespace linenpier {

namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool isTokenCharacter(char character) {
  const bool alphanumeric = (character >= '0' && character <= '9') ||
                            (character >= 'A' && character <= 'Z') ||
                            (character >= 'a' && character <= 'z');
  return alphanumeric || kTokenPunctuation.find(character) != std::string_view::npos;
}

}  // namespace

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isDefinedStatus(unsigned status) {
  return status >= 100 && status <= 599;
}

}  // namespace linenpier
