#include "common/read_file.h"

#include <fstream>
#include <sstream>

namespace linenpier::settings {

tl::expected<std::string, Findings> readFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) return tl::make_unexpected(Findings{{path, "cannot be read"}});
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace linenpier::settings
