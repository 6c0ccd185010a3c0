#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/messages.h"

namespace fuchsiadrum::daemon {

/// Reads the answer to a read of the log; nullopt if it is malformed.
std::optional<LogRead> ParseLogRead(const std::string& json);
/// Reads the VM list; nullopt if it is malformed.
std::optional<std::vector<node::ListedVm>> ParseVmList(const std::string& json);

}  // namespace fuchsiadrum::daemon
