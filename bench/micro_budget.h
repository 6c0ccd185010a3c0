#pragma once

#include <nlohmann/json.hpp>

namespace fuchsiadrum::bench {

/// Costs of the budget parts: nanoseconds of reserve + settle + confirm and of
/// one folded record, bytes of state for each grant and account, control
/// bytes/s of a daemon and how they grow with organisations and peers. The
/// times depend on the machine, everything else does not.
nlohmann::json MeasureBudget();

}  // namespace fuchsiadrum::bench
