#include "daemon/answer_fault_log.h"

#include "daemon/logging.h"

namespace fuchsiadrum::daemon {

void AnswerFaultLog::Count(const std::string& address,
                           serving::AnswerFault fault) {
  const std::string name(serving::AnswerFaultName(fault));
  LogLine("warning", "http: answer of " + address + " is malformed: " + name);
  this->metrics.Count("malformed_answers_total",
                      {{"server", address}, {"fault", name}});
}

}  // namespace fuchsiadrum::daemon
