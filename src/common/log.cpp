#include "common/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace linenpier {

namespace logging = boost::log;

static logging::trivial::severity_level severityFromName(const std::string& name) {
  logging::trivial::severity_level level = logging::trivial::info;
  logging::trivial::from_string(name.data(), name.size(), level);
  return level;
}

void setUpLogging(const std::string& minimum) {
  namespace expressions = logging::expressions;
  logging::add_common_attributes();
  logging::add_console_log(
      std::clog, logging::keywords::auto_flush = true,
      logging::keywords::format =
          expressions::stream << expressions::format_date_time<boost::posix_time::ptime>(
                                     "TimeStamp", "%Y-%m-%d %H:%M:%S.%f")
                              << " " << logging::trivial::severity << " " << expressions::smessage);
  logging::core::get()->set_filter(logging::trivial::severity >= severityFromName(minimum));
}

}  // namespace linenpier
