#pragma once

#include <string>

#include "schema/settings.pb.h"

namespace fuchsiadrum::daemon {

/// Starts the log on standard error; with `json` one JSON object a line.
void StartLogging(const std::string& vm, const pb::LogSettings& settings);

/// Writes one line. The text starts with the prefix of its part, for example
/// "front: listening on 127.0.0.1:8080"; `severity` is a name of Boost.Log.
void LogLine(const std::string& severity, const std::string& text);

}  // namespace fuchsiadrum::daemon
