#include "daemon/logging.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "daemon/clock.h"

namespace fuchsiadrum::daemon {
namespace {

namespace blog = boost::log;
using blog::trivial::severity_level;

severity_level LevelOf(const std::string& name) {
  severity_level level = severity_level::info;
  blog::trivial::from_string(name.c_str(), name.size(), level);
  return level;
}

std::string LineOf(const blog::record_view& record) {
  const auto level = record[blog::trivial::severity];
  const auto text = record[blog::expressions::smessage];
  return std::string(blog::trivial::to_string(level.get())) + " " + text.get();
}

std::string JsonOf(const blog::record_view& record, const std::string& vm) {
  const std::string& text = record[blog::expressions::smessage].get();
  const size_t colon = text.find(": ");
  nlohmann::json line;
  line["unix_us"] = Now().us;
  line["vm"] = vm;
  line["severity"] =
      blog::trivial::to_string(record[blog::trivial::severity].get());
  line["part"] = colon == std::string::npos ? "" : text.substr(0, colon);
  line["text"] = colon == std::string::npos ? text : text.substr(colon + 2);
  // Bytes from outside may not be UTF-8; a log line must never throw.
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void StartLogging(const std::string& vm, const pb::LogSettings& settings) {
  const bool json = settings.json();
  const auto sink = blog::add_console_log(std::clog);
  sink->locked_backend()->auto_flush(true);
  sink->set_formatter([json, vm](const blog::record_view& record,
                                 blog::formatting_ostream& out) {
    out << (json ? JsonOf(record, vm) : LineOf(record));
  });
  blog::core::get()->set_filter(blog::trivial::severity >=
                                LevelOf(settings.level()));
}

void LogLine(const std::string& severity, const std::string& text) {
  BOOST_LOG_SEV(blog::trivial::logger::get(), LevelOf(severity)) << text;
}

}  // namespace fuchsiadrum::daemon
