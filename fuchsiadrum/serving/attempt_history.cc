#include "fuchsiadrum/serving/attempt_history.h"

namespace fuchsiadrum::serving {
namespace {

void AppendItem(std::string& list, std::string_view item) {
  if (!list.empty()) list += ',';
  list += item;
}

/// True if the upstream may have run the request in an attempt with this
/// outcome.
bool MayHaveRun(AttemptOutcome outcome, bool was_sent) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kRejected:
      return false;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBrokenMidway:
    case AttemptOutcome::kUnprovenEnd:
      return true;
    case AttemptOutcome::kComplete:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCallerGone:
    case AttemptOutcome::kTimedOut:
      return was_sent;
  }
  return true;
}

}  // namespace

void AttemptHistory::Begin(const std::string& upstream_id) {
  this->upstreams.push_back(upstream_id);
  AppendItem(this->upstreams_text, upstream_id);
}

void AttemptHistory::End(AttemptOutcome outcome, bool was_sent) {
  ++(MayHaveRun(outcome, was_sent) ? this->runs : this->unexecuted);
  AppendItem(this->outcomes_text, AttemptOutcomeName(outcome));
}

std::string_view AttemptHistory::LastUpstream() const {
  if (this->upstreams.empty()) return {};
  return this->upstreams.back();
}

}  // namespace fuchsiadrum::serving
